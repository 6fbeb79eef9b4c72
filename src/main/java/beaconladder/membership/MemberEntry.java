package beaconladder.membership;

import java.util.HashSet;
import java.util.Set;

/** What this process holds about one other member. */
final class MemberEntry {
    /** Lifeguard's K: so many independent confirmations reduce a suspicion to its shortest timeout. */
    static final int MAX_CONFIRMATIONS = 3;

    private Member member;
    private long changedAtNanos;
    /** How often the present state has been piggybacked on a message. */
    private int transmissions;

    private final Set<String> suspectedBy = new HashSet<>();

    /** Takes over a newer state, which is then disseminated from the start. */
    void update(Member update, String reporter, long now) {
        member = update;
        changedAtNanos = now;
        transmissions = 0;
        suspectedBy.clear();
        if (update.state() == Member.State.SUSPECT) {
            suspectedBy.add(reporter);
        }
    }

    /** Counts one more member that suspects this one; a confirmation not yet counted is disseminated again. */
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

    /** When the present state was received, in nanoseconds of the caller's clock. */
    long changedAtNanos() {
        return changedAtNanos;
    }

    int transmissions() {
        return transmissions;
    }

    void countTransmission() {
        transmissions++;
    }

    /** How many members besides the first reported the suspicion. */
    int confirmations() {
        return Math.max(0, suspectedBy.size() - 1);
    }

    boolean isSuspectedBy(String name) {
        return suspectedBy.contains(name);
    }

    /** The member as a message for it has to mention it: a suspected one must learn of that, so that it can refute. */
    Member suspicionOrNull() {
        return hasState(Member.State.SUSPECT) ? member : null;
    }
}
