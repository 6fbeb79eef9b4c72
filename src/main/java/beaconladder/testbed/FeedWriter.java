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

/** The operator in a scenario: proposes one change after the other, and records what the log committed. */
final class FeedWriter {
    /** How many settings documents there are, of a few kilobytes each as in an installation. */
    private static final int DOCUMENTS = 8;

    private static final int MIN_CHARACTERS = 500;
    private static final int MAX_CHARACTERS = 3_000;
    /** For each lease server: a leader responds at once, and a failed one must not delay the next attempt. */
    private static final int CALL_TIMEOUT_MILLIS = 1_200;

    private static final int PROPOSAL_TIMEOUT_MILLIS = 12_000;

    /**
     * A committed version. Times are Unix nanoseconds.
     *
     * @param proposedAtNanos when it was proposed first
     * @param committedAtNanos when the log confirmed it
     * @param phase the phase of the scenario
     */
    record Logged(long version, String digest, long proposedAtNanos, long committedAtNanos, String phase) {}

    private final LogClient logClient;
    private final SplittableRandom random;
    private final List<Logged> log = new ArrayList<>();
    private long version;

    FeedWriter(List<InetSocketAddress> leaseServers, long seed) {
        logClient = new LogClient(leaseServers, CALL_TIMEOUT_MILLIS);
        random = new SplittableRandom(seed);
    }

    synchronized List<Logged> log() {
        return List.copyOf(log);
    }

    LogClient logClient() {
        return logClient;
    }

    /** Proposes a change, and retries until the log has committed it. */
    void change(String phase) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        int length = MIN_CHARACTERS + random.nextInt(MAX_CHARACTERS - MIN_CHARACTERS);
        while (text.length() < length) {
            text.append(Long.toHexString(random.nextLong())).append(' ');
        }
        propose(
                new Proposal(version, Map.of("settings-" + random.nextInt(DOCUMENTS), text.toString()), List.of()),
                phase);
    }

    /** Proposes a version that one router rejects, or with null one that none rejects. */
    void proposeRejectedBy(String router, String phase) throws IOException, InterruptedException {
        propose(
                new Proposal(
                        version,
                        router == null ? Map.of() : Map.of("refuse", router),
                        router == null ? List.of("refuse") : List.of()),
                phase);
    }

    private void propose(Proposal proposal, String phase) throws IOException, InterruptedException {
        long proposedAtNanos = FeedRouters.unix();
        while (true) {
            try {
                CommitResult result = logClient.propose(proposal);
                if (result.outcome() != CommitResult.Outcome.COMMITTED || result.version() != version + 1) {
                    throw new IllegalStateException("the log says " + result + " after version " + version);
                }
                version++;
                synchronized (this) {
                    log.add(new Logged(version, result.digest(), proposedAtNanos, FeedRouters.unix(), phase));
                }
                return;
            } catch (InvalidProposalException e) {
                throw new IllegalStateException(e);
            } catch (IOException e) {
                if (FeedRouters.unix() - proposedAtNanos > PROPOSAL_TIMEOUT_MILLIS * 1_000_000L) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }
}
