package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.Statement;
import beaconladder.routing.state.Group;

/**
 * The parameters of a client's request that the dispatcher routes by.
 *
 * @param id the client's id of the request, unique among those in flight
 * @param classIndex the index of its request class in the settings
 * @param group the group of hosts that serves it
 * @param minPositionNanos the least replication position that a read must see, or HostReport.NO_POSITION
 * @param arrivedNanos when its time budget began to run, on the dispatcher's clock
 * @param expiryNanos its deadline, on the dispatcher's clock
 * @param permit the permit of its cell, or null where no cells are configured
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
