package beaconladder.testbed.soak;

import java.util.Arrays;

/** The kinds of requests that clients send, each a request class of the routers' settings. */
enum RequestKind {
    ANY("any", "loose", "pure", 1_500),
    BOUNDED("fresh", "recent", "pure", 1_500),
    SESSION("own", "own_writes", "pure", 1_500),
    WRITE("write", "update", "side_effect", 2_000),
    TOKEN("token", "update", "token", 2_000);

    /** The maximum age of the data that a bounded read returns. */
    static final int BOUND_MILLIS = 500;
    /** How long a host recognizes and discards repeats of a token. */
    static final int DEDUPLICATION_MILLIS = 600;

    final String label;
    final String freshness;
    final String effect;
    /** How long a client waits for the answer, unless it sets a shorter time. */
    final int budgetMillis;

    RequestKind(String label, String freshness, String effect, int budgetMillis) {
        this.label = label;
        this.freshness = freshness;
        this.effect = effect;
        this.budgetMillis = budgetMillis;
    }

    /** The longest time that a client waits for an answer. */
    static int longestBudgetMillis() {
        return Arrays.stream(values()).mapToInt(kind -> kind.budgetMillis).max().orElseThrow();
    }

    boolean writes() {
        return this == WRITE || this == TOKEN;
    }
}
