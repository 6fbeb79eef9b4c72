package beaconladder.invariants;

import beaconladder.routing.state.Attempt;

/**
 * An attempt whose bytes were written to a host.
 *
 * @param attempt the attempt
 * @param beganNanos the time before its first byte, on the clock of the routing decisions
 * @param endedNanos the time after its last byte, on the same clock
 * @param timeoutNanos how long the router waits for the response, as stated to the host
 */
public record SentAttempt(Attempt attempt, long beganNanos, long endedNanos, long timeoutNanos) {}
