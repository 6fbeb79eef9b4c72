package beaconladder;

import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;

/** The one guard of each repeat: what may have run goes again only where its repeat does no harm. */
record RepeatGuard() {
    /**
     * Whether this attempt may go, or, without one, a further attempt may be decided. A referenced txn is judged by
     * when its first attempt that may have run was decided, which is no later than when it ran.
     */
    boolean allows(Txn txn, Submission attempt, long now) {
        Submission ran = txn.mayHaveRunBefore(attempt);
        return ran == null
                || switch (txn.type.effect()) {
                    case REPEATABLE -> true;
                    case REFERENCED -> now - ran.sent < txn.type.memory();
                    case ONCE_ONLY -> false;
                };
    }
}
