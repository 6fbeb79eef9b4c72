package beaconladder.discovery;

import java.util.SplittableRandom;

/**
 * When discovery is asked, and how long each call may take. What discovery has, and what could be had of it, counts as
 * told {@link #TOLD_MILLIS} later whatever became of the calls; and at the return of a discovery that was down it may
 * count at once, so that what is left then is the grace of drains.
 */
final class WatchSchedule implements DiscoverySchedule {
    /** What a call says that it may wait: what nobody could get does not count until 2 s behind that. */
    static final int SAID_MILLIS = 20_000;
    /**
     * How long it is waited for all the same. A call that begins at t and falls silent at once is given up at t + 3,500
     * + 510 ms (the try of a quick discovery, grace 2 s); the next try, one for a slow discovery, fails by t + 5,510,
     * and one more is answered before t + 6,000. For a slower one see {@link #call}.
     */
    static final int WAIT_MILLIS = 3_500;

    private static final int LEAST_WAIT_MILLIS = 500;
    /** Waits end this much earlier by chance: a fleet whose watches began together does not ask as one. */
    private static final int JITTER_MILLIS = 500;
    /** Agents answer within milliseconds; on a part of a core the router itself takes tens of them. */
    private static final int TRY_MILLIS = 500;

    private static final int SHORTEST_TRY_MILLIS = 100;
    /** A process that has just begun is slow itself: its first calls take several times what others do. */
    static final int FIRST_MILLIS = 1_000;

    private static final int FIRST_TRIES = 2;
    /** What the agent has counts from a process's first moment: a start waits for it, two such tries. */
    static final int START_MILLIS = FIRST_TRIES * FIRST_MILLIS;
    /** One in so many silent tries is longer, for who is slow, and still fits into the grace with another. */
    private static final int EVEN_TRIES = 12;
    /** One in so many is longer than that, once a minute: whoever answers at all is heard. */
    private static final int RARE_TRIES = 128;

    private static final int FIRST_REST_MILLIS = 50;
    /** An agent that answers at once without any news is not asked again in a spin. */
    private static final long SHORTEST_NANOS = 100_000_000;

    private final SplittableRandom chance;
    private final int grace;
    /** A try of this length that fails and one that is answered fit into the grace of drains. */
    private final int least;

    private int answer;
    private int silences;
    private int rest;

    WatchSchedule(long graceMillis, long seed) {
        chance = new SplittableRandom(seed);
        // With a longer grace, what counts is the silence.
        grace = (int) Math.min(graceMillis, TOLD_MILLIS / 3);
        least = Math.max(SHORTEST_TRY_MILLIS, Math.min(TRY_MILLIS, grace / 2 - 25));
        moved();
    }

    @Override
    public void moved() {
        answer = 0;
        silences = 0;
        rest = FIRST_REST_MILLIS;
    }

    @Override
    public Call call(boolean goesOn) {
        int usual = answer > 0 ? answer : silences < FIRST_TRIES ? FIRST_MILLIS : least;
        if (!goesOn) {
            int all = Math.max(usual, longer());
            return new Call(0, all, all);
        }
        int room = Math.min(WAIT_MILLIS, TOLD_MILLIS - TRY_MILLIS / 2 - 3 * usual);
        int waits = Math.max(LEAST_WAIT_MILLIS, room) - chance.nextInt(JITTER_MILLIS);
        return new Call(SAID_MILLIS, waits + usual, usual);
    }

    /** A try for who is slow: an outage's end is rarely met by one that outlasts the grace. */
    private int longer() {
        if (silences == 0 || silences != 1 && silences % EVEN_TRIES != 0 && silences % RARE_TRIES != 0) {
            return 0;
        }
        return answer == 0 || silences % RARE_TRIES == 0 ? LONGEST_MILLIS : Math.min(LONGEST_MILLIS, grace - least);
    }

    @Override
    public int answered(Call call, long took, boolean news) {
        rest = FIRST_REST_MILLIS;
        silences = 0;
        if (call.waits() == 0) {
            // A slow discovery is not cut off at each call.
            answer = (int) Math.min(LONGEST_MILLIS, least + took / 1_000_000);
        }
        return news || call.waits() == 0 || took >= SHORTEST_NANOS ? 0 : FIRST_REST_MILLIS;
    }

    /** The next comes at once. */
    @Override
    public int silent(Call call) {
        silences++;
        return 0;
    }

    @Override
    public int failed() {
        int now = rest;
        rest = Math.min(2 * rest, least);
        return now / 2 + chance.nextInt(now / 2 + 1);
    }

    /** An agent on the same machine serves nobody else: what it refuses is no sign of load. */
    @Override
    public int refused(Call call) {
        return failed();
    }
}
