package beaconladder.cells;

import java.net.InetAddress;

/**
 * A request that asks to be admitted. Times are in nanoseconds on the router's clock.
 *
 * @param tenant the name that the client states
 * @param sessionKey the key of its session, over which tenants that the plan doesn't state are spread
 * @param namedGroup the group that the client names; its slot decides the group in the tenant's cell
 * @param write whether it may write
 * @param priorityWeight its priority weight
 * @param bytes the length of its statement
 * @param clientAddress null if it is not known
 * @param expiryNanos when its client stops waiting
 */
public record AdmissionRequest(
        String tenant,
        long sessionKey,
        int namedGroup,
        boolean write,
        double priorityWeight,
        long bytes,
        InetAddress clientAddress,
        long arrivedNanos,
        long expiryNanos) {}
