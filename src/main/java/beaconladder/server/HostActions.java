package beaconladder.server;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;

/** Actions on connections to hosts that run outside of the requests' tasks, without the dispatcher's lock. */
interface HostActions {
    /** Starts a health check of this host. */
    void probe(Host host);

    /** Closes the idle connections to this host. */
    void closeIdle(Host host);

    /** Starts an attempt of a request whose task is busy with another attempt. */
    void start(InFlightRequest request, InFlightRequest.Command command);

    /** Cancels this attempt by closing its connection; has no effect on one that has ended. */
    void cancel(Attempt attempt);
}
