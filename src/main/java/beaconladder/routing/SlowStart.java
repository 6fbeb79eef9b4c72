package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.SampleWindow;
import beaconladder.routing.state.TrafficStatistics;
import java.util.SplittableRandom;

/** What a host that has just started may be sent, over all routers. */
record SlowStart(TrafficStatistics traffic, ClusterClock clock, SplittableRandom chance) {
    private static final long RECENT = 10_000 * MILLISECOND;
    /** Two fifths of the stated multiple leave room for chance and for tickets of two windows. */
    private static final double SAFE = 0.4;
    /** Where the members that are warm have to bear more than they did, so does a cold one, up to this. */
    private static final double MOST = 0.75;
    /** So many txns the share of types in the traffic counts for, where a group returns whole. */
    private static final int PRIOR = 8;

    /**
     * Rule 4: a cold host is sent to on tickets alone. Each txn that comes in for its group draws one with the chance
     * that a warm member bears it, times the host's present share: what a warm member bears is at most what it can, and
     * a cold one can at least its share of that. Over all routers, however many and however uneven, that sums to the
     * host's part, with no router counting the others; a ticket that isn't used within the rule's window lapses, so
     * that waiting txns can't save up for a burst. Guards against any return of hosts, single or of a whole group;
     * harm: a host is kept small for the longest time it may need, and to what warm ones bear where they have room.
     */
    void drawTickets(Group group, long now) {
        for (Host host : group.members) {
            if (host != group.primary && cold(host, now) && host.state == Host.State.READY) {
                draw(host, 1, now);
            }
        }
    }

    /**
     * At a cold primary most tickets of txns that come in would lapse, as a router sees few txns a second and most of
     * those don't need it. So the draw is made by the txns that do, once each, when they first need it, and with the
     * chance raised by how many come in for each of them: over all, the same number of tickets. What waited for a lost
     * primary draws as if all needed it, so that its return meets no burst.
     */
    void drawForPrimary(Request request, Host primary, long now) {
        if (request.ticketDrawn || !cold(primary, now)) {
            return;
        }
        request.ticketDrawn = true;
        Group group = request.group;
        group.arrivals.add(1, 0, now);
        // What needs it is counted only while it is cold. Beside warm members what comes in is counted over
        // a longer time all the same: the first draws, which that raises, stay far under the budget then.
        // Where a group returns whole they don't, and both are counted for as long.
        boolean alone = warm(group, now) == 0;
        long since = now - RECENT;
        if (alone) {
            since = Math.max(since, Math.max(group.primaryFoundNanos, primary.startNotifiedNanos));
        }
        int prior = alone ? PRIOR : 1;
        // Where the group has told little, the share of types that need the primary among what comes here.
        double share = (1.0
                        + traffic.requestClasses.stream()
                                .filter(type -> type.consistency().requiresPrimary())
                                .mapToInt(type -> traffic.recentClasses.count(type.index()))
                                .sum())
                / (1 + traffic.recentClasses.size());
        double needs = group.arrivals.sumSince(since);
        double comes = group.arrivals.countSince(since) - needs;
        double each = (prior + comes) / (prior * share + needs);
        draw(primary, request.arrivedNanos > group.primaryFoundNanos ? Math.max(1, each) : 1, now);
    }

    /** A submission has brought its txn to an end: what that tells of the work that members bear. */
    void ended(Attempt attempt, boolean committed, long now) {
        if (!committed) {
            traffic.recordFailure(attempt.request, now);
            return;
        }
        Group group = attempt.host.group;
        traffic.recordCommit(attempt.request, group.countReady(), cold(attempt.host, now) ? 0 : warm(group, now), now);
    }

    private int warm(Group group, long now) {
        int warm = 0;
        for (Host host : group.members) {
            warm += host.state == Host.State.READY && !cold(host, now) ? 1 : 0;
        }
        return warm;
    }

    /**
     * What one member bore lately of the group's txns at this router, a txn or more a second. Each txn counts by the
     * members that were there when it ended: most of them may be gone, or cold, by now. Without such news a member's
     * part of all.
     */
    private static double memberPart(Group group, SampleWindow bore, long now) {
        long since = now - RECENT;
        double news = (double) bore.sumSince(since) / Group.WHOLE_SHARE;
        return (news + 1.0 / Math.max(1, group.countReady())) / (bore.countSince(since) + 1);
    }

    /**
     * The part of what comes in that a cold member may be sent, were it warm. Those that are warm now bear what all
     * that were did, as far as they can; so does a cold one, as far as chance leaves of its budget.
     */
    private double part(Group group, long now) {
        double multiple = traffic.number("rules.fall_multiple", 2);
        double safe = Math.min(1, SAFE * multiple);
        int warm = warm(group, now);
        if (warm == 0) {
            return safe * memberPart(group, group.commitShares, now);
        }
        long since = now - RECENT;
        SampleWindow commits = group.warmCommits;
        double bears = (commits.sumSince(since) + 1.0) / (commits.countSince(since) + 1) / warm;
        return Math.min(safe * bears, MOST * multiple * memberPart(group, group.warmCommitShares, now));
    }

    /** One draw, where so many txns of the group come in for each that draws. */
    private void draw(Host host, double each, long now) {
        double least = traffic.number("rules.cold_share", 0);
        double share = least + (1 - least) * age(host, now) / traffic.nanosOf("rules.warm_within_us");
        if (chance.nextDouble() < each * share * part(host.group, now)) {
            host.slowStartTickets.addLast(now);
        }
    }

    boolean cold(Host host, long now) {
        return host.launchedNanos > 0 && age(host, now) < traffic.nanosOf("rules.warm_within_us");
    }

    /**
     * How long ago the host started. By a clock that may be far ahead it would be warm at once, so that until the clock
     * is confirmed its age is at most the time since this router was told of the start.
     */
    private long age(Host host, long now) {
        long byClock = Math.max(0, clock.at(now) - host.launchedNanos);
        return clock.confirmed() ? byClock : Math.min(byClock, now - host.startNotifiedNanos);
    }

    boolean allows(Host host, long now) {
        if (!cold(host, now)) {
            return true;
        }
        long window = traffic.nanosOf("rules.fall_us");
        while (!host.slowStartTickets.isEmpty() && host.slowStartTickets.peekFirst() < now - window) {
            host.slowStartTickets.removeFirst();
        }
        return !host.slowStartTickets.isEmpty();
    }
}
