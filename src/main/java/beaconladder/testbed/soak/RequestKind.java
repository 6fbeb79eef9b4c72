package beaconladder.testbed.soak;

/** The kinds of requests, as the settings name them. */
enum RequestKind {
    ANY("any", "loose", "pure", 1_500),
    BOUNDED("fresh", "recent", "pure", 1_500),
    SESSION("own", "own_writes", "pure", 1_500),
    WRITE("write", "update", "side_effect", 2_000),
    TOKEN("token", "update", "token", 2_000);

    /** How old the data of a bounded read may be. */
    static final int BOUND_MILLIS = 500;
    /** How long a host discards repeats of a token. */
    static final int MEMORY_MILLIS = 600;

    final String label;
    final String freshness;
    final String effect;
    final int budgetMillis;

    RequestKind(String label, String freshness, String effect, int budgetMillis) {
        this.label = label;
        this.freshness = freshness;
        this.effect = effect;
        this.budgetMillis = budgetMillis;
    }

    boolean writes() {
        return this == WRITE || this == TOKEN;
    }
}
