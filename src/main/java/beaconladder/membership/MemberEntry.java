package beaconladder.membership;

import java.util.HashSet;
import java.util.Set;

/** The local state of this process about one other member. */
final class MemberEntry {
    /** Lifeguard's K: the number of independent confirmations that reduce a suspicion to its shortest timeout. */
    static final int MAX_CONFIRMATIONS = 3;

    private Member member;
    private long changedAtNanos;
    /** The number of messages on which the current state was piggybacked. */
    private int transmissions;

    private final Set<String> suspectedBy = new HashSet<>();

    /** Replaces the state with a newer one, and restarts its dissemination. */
    void update(Member update, String reporter, long nowNanos) {
        member = update;
        changedAtNanos = nowNanos;
        transmissions = 0;
        suspectedBy.clear();
        if (update.state() == Member.State.SUSPECT) {
            suspectedBy.add(reporter);
        }
    }

    /** Counts one more member that suspects this one; a new confirmation restarts the dissemination. */
    void confirmSuspicion(String reporter) {
        if (suspectedBy.size() <= MAX_CONFIRMATIONS && suspectedBy.add(reporter)) {
            transmissions = 0;
        }
    }

    Member member() {
        return member;
    }

    boolean hasState(Member.State state) {
        return member.state() == state;
    }

    /** Returns when the current state was received, in nanoseconds of the caller's clock. */
    long changedAtNanos() {
        return changedAtNanos;
    }

    int transmissions() {
        return transmissions;
    }

    void countTransmission() {
        transmissions++;
    }

    /** Returns the number of members besides the first that reported the suspicion. */
    int confirmations() {
        return Math.max(0, suspectedBy.size() - 1);
    }

    boolean isSuspectedBy(String name) {
        return suspectedBy.contains(name);
    }

    /**
     * Returns the member if it is suspected, else null: a probe carries the suspicion so that the member can refute it.
     */
    Member suspicionOrNull() {
        return hasState(Member.State.SUSPECT) ? member : null;
    }
}
