package beaconladder.routing.state;

/** The number of requests of one client connection that are in flight. */
public final class ClientRequests {
    public int inFlight;
}
