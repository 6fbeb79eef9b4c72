package beaconladder.routing.api;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.List;

/**
 * How long to wait before asking again.
 *
 * @param until the time of the next look, or {@link #OPEN} when nothing is due by itself
 * @param probe the members to probe now
 * @param close the members whose idle connections to close now
 * @param again the requests to ask about again now, in this order; afterwards ask for a new pause
 */
public record NextWakeup(
        long dueNanos, List<Host> hostsToProbe, List<Request> requestsToRoute, List<Host> hostsToDisconnect) {
    public static final long NEVER = Long.MAX_VALUE;
}
