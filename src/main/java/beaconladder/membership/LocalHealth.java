package beaconladder.membership;

/**
 * Lifeguard's local health score: a process whose own probes fail, or that is itself suspected, may be the slow one,
 * and extends its timeouts before it suspects others.
 */
final class LocalHealth {
    /** The worst score, which makes periods and timeouts nine times as long. */
    private static final int MAX_SCORE = 8;

    private int score;

    /** Returns the score, from 0 (healthy) to {@link #MAX_SCORE}. */
    int score() {
        return score;
    }

    void worsen(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Returns a duration extended by the score. */
    long scale(long nanos) {
        return nanos * (1 + score);
    }
}
