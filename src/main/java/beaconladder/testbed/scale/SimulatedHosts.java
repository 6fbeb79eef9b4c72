package beaconladder.testbed.scale;

import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Role;
import java.util.SplittableRandom;

/**
 * Hollow hosts, in memory: groups of a primary and two replicas, in three of nine zones each. A replica has applied the
 * log up to a time that lies a constant part behind the clock, drawn for each; hosts answer after a drawn time, however
 * many ask. They are well, but for a zone that may be lost.
 */
final class SimulatedHosts {
    static final long MS = 1_000_000;
    static final int MEMBERS = 3;
    /** How far replicas lie behind: 20 to 200 ms, so that all of them bear a bound of 500 ms. */
    private static final long LEAST_LAG = 20 * MS;

    private static final long MOST_LAG = 200 * MS;
    /** A round trip within a region, and the mean of the work, as that of short statements. */
    private static final long WAY = MS;

    private static final long WORK = 4 * MS;
    /** The middle of what valpo-despacho-later states for its reports: refreshed, and late by. */
    private static final long REPORT_PERIOD = 148 * MS;

    private static final long REPORT_DELAY = 38 * MS;

    /** The users' nine zones, and the longest that their changes of primary take. */
    private static final int ZONES = 9;

    static final long FAILOVER = 13_000 * MS;

    private final SplittableRandom chance;
    private final long[] lag;
    private final long[] phase;
    /** How far replicas lie behind what they claim; 0 for hosts that tell the truth. */
    private final long hidden;

    private long lostAt = Long.MAX_VALUE;

    SimulatedHosts(int groups, SplittableRandom chance, long hidden) {
        this.chance = chance;
        this.hidden = hidden;
        lag = new long[groups * MEMBERS];
        phase = new long[groups * MEMBERS];
        for (int i = 0; i < lag.length; i++) {
            lag[i] = isPrimary(i) ? 0 : chance.nextLong(LEAST_LAG, MOST_LAG);
            phase[i] = chance.nextLong(REPORT_PERIOD);
        }
    }

    int count() {
        return lag.length;
    }

    static boolean isPrimary(int host) {
        return host % MEMBERS == 0;
    }

    /** Zone 0 is lost now: none of its hosts answers any more. */
    void lose(long now) {
        lostAt = now;
    }

    boolean down(int host, long now) {
        return now >= lostAt && lostWith(host);
    }

    /** Whether it stands in the zone that is lost. */
    boolean lostWith(int host) {
        return (host / MEMBERS + ZONES / MEMBERS * (host % MEMBERS)) % ZONES == 0;
    }

    /** Whether it is the primary: the first member, or the second once it has taken over. */
    boolean leads(int host, long now) {
        return isPrimary(host)
                ? !down(host, now)
                : host % MEMBERS == 1 && down(host - 1, now) && now >= lostAt + FAILOVER;
    }

    /** Up to when it has applied the log. */
    long position(int host, long now) {
        return claimed(host, now) - (isPrimary(host) ? 0 : hidden);
    }

    private long claimed(int host, long now) {
        long applied = leads(host, now) ? now : now - lag[host];
        // Nothing is committed while the group has no primary.
        boolean gap = down(host - host % MEMBERS, now) && applied >= lostAt && applied < lostAt + FAILOVER;
        return gap ? lostAt : applied;
    }

    /** How long a statement takes there, the way included. */
    long work() {
        return WAY + (long) (WORK * -StrictMath.log(1 - chance.nextDouble()));
    }

    /** How long a probe takes: the way alone. */
    long probe() {
        return WAY;
    }

    /** The note of an answer: exact, rounded down to a millisecond as on the wire. */
    HostReport answer(int host, long now) {
        long position = claimed(host, now);
        return new HostReport(role(host, now), position - Math.floorMod(position, MS), -1);
    }

    /** The report that goes with an answer or a probe: as old as its period and its delay make it. */
    HostReport report(int host, long now) {
        long taken = now - REPORT_DELAY - Math.floorMod(now + phase[host], REPORT_PERIOD);
        // 638 statements a second of 4 ms each are two or three at a time.
        return new HostReport(role(host, taken), claimed(host, taken), chance.nextInt(6));
    }

    private Role role(int host, long now) {
        return leads(host, now) ? Role.PRIMARY : Role.REPLICA;
    }
}
