package beaconladder.membership;

import java.util.List;

/**
 * What processes say to each other.
 *
 * @param from who says it
 * @param number of the probe that this belongs to, by the process that began it
 * @param target whom a probe is for, where another one makes it; else an empty text
 * @param news what has lately changed, some of it
 */
public record Message(Kind kind, Member from, long number, String target, List<Member> news) {
    /** A probe, its answer; the same by way of another, and that one's word that it got none. */
    public enum Kind {
        PROBE,
        ANSWER,
        PROBE_FOR,
        NO_ANSWER
    }
}
