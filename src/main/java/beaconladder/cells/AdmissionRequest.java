package beaconladder.cells;

import java.net.InetAddress;

/**
 * The properties of a request that decide on its admission. Times are in nanoseconds on the router's clock.
 *
 * @param tenant the tenant that the client names
 * @param sessionKey the key of the session; sessions of tenants that the plan doesn't declare are spread by it
 * @param namedGroup the group that the client names; the request goes to the same slot of the tenant's cell
 * @param write whether the request may write
 * @param priorityWeight the weight of the request; higher is more important
 * @param bytes the length of the statement
 * @param clientAddress the address of the client, or null if unknown
 * @param arrivedNanos when the request arrived
 * @param expiryNanos when the client stops waiting
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
