package beaconladder.discovery;

import java.util.SplittableRandom;

/**
 * The schedule of a list that is asked for: discovery is one service of fixed capacity for all routers, and every call
 * costs it work, also one that nobody waits for any more. So calls are waited for; who is refused comes again later
 * each time, by chance, and its watches get longer; while nobody is refused a silent watch is found before its news
 * count.
 */
final class PollSchedule implements DiscoverySchedule {
    /** A silent watch that should have ended so soon, and a call behind it, are over before news count. */
    private static final int WAIT_MILLIS = 3_000;
    /** The protocol's bound. */
    private static final int LONGEST_WAIT_MILLIS = 60_000;
    /** Watches end this much later by chance: a fleet that began together does not ask as one. */
    private static final int JITTER_MILLIS = 500;
    /** What an answer may take beyond its wait and what the last one took: a slow process of our own. */
    private static final int MARGIN_MILLIS = 500;
    /** What is left for a call that has to wait its turn, and one behind it, before its news count. */
    private static final int QUEUE_MILLIS = TOLD_MILLIS - WAIT_MILLIS - JITTER_MILLIS - MARGIN_MILLIS;
    /** After a refusal: the mean is as long as a call takes that waits its turn, then doubled. */
    private static final int REFUSED_MILLIS = 500;
    /** Three times, to what leaves time for a call more before news count. */
    private static final int DOUBLINGS = 3;
    /** After so many refusals there is no hope of that for all: doubled again, up to what the rules give. */
    private static final int HOPEFUL = 10;
    /** The rules' period after a failed call, in periods. */
    private static final int LONG = 4;
    /** After a break, which the whole fleet may have seen: as long as leaves time for two calls more. */
    private static final int BROKEN_MILLIS = 1_000;

    private static final int LONGEST_REST_MILLIS = TOLD_MILLIS - LONGEST_MILLIS;
    /** Calls that bring nothing for so long, over half a minute, are as much as nobody there bears. */
    private static final int PATIENT = 16;
    /** Watches get shorter by so much at each quiet end: two minutes after one refusal they are back. */
    private static final int RETURN_MILLIS = 200;
    /** A discovery that answers at once without any news is not asked again in a spin. */
    private static final long SHORTEST_NANOS = 100_000_000;

    private final SplittableRandom chance;
    private final int period;
    private final int longest;
    private int waits;
    private int beyond;
    private int refusals;
    private int breaks;
    private boolean again;

    /**
     * One for a discovery of which nothing is known.
     *
     * @param everyMillis how often the rules want to be asked by who has no watch
     */
    PollSchedule(long everyMillis, long seed) {
        chance = new SplittableRandom(seed);
        period = (int) Math.max(WAIT_MILLIS, Math.min(everyMillis, LONGEST_WAIT_MILLIS));
        longest = Math.min(LONGEST_WAIT_MILLIS, LONG * period);
        moved();
    }

    @Override
    public void moved() {
        waits = WAIT_MILLIS;
        beyond = 0;
        refusals = 0;
        breaks = 0;
        again = false;
    }

    @Override
    public Call call(boolean goesOn) {
        // A watch that was refused missed nothing yet: it is one call to ask again, and not two.
        if (!goesOn && !again) {
            return new Call(0, LONGEST_MILLIS, LONGEST_MILLIS);
        }
        // One that was refused may have to queue; where that is rare, its silence is still found in time.
        int now = (again && waits <= 2 * WAIT_MILLIS ? WAIT_MILLIS : waits) + chance.nextInt(JITTER_MILLIS);
        int tail = again ? QUEUE_MILLIS : Math.min(LONGEST_MILLIS, MARGIN_MILLIS + beyond);
        return new Call(now, now + tail, tail);
    }

    @Override
    public int answered(Call call, long took, boolean news) {
        // One answer does not show that all are heard.
        refusals /= 2;
        breaks = 0;
        again = false;
        if (call.waits() == 0 || !news) {
            beyond = (int) Math.max(0, Math.min(LONGEST_MILLIS, took / 1_000_000 - call.waits()));
        }
        if (call.waits() == 0 || news) {
            return 0;
        }
        waits = Math.max(WAIT_MILLIS, waits - RETURN_MILLIS);
        return took >= SHORTEST_NANOS ? 0 : chance.nextInt(BROKEN_MILLIS);
    }

    @Override
    public int silent(Call call) {
        again = false;
        // A watch that has fallen silent has used up its time; the next call shows whether all is.
        return call.waits() > 0 ? 0 : failed();
    }

    @Override
    public int failed() {
        again = false;
        int most = breaks >= PATIENT ? period : Math.min(LONGEST_REST_MILLIS, BROKEN_MILLIS << breaks);
        breaks = Math.min(PATIENT, breaks + 1);
        return chance.nextInt(most);
    }

    @Override
    public int refused(Call call) {
        if (call.waits() > 0 && !again) {
            // Once, however often it is refused then: what is too much is calls of watches that go on.
            waits = Math.min(longest, 2 * waits);
            again = true;
        }
        int doubled = REFUSED_MILLIS << Math.min(refusals, DOUBLINGS);
        int most = Math.min(LONG * period, doubled << Math.max(0, refusals - HOPEFUL));
        refusals = Math.min(PATIENT, refusals + 1);
        return chance.nextInt(most);
    }
}
