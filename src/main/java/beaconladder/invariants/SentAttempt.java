package beaconladder.invariants;

import beaconladder.routing.state.Attempt;

/**
 * An attempt whose bytes have gone to a host.
 *
 * @param attempt what was sent
 * @param began before its first byte, in nanoseconds on the clock of the decisions
 * @param ended after its last byte
 * @param passedTime how long the host was told that the router will wait, in nanoseconds
 */
public record SentAttempt(Attempt attempt, long began, long ended, long passedTime) {}
