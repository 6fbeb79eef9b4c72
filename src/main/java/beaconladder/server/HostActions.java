package beaconladder.server;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;

/** Actions on connections to hosts outside the requests' own tasks; run without the dispatcher's lock. */
interface HostActions {
    /** Starts a health check of this host. */
    void probe(Host host);

    /** Closes the idle connections to this host. */
    void closeIdle(Host host);

    /** Starts an attempt whose request's task is busy with another one. */
    void start(InFlightRequest request, InFlightRequest.Command command);

    /** Cancels this attempt by closing its connection; without effect where it has ended. */
    void cancel(Attempt attempt);
}
