package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.Statement;
import beaconladder.routing.state.Group;

/**
 * What the dispatcher has to know of a request that a client sends.
 *
 * @param id the client's id of the request, unique among those in flight
 * @param classIndex the index of its request class in the settings
 * @param group the group of hosts that serves it
 * @param minPositionNanos the replication position that a read must see, or HostReport.NO_POSITION
 * @param arrivedNanos when its deadline began to run, on the dispatcher's clock
 * @param expiryNanos its deadline, on the dispatcher's clock
 * @param permit its cell's admission, or null where there are no cells
 */
record RequestParameters(
        String id,
        int classIndex,
        Group group,
        Statement statement,
        long minPositionNanos,
        long arrivedNanos,
        long expiryNanos,
        AdmissionPermit permit) {}
