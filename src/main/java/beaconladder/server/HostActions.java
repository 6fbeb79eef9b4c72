package beaconladder.server;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;

/** Does on sockets what the rounds ask for beside the txns. */
interface HostActions {
    void probe(Host host);

    void closeIdle(Host host);

    /** Starts a submission whose txn's task is out with another one. */
    void start(InFlightRequest request, InFlightRequest.Command command);

    void cancel(Attempt submission);
}
