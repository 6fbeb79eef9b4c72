package beaconladder.serve;

import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;

/** Does on sockets what the rounds ask for beside the txns. */
interface Errands {
    void probe(Host host);

    void closeIdle(Host host);

    /** Starts a submission whose txn's task is out with another one. */
    void start(Hand hand, Hand.Order order);

    void cancel(Submission submission);
}
