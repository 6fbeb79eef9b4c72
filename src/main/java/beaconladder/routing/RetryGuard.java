package beaconladder.routing;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;

/** The one guard of each repeat: what may have run goes again only where its repeat does no harm. */
record RetryGuard() {
    /**
     * Whether this attempt may go, or, without one, a further attempt may be decided. A referenced txn is judged by
     * when its first attempt that may have run was decided, which is no later than when it ran.
     */
    boolean allows(Request txn, Attempt attempt, long now) {
        Attempt ran = txn.mayHaveRunBefore(attempt);
        return ran == null
                || switch (txn.type.effect()) {
                    case REPEATABLE -> true;
                    case REFERENCED -> now - ran.sent < txn.type.memory();
                    case ONCE_ONLY -> false;
                };
    }
}
