package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A lease of a task granted to one process.
 *
 * @param holder the process, by name and incarnation
 * @param token the fencing token, higher than that of every earlier grant of the task; a renewal keeps it
 * @param expiryNanos when the lease expires, in Unix nanoseconds; one clock bound later another process may acquire it
 */
public record LeaseGrant(
        String task,
        String holder,
        long token,
        @JsonProperty("expiry") long expiryNanos) {}
