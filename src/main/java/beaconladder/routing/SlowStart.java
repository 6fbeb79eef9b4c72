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
    /** How long ended requests and arrivals count for the load of a member. */
    private static final long RECENT_PERIOD_NANOS = 10_000 * MILLISECOND;
    /** Two fifths of the stated multiple leave a margin for random variation and for tickets of two windows. */
    private static final double SAFETY_FACTOR = 0.4;
    /**
     * The part of the stated multiple up to which a host in slow start takes over more load where warm members have to
     * take over more than before.
     */
    private static final double MAX_SHARE = 0.75;
    /** How many requests the mix of request classes in all traffic counts for where no member of the group is warm. */
    private static final int PRIOR_WEIGHT = 8;

    /**
     * Draws tickets for the replicas of this group in slow start, on the arrival of a request. Rule 4: a host in slow
     * start receives requests on tickets only.
     *
     * <p>The probability of a ticket is that of a warm member serving the request, times the host's present share: a
     * warm member serves at most what it can, and a host in slow start can serve at least its share of that. Summed
     * over all routers, however many and however uneven, this yields the host's share of the load without any router
     * counting the others. A ticket that is not used within the rule's window expires, so that waiting requests can't
     * accumulate tickets for a burst.
     *
     * <p>This covers every return of hosts, of a single one or of a whole group. The drawback is that each host is
     * limited for the longest time that a warm-up may take, and to the load of the warm members even where these have
     * spare capacity.
     */
    void drawTickets(Group group, long now) {
        for (Host host : group.members) {
            if (host != group.primary && isInSlowStart(host, now) && host.state == Host.State.READY) {
                drawTicket(host, 1, now);
            }
        }
    }

    /**
     * Draws a ticket for a primary in slow start. Most tickets drawn on arrivals would expire there, as a router
     * receives few requests a second and most of them don't need the primary. So each request that does need it draws
     * once, when it first needs it, with a probability raised by the number of arrivals per such request: the expected
     * number of tickets is the same. A request that waited for a lost primary draws without the raise, so that there is
     * no burst on the primary's return.
     */
    void drawTicketForPrimary(Request request, Host primary, long now) {
        if (request.ticketDrawn || !isInSlowStart(primary, now)) {
            return;
        }
        request.ticketDrawn = true;
        Group group = request.group;
        group.arrivals.add(1, 0, now);
        // Requests that need the primary are counted only during its slow start. Beside warm members, arrivals are
        // nevertheless counted over a longer time: this raises the probability of the first draws, which stay far
        // below the budget. Where no member is warm they would not, so both are counted over the same time.
        boolean noneWarm = countWarm(group, now) == 0;
        long periodStartNanos = now - RECENT_PERIOD_NANOS;
        if (noneWarm) {
            periodStartNanos =
                    Math.max(periodStartNanos, Math.max(group.primaryFoundNanos, primary.startNotifiedNanos));
        }
        int priorWeight = noneWarm ? PRIOR_WEIGHT : 1;
        // The share of requests that need the primary in all traffic of this router; counts where the group has few
        // samples.
        double primaryClassShare = (1.0
                        + traffic.requestClasses.stream()
                                .filter(requestClass ->
                                        requestClass.consistency().requiresPrimary())
                                .mapToInt(requestClass -> traffic.recentClasses.count(requestClass.index()))
                                .sum())
                / (1 + traffic.recentClasses.size());
        double needingPrimary = group.arrivals.sumSince(periodStartNanos);
        double others = group.arrivals.countSince(periodStartNanos) - needingPrimary;
        double arrivalsPerDraw = (priorWeight + others) / (priorWeight * primaryClassShare + needingPrimary);
        drawTicket(primary, request.arrivedNanos > group.primaryFoundNanos ? Math.max(1, arrivalsPerDraw) : 1, now);
    }

    /** Records a settled request as load that the members ready or warm at that time shared. */
    void onRequestSettled(Attempt attempt, boolean committed, long now) {
        if (!committed) {
            traffic.recordFailure(attempt.request, now);
            return;
        }
        Group group = attempt.host.group;
        traffic.recordCommit(
                attempt.request, group.countReady(), isInSlowStart(attempt.host, now) ? 0 : countWarm(group, now), now);
    }

    private int countWarm(Group group, long now) {
        int warm = 0;
        for (Host host : group.members) {
            warm += host.state == Host.State.READY && !isInSlowStart(host, now) ? 1 : 0;
        }
        return warm;
    }

    /**
     * Returns the share of the group's recent requests at this router that one member served. Each request counts by
     * the members at the time it ended, since most of these may be gone or in slow start by now. Without recent
     * requests this is an equal share of the ready members.
     */
    private static double memberShare(Group group, SampleWindow shares, long now) {
        long periodStartNanos = now - RECENT_PERIOD_NANOS;
        double sharesSum = (double) shares.sumSince(periodStartNanos) / Group.WHOLE_SHARE;
        return (sharesSum + 1.0 / Math.max(1, group.countReady())) / (shares.countSince(periodStartNanos) + 1);
    }

    /**
     * Returns the share of the arrivals that a member in slow start could be sent if it were warm. The members that are
     * warm now serve the load of all former warm members as far as they can. A host in slow start does so too, as far
     * as its budget allows with a margin for random variation.
     */
    private double ticketShare(Group group, long now) {
        double multiple = traffic.settings.slowStartMultiple();
        double safeFactor = Math.min(1, SAFETY_FACTOR * multiple);
        int warm = countWarm(group, now);
        if (warm == 0) {
            return safeFactor * memberShare(group, group.commitShares, now);
        }
        long periodStartNanos = now - RECENT_PERIOD_NANOS;
        SampleWindow commits = group.warmCommits;
        double shareOfWarmMember =
                (commits.sumSince(periodStartNanos) + 1.0) / (commits.countSince(periodStartNanos) + 1) / warm;
        return Math.min(
                safeFactor * shareOfWarmMember, MAX_SHARE * multiple * memberShare(group, group.warmCommitShares, now));
    }

    /** Draws a ticket once, where this many requests of the group arrive for each one that draws. */
    private void drawTicket(Host host, double arrivalsPerDraw, long now) {
        double minShare = traffic.settings.slowStartMinShare();
        double share = minShare + (1 - minShare) * ageNanos(host, now) / traffic.settings.slowStartNanos();
        if (random.nextDouble() < arrivalsPerDraw * share * ticketShare(host.group, now)) {
            host.slowStartTickets.addLast(now);
        }
    }

    /** Whether this host is in slow start. */
    boolean isInSlowStart(Host host, long now) {
        return host.launchedNanos > 0 && ageNanos(host, now) < traffic.settings.slowStartNanos();
    }

    /**
     * Returns how long ago the host started, in nanoseconds. A clock that is far ahead would make it look warm at once,
     * so until the clock is confirmed the age is at most the time since this router was notified of the start.
     */
    private long ageNanos(Host host, long now) {
        long byClockNanos = Math.max(0, clock.hostTimeAt(now) - host.launchedNanos);
        return clock.isConfirmed() ? byClockNanos : Math.min(byClockNanos, now - host.startNotifiedNanos);
    }

    /** Whether this host is warm or has a valid ticket; drops expired tickets. */
    boolean mayReceive(Host host, long now) {
        if (!isInSlowStart(host, now)) {
            return true;
        }
        long ticketTtlNanos = traffic.settings.slowStartTicketNanos();
        while (!host.slowStartTickets.isEmpty() && host.slowStartTickets.peekFirst() < now - ticketTtlNanos) {
            host.slowStartTickets.removeFirst();
        }
        return !host.slowStartTickets.isEmpty();
    }
}
