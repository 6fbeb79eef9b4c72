package beaconladder.lease;

/**
 * A task given to one process.
 *
 * @param holder the process, by name and incarnation
 * @param token the fencing token: higher than that of every earlier grant of the task to a process
 * @param expiry from when on it may be given to another, once the clock bound has passed too
 */
public record LeaseGrant(String task, String holder, long token, long expiry) {}
