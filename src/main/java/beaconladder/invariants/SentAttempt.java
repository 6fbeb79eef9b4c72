package beaconladder.invariants;

import beaconladder.routing.state.Attempt;

/**
 * An attempt whose bytes were written to a host.
 *
 * @param attempt that was sent
 * @param beganNanos before its first byte, on the clock of the routing decisions
 * @param endedNanos after its last byte
 * @param timeoutNanos how long the router will wait, as stated to the host
 */
public record SentAttempt(Attempt attempt, long beganNanos, long endedNanos, long timeoutNanos) {}
