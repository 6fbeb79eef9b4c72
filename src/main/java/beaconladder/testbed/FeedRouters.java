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
 * A process of subscribers, each with its own task and connection as in a router, and no clients or hosts behind them:
 * hollow routers. What each puts in force it writes to a journal, which is all that is judged.
 */
public final class FeedRouters {
    /** As a router's tasks have it; with half of it, the loading of HttpCore's classes ran out of stack. */
    private static final long STACK = 256 * 1024;
    /** So often the journal is written out and the ages are told. */
    private static final int FLUSH_MILLIS = 200;

    private FeedRouters() {}

    /** Unix nanoseconds, the same clock for all processes of a machine. */
    static long unix() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    /** Writes what a router puts in force; a document named {@code refuse} that names it is refused. */
    private record Journal(String router, long life, BufferedWriter out) implements Applier {
        @Override
        public void validate(VersionedState next) throws IOException {
            if (router.equals(next.entries().get("refuse"))) {
                throw new IOException("the document says so");
            }
        }

        @Override
        public void apply(VersionedState next) throws IOException {
            String line = "A " + unix() + ' ' + router + ' ' + life + ' ' + next.version() + ' ' + next.computeDigest()
                    + '\n';
            synchronized (out) {
                out.write(line);
            }
        }
    }

    /** Runs them until a signal ends the process, on no disk: two thousand of them would be all it does. */
    public static void run(String prefix, int from, int count, Map<String, InetSocketAddress> relays, Path journal)
            throws IOException, InterruptedException {
        BufferedWriter out = Files.newBufferedWriter(journal, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        long life = System.currentTimeMillis();
        List<Subscriber> all = new ArrayList<>();
        for (int i = from; i < from + count; i++) {
            String name = prefix + i;
            all.add(new Subscriber(name, life, relays, null, new Journal(name, life, out)));
        }
        for (Subscriber each : all) {
            Thread thread = new Thread(null, each, "subscriber", STACK);
            thread.setDaemon(true);
            thread.start();
        }
        // Bounded, whoever forgets to end it.
        for (int i = 0; i < 3_000; i++) {
            Thread.sleep(FLUSH_MILLIS);
            long least = all.stream().mapToLong(Subscriber::ageMillis).min().orElse(0);
            long most = all.stream().mapToLong(Subscriber::ageMillis).max().orElse(0);
            synchronized (out) {
                out.write("G " + unix() + ' ' + prefix + from + ' ' + least + ' ' + most + '\n');
                out.flush();
            }
        }
    }
}
