package beaconladder.routing.api;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.List;

/**
 * When to call {@link Router#nextWakeup} again, and what to do now.
 *
 * @param dueNanos the time of the next call, or {@link #NEVER} when only an event can change something
 * @param hostsToProbe the hosts to probe now
 * @param hostsToDisconnect the hosts whose idle connections to close now
 * @param requestsToRoute the requests to route again now, in this order; after these, call again at once
 */
public record NextWakeup(
        long dueNanos, List<Host> hostsToProbe, List<Request> requestsToRoute, List<Host> hostsToDisconnect) {
    /** The time of a call that is not needed. */
    public static final long NEVER = Long.MAX_VALUE;
}
