package beaconladder.membership;

/**
 * Lifeguard's local health: a process whose own probes fail, or that is itself suspected, assumes that it is the slow
 * one and extends its timeouts before it suspects others.
 */
final class LocalHealth {
    /** The worst score: periods and timeouts are then nine times as long. */
    private static final int MAX_SCORE = 8;

    private int score;

    /** From 0, healthy, to 8. */
    int score() {
        return score;
    }

    void worsen(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    /** A duration or factor extended by the score. */
    long scale(long value) {
        return value * (1 + score);
    }
}
