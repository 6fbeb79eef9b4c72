package beaconladder.testbed;

import beaconladder.feed.CommitResult;
import beaconladder.feed.InvalidProposalException;
import beaconladder.feed.LogClient;
import beaconladder.feed.Proposal;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The operator of a rehearsal: proposes changes, one after the other, and keeps what the log answered. */
final class FeedWriter {
    /** A document as settings are: a few kilobytes, of which there are some. */
    private static final int DOCUMENTS = 8;

    private static final int LEAST = 500;
    private static final int MOST = 3_000;
    /** A leader that answers does so at once; one that is gone is not waited for. */
    private static final int CALL_MILLIS = 1_200;

    private static final int GIVE_UP_MILLIS = 12_000;

    /**
     * A version that the log has written.
     *
     * @param from when it was proposed, in Unix nanoseconds
     * @param at when the log said so
     * @param phase the part of the script
     */
    record Logged(long version, String digest, long from, long at, String phase) {}

    private final LogClient logClient;
    private final SplittableRandom chance;
    private final List<Logged> log = new ArrayList<>();
    private long version;

    FeedWriter(List<InetSocketAddress> grantors, long seed) {
        logClient = new LogClient(grantors, CALL_MILLIS);
        chance = new SplittableRandom(seed);
    }

    synchronized List<Logged> log() {
        return List.copyOf(log);
    }

    LogClient logClient() {
        return logClient;
    }

    /** Proposes a change and waits until the log has it. */
    void change(String phase) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        int length = LEAST + chance.nextInt(MOST - LEAST);
        while (text.length() < length) {
            text.append(Long.toHexString(chance.nextLong())).append(' ');
        }
        write(
                new Proposal(version, Map.of("settings-" + chance.nextInt(DOCUMENTS), text.toString()), List.of()),
                phase);
    }

    /** Has one router refuse a version, or none any more. */
    void refusal(String router, String phase) throws IOException, InterruptedException {
        write(
                new Proposal(
                        version,
                        router == null ? Map.of() : Map.of("refuse", router),
                        router == null ? List.of("refuse") : List.of()),
                phase);
    }

    private void write(Proposal proposal, String phase) throws IOException, InterruptedException {
        long from = FeedRouters.unix();
        while (true) {
            try {
                CommitResult written = logClient.propose(proposal);
                if (written.outcome() != CommitResult.Outcome.COMMITTED || written.version() != version + 1) {
                    throw new IllegalStateException("the log says " + written + " after version " + version);
                }
                version++;
                synchronized (this) {
                    log.add(new Logged(version, written.digest(), from, FeedRouters.unix(), phase));
                }
                return;
            } catch (InvalidProposalException e) {
                throw new IllegalStateException(e);
            } catch (IOException e) {
                if (FeedRouters.unix() - from > GIVE_UP_MILLIS * 1_000_000L) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }
}
