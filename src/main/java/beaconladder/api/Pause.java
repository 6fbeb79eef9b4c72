package beaconladder.api;

import beaconladder.fleet.Host;
import beaconladder.fleet.Txn;
import java.util.List;

/**
 * How long to wait before asking again.
 *
 * @param until the time of the next look, or {@link #OPEN} when nothing is due by itself
 * @param probe the members to probe now
 * @param close the members whose idle connections to close now
 * @param again the txns to ask about again now, in this order; afterwards ask for a new pause
 */
public record Pause(long until, List<Host> probe, List<Txn> again, List<Host> close) {
    public static final long OPEN = Long.MAX_VALUE;
}
