package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A task granted to one process.
 *
 * @param holder the process, by name and incarnation
 * @param token the fencing token: higher than that of every earlier grant of the task to a process
 * @param expiryNanos in Unix nanoseconds; once the clock bound has passed too, another process may get the task
 */
public record LeaseGrant(
        String task,
        String holder,
        long token,
        @JsonProperty("expiry") long expiryNanos) {}
