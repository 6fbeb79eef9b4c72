package beaconladder.testbed;

import beaconladder.feed.Applier;
import beaconladder.feed.Subscriber;
import beaconladder.feed.VersionedState;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A process of simulated routers: subscribers, each with its own thread and connection as in a router, without clients
 * or hosts. Each appends the versions it applies to a journal, which the scenario checks.
 */
public final class FeedRouters {
    /** As for a router's threads; with half of it, loading HttpCore's classes overflowed the stack. */
    private static final long STACK_BYTES = 256 * 1024;
    /** Interval of flushing the journal, with the ages of the states. */
    private static final int FLUSH_MILLIS = 200;

    private FeedRouters() {}

    /** Unix nanoseconds, the same clock for all processes of a machine. */
    static long unix() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    /** Records what a router applies; it rejects a state whose document {@code refuse} names it. */
    private record Journal(String router, long incarnation, BufferedWriter out) implements Applier {
        @Override
        public void validate(VersionedState next) throws IOException {
            if (router.equals(next.entries().get("refuse"))) {
                throw new IOException("the document says so");
            }
        }

        @Override
        public void apply(VersionedState next) throws IOException {
            String line = "A " + unix() + ' ' + router + ' ' + incarnation + ' ' + next.version() + ' '
                    + next.computeDigest() + '\n';
            synchronized (out) {
                out.write(line);
            }
        }
    }

    /** Runs them until a signal ends the process; without a disk, which two thousand of them would overload. */
    public static void run(String prefix, int from, int count, Map<String, InetSocketAddress> relays, Path journal)
            throws IOException, InterruptedException {
        BufferedWriter out = Files.newBufferedWriter(journal, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        long incarnation = System.currentTimeMillis();
        List<Subscriber> subscribers = new ArrayList<>();
        for (int i = from; i < from + count; i++) {
            String name = prefix + i;
            subscribers.add(new Subscriber(name, incarnation, relays, null, new Journal(name, incarnation, out)));
        }
        for (Subscriber each : subscribers) {
            Thread thread = new Thread(null, each, "subscriber", STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
        }
        // Bounded, in case nobody ends the process.
        for (int i = 0; i < 3_000; i++) {
            Thread.sleep(FLUSH_MILLIS);
            long minAgeMillis =
                    subscribers.stream().mapToLong(Subscriber::ageMillis).min().orElse(0);
            long maxAgeMillis =
                    subscribers.stream().mapToLong(Subscriber::ageMillis).max().orElse(0);
            synchronized (out) {
                out.write("G " + unix() + ' ' + prefix + from + ' ' + minAgeMillis + ' ' + maxAgeMillis + '\n');
                out.flush();
            }
        }
    }
}
