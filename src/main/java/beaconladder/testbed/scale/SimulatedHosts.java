package beaconladder.testbed.scale;

import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Role;
import java.util.SplittableRandom;

/**
 * Simulates hosts in memory: groups of a primary and two replicas, in three of nine zones each. A replica has applied
 * the log up to a constant time behind the clock, drawn for each; hosts answer after a random time that does not depend
 * on the load. They have no faults except that a zone can be lost.
 */
final class SimulatedHosts {
    static final long NANOS_PER_MILLI = 1_000_000;
    static final int GROUP_SIZE = 3;
    /** The lag of replicas: 20 to 200 ms, so that all of them satisfy a staleness bound of 500 ms. */
    private static final long MIN_LAG_NANOS = 20 * NANOS_PER_MILLI;

    private static final long MAX_LAG_NANOS = 200 * NANOS_PER_MILLI;
    /** The round trip within a region, and the mean execution time, that of short statements. */
    private static final long ROUND_TRIP_NANOS = NANOS_PER_MILLI;

    private static final long MEAN_EXECUTION_NANOS = 4 * NANOS_PER_MILLI;
    /** The middle of the ranges that valpo-despacho-later states for its reports: refresh period and delay. */
    private static final long REPORT_PERIOD_NANOS = 148 * NANOS_PER_MILLI;

    private static final long REPORT_DELAY_NANOS = 38 * NANOS_PER_MILLI;

    /** The users' nine zones, and the longest time that their changes of primary take. */
    private static final int ZONE_COUNT = 9;

    static final long FAILOVER_NANOS = 13_000 * NANOS_PER_MILLI;

    private final SplittableRandom random;
    private final long[] lagNanos;
    private final long[] reportPhaseNanos;
    /** How far replicas are behind the position that they claim; 0 for hosts that report correctly. */
    private final long unreportedLagNanos;

    private long lostAtNanos = Long.MAX_VALUE;

    SimulatedHosts(int groups, SplittableRandom random, long unreportedLagNanos) {
        this.random = random;
        this.unreportedLagNanos = unreportedLagNanos;
        lagNanos = new long[groups * GROUP_SIZE];
        reportPhaseNanos = new long[groups * GROUP_SIZE];
        for (int i = 0; i < lagNanos.length; i++) {
            lagNanos[i] = isPrimary(i) ? 0 : random.nextLong(MIN_LAG_NANOS, MAX_LAG_NANOS);
            reportPhaseNanos[i] = random.nextLong(REPORT_PERIOD_NANOS);
        }
    }

    int count() {
        return lagNanos.length;
    }

    static boolean isPrimary(int host) {
        return host % GROUP_SIZE == 0;
    }

    /** Loses zone 0: none of its hosts answers from now on. */
    void loseZone(long now) {
        lostAtNanos = now;
    }

    boolean isDown(int host, long now) {
        return now >= lostAtNanos && isInLostZone(host);
    }

    /** Returns whether the host is in the zone that can be lost. */
    boolean isInLostZone(int host) {
        return (host / GROUP_SIZE + ZONE_COUNT / GROUP_SIZE * (host % GROUP_SIZE)) % ZONE_COUNT == 0;
    }

    /**
     * Returns whether the host is the current primary: the first member of its group, or the second after it has taken
     * over.
     */
    boolean isCurrentPrimary(int host, long now) {
        return isPrimary(host)
                ? !isDown(host, now)
                : host % GROUP_SIZE == 1 && isDown(host - 1, now) && now >= lostAtNanos + FAILOVER_NANOS;
    }

    /** Returns the time up to which the host has applied the log. */
    long position(int host, long now) {
        return claimedPosition(host, now) - (isPrimary(host) ? 0 : unreportedLagNanos);
    }

    private long claimedPosition(int host, long now) {
        long applied = isCurrentPrimary(host, now) ? now : now - lagNanos[host];
        // Nothing is committed while the group has no primary.
        boolean withoutPrimary = isDown(host - host % GROUP_SIZE, now)
                && applied >= lostAtNanos
                && applied < lostAtNanos + FAILOVER_NANOS;
        return withoutPrimary ? lostAtNanos : applied;
    }

    /** Returns how long a statement takes on a host, including the round trip, in nanoseconds. */
    long statementNanos() {
        return ROUND_TRIP_NANOS + (long) (MEAN_EXECUTION_NANOS * -StrictMath.log(1 - random.nextDouble()));
    }

    /** Returns how long a probe takes, which is the round trip alone, in nanoseconds. */
    long probeNanos() {
        return ROUND_TRIP_NANOS;
    }

    /** Returns the report in an answer: exact, rounded down to a millisecond as on the wire. */
    HostReport answerReport(int host, long now) {
        long position = claimedPosition(host, now);
        return new HostReport(role(host, now), position - Math.floorMod(position, NANOS_PER_MILLI), -1);
    }

    /** Returns the load report that accompanies an answer or a probe, as old as its period and delay make it. */
    HostReport loadReport(int host, long now) {
        long takenNanos = now - REPORT_DELAY_NANOS - Math.floorMod(now + reportPhaseNanos[host], REPORT_PERIOD_NANOS);
        // 638 statements per second of 4 ms each are two or three at a time.
        return new HostReport(role(host, takenNanos), claimedPosition(host, takenNanos), random.nextInt(6));
    }

    private Role role(int host, long now) {
        return isCurrentPrimary(host, now) ? Role.PRIMARY : Role.REPLICA;
    }
}
