package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.SampleWindow;
import beaconladder.routing.state.TrafficStatistics;
import java.util.SplittableRandom;

/** Limits what all routers together send to a host that has just started. */
record SlowStart(TrafficStatistics traffic, ClusterClock clock, SplittableRandom random) {
    private static final long RECENT_PERIOD = 10_000 * MILLISECOND;
    /** Two fifths of the stated multiple leave a margin for chance and for tickets of two windows. */
    private static final double SAFETY_FACTOR = 0.4;
    /** Where the members that are warm have to bear more than they did, so does a warming-up one, up to this. */
    private static final double MAX_SHARE = 0.75;
    /** So many requests the share of types in the traffic counts for, where a group returns whole. */
    private static final int PRIOR_WEIGHT = 8;

    /**
     * Rule 4: a warming-up host is sent to on tickets alone. Each request that comes in for its group draws one with
     * the chance that a warm member bears it, times the host's present share: what a warm member bears is at most what
     * it can, and a warming-up one can at least its share of that. Over all routers, however many and however uneven,
     * that sums to the host's part, with no router counting the others; a ticket that isn't used within the rule's
     * window lapses, so that waiting requests can't save up for a burst. Guards against any return of hosts, single or
     * of a whole group; harm: a host is kept small for the longest time it may need, and to what warm ones bear where
     * they have capacity.
     */
    void drawTickets(Group group, long now) {
        for (Host host : group.members) {
            if (host != group.primary && isWarmingUp(host, now) && host.state == Host.State.READY) {
                drawTicket(host, 1, now);
            }
        }
    }

    /**
     * At a warming-up primary most tickets of requests that come in would lapse, as a router sees few requests a second
     * and most of those don't need it. So the draw is made by the requests that do, once each, when they first need it,
     * and with the chance raised by how many come in for each of them: over all, the same number of tickets. What
     * waited for a lost primary draws as if all needed it, so that its return meets no burst.
     */
    void drawTicketForPrimary(Request request, Host primary, long now) {
        if (request.ticketDrawn || !isWarmingUp(primary, now)) {
            return;
        }
        request.ticketDrawn = true;
        Group group = request.group;
        group.arrivals.add(1, 0, now);
        // What needs it is counted only while it is warming-up. Beside warm members what comes in is counted over
        // a longer time all the same: the first draws, which that raises, stay far under the budget then.
        // Where a group returns whole they don't, and both are counted for as long.
        boolean noneWarm = countWarm(group, now) == 0;
        long since = now - RECENT_PERIOD;
        if (noneWarm) {
            since = Math.max(since, Math.max(group.primaryFoundNanos, primary.startNotifiedNanos));
        }
        int priorWeight = noneWarm ? PRIOR_WEIGHT : 1;
        // Where the group has few samples, the share of types that need the primary among what comes here.
        double primaryClassShare = (1.0
                        + traffic.requestClasses.stream()
                                .filter(requestClass ->
                                        requestClass.consistency().requiresPrimary())
                                .mapToInt(requestClass -> traffic.recentClasses.count(requestClass.index()))
                                .sum())
                / (1 + traffic.recentClasses.size());
        double needingPrimary = group.arrivals.sumSince(since);
        double others = group.arrivals.countSince(since) - needingPrimary;
        double arrivalsPerDraw = (priorWeight + others) / (priorWeight * primaryClassShare + needingPrimary);
        drawTicket(primary, request.arrivedNanos > group.primaryFoundNanos ? Math.max(1, arrivalsPerDraw) : 1, now);
    }

    /** Records a settled request as load of the members that were ready or warm at that time. */
    void onRequestSettled(Attempt attempt, boolean committed, long now) {
        if (!committed) {
            traffic.recordFailure(attempt.request, now);
            return;
        }
        Group group = attempt.host.group;
        traffic.recordCommit(
                attempt.request, group.countReady(), isWarmingUp(attempt.host, now) ? 0 : countWarm(group, now), now);
    }

    private int countWarm(Group group, long now) {
        int warm = 0;
        for (Host host : group.members) {
            warm += host.state == Host.State.READY && !isWarmingUp(host, now) ? 1 : 0;
        }
        return warm;
    }

    /**
     * What one member bore lately of the group's requests at this router, a request or more a second. Each request
     * counts by the members that were there when it ended: most of them may be gone, or warming-up, by now. Without
     * such news a member's part of all.
     */
    private static double memberShare(Group group, SampleWindow shares, long now) {
        long since = now - RECENT_PERIOD;
        double sharesSum = (double) shares.sumSince(since) / Group.WHOLE_SHARE;
        return (sharesSum + 1.0 / Math.max(1, group.countReady())) / (shares.countSince(since) + 1);
    }

    /**
     * The part of what comes in that a warming-up member may be sent, were it warm. Those that are warm now bear what
     * all that were did, as far as they can; so does a warming-up one, as far as chance leaves of its budget.
     */
    private double ticketShare(Group group, long now) {
        double multiple = traffic.settings.slowStartMultiple();
        double safeFactor = Math.min(1, SAFETY_FACTOR * multiple);
        int warm = countWarm(group, now);
        if (warm == 0) {
            return safeFactor * memberShare(group, group.commitShares, now);
        }
        long since = now - RECENT_PERIOD;
        SampleWindow commits = group.warmCommits;
        double shareOfWarmMember = (commits.sumSince(since) + 1.0) / (commits.countSince(since) + 1) / warm;
        return Math.min(
                safeFactor * shareOfWarmMember, MAX_SHARE * multiple * memberShare(group, group.warmCommitShares, now));
    }

    /** One draw, where so many requests of the group come in for each that draws. */
    private void drawTicket(Host host, double arrivalsPerDraw, long now) {
        double minShare = traffic.settings.slowStartMinShare();
        double share = minShare + (1 - minShare) * ageNanos(host, now) / traffic.settings.slowStartNanos();
        if (random.nextDouble() < arrivalsPerDraw * share * ticketShare(host.group, now)) {
            host.slowStartTickets.addLast(now);
        }
    }

    boolean isWarmingUp(Host host, long now) {
        return host.launchedNanos > 0 && ageNanos(host, now) < traffic.settings.slowStartNanos();
    }

    /**
     * How long ago the host started. By a clock that may be far ahead it would be warm at once, so that until the clock
     * is confirmed its age is at most the time since this router was notified of the start.
     */
    private long ageNanos(Host host, long now) {
        long byClockNanos = Math.max(0, clock.hostTimeAt(now) - host.launchedNanos);
        return clock.isConfirmed() ? byClockNanos : Math.min(byClockNanos, now - host.startNotifiedNanos);
    }

    boolean mayReceive(Host host, long now) {
        if (!isWarmingUp(host, now)) {
            return true;
        }
        long ticketTtlNanos = traffic.settings.slowStartTicketNanos();
        while (!host.slowStartTickets.isEmpty() && host.slowStartTickets.peekFirst() < now - ticketTtlNanos) {
            host.slowStartTickets.removeFirst();
        }
        return !host.slowStartTickets.isEmpty();
    }
}
