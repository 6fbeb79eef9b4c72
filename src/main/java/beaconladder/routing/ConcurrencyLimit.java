package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.TrafficStatistics;

/** Decides whether a host has capacity for one more request. */
record ConcurrencyLimit(TrafficStatistics traffic, OutlierDetector outliers, DeadlinePolicy deadlines) {
    /** Older response times reflect a past load: a slow host that is sent little would look slow for ever. */
    private static final long RECENT_PERIOD = 3_000 * MILLISECOND;
    /** Fewer response times than this are no basis for a mean. */
    private static final int MIN_SAMPLES = 4;

    private static final int MIN_LOAD_SAMPLES = 8;
    /** Below this probability of success a host counts as faulty. */
    private static final double MIN_SUCCESS_PROBABILITY = 0.4;

    /** Whether a replica lags too far to serve reads with the tightest bound on staleness for some time. */
    boolean lagsFarBehind(Host host) {
        return host.lagNanos > 2 * traffic.tightestStalenessNanos;
    }

    /**
     * Whether this host would answer one more request in time: its recent response times, scaled by the attempts of
     * this router in flight there now against those in flight then.
     */
    boolean hasCapacity(Host host, Request request, long now) {
        // Abandoned work may still run there, but at most until its request expires.
        host.abandoned.removeIf(old -> now > old.request.expiryNanos);
        // A host that rejected a request is left to work off a part of its queue, so that rejections, which
        // cost it work too and count against a warming-up host, don't feed a storm of further attempts.
        if (now < host.lastRejectionNanos + outliers.typicalResponseNanos(host) / 2) {
            return false;
        }
        long remainingNanos = (now < request.slaEndNanos ? request.slaEndNanos : request.expiryNanos) - now;
        if (host.responseTimes.countSince(now - RECENT_PERIOD) < MIN_SAMPLES) {
            if (outliers.successProbability(host, now) < MIN_SUCCESS_PROBABILITY) {
                // One at a time over all routers keeps it busy, lets a queue that starves it run off, and
                // shows when it has recovered.
                return host.inFlight.isEmpty()
                        && now - host.lastSentNanos >= routers() * traffic.responseTimesByLoad.mean();
            }
            if (outliers.hasRecentReport(host, now)) {
                return hasCapacityByReport(host, request, remainingNanos, now);
            }
        }
        if (host.responseTimes.size() < MIN_SAMPLES) {
            return host.inFlight.size() < Math.max(1, 6 / routers());
        }
        return hasCapacityByResponseTimes(host, request, remainingNanos, now);
    }

    /** How many routers share the hosts. */
    private int routers() {
        return traffic.settings.routers();
    }

    /**
     * Whether an unbounded read should leave capacity on a replica near the staleness bound, so that its apply thread
     * gets its part of the cores and the replica stays usable for bounded reads.
     */
    private boolean yieldsToBoundedReads(Host host, Request request) {
        return request.requestClass.consistency() == Consistency.ANY
                && host.lagNanos > traffic.tightestStalenessNanos / 2
                && !lagsFarBehind(host);
    }

    private boolean hasCapacityByResponseTimes(Host host, Request request, long remainingNanos, long now) {
        long since = now - RECENT_PERIOD;
        boolean recent = host.responseTimes.countSince(since) >= MIN_SAMPLES;
        double meanNanos = recent ? host.responseTimes.mean(since) : host.responseTimes.mean();
        double usualConcurrency = Math.max(1, recent ? host.responseTimes.meanCompanion(since) : 1);
        int inFlight = host.inFlight.size();
        int unfinished = inFlight + host.abandoned.size();
        // Work takes about a fifth of the SLA time and spreads to twice its mean, so at three tenths a host
        // has little more queue than it needs to stay busy; further requests wait at the router, where their
        // order can still change.
        double objectiveShare = yieldsToBoundedReads(host, request) ? 0.2 : 0.3;
        double limitNanos =
                Math.min(objectiveShare * deadlines.latencyObjectiveNanos(request, now), 0.6 * remainingNanos);
        if (recent && meanNanos * (unfinished + 1) / usualConcurrency <= limitNanos) {
            return true;
        }
        if (meanNanos <= limitNanos && (inFlight == 0 || recent && unfinished <= usualConcurrency)) {
            return true;
        }
        // Where this router alone keeps the host from being busier, its own response times can't distinguish queueing
        // from work; the load that the host reports can.
        if (isLightlyLoadedByReport(host, limitNanos, now)) {
            return true;
        }
        // With few in flight a request takes what the faster half does; with less time left the work would be
        // wasted. A host too slow even so is kept busy by the other routers, and the single requests of this one
        // keep a distance. Abandoned work doesn't count here: only answers to later sends can show that it ended.
        // Nine over all routers keep a small primary busy, three a replica, which has to apply the log too.
        int few = (host == host.group.primary ? 9 : 3) / routers();
        if (inFlight < few && (!recent || host.responseTimes.quantile(0.5) <= remainingNanos)) {
            return true;
        }
        return inFlight == 0
                && now - host.lastSentNanos >= meanNanos * meanNanos / (0.3 * request.requestClass.slaNanos());
    }

    private boolean isLightlyLoadedByReport(Host host, double limitNanos, long now) {
        if (!outliers.hasRecentReport(host, now)) {
            return false;
        }
        boolean fast = host.load() < 2
                || traffic.responseTimesByLoad.size() >= MIN_LOAD_SAMPLES
                        && traffic.responseTimesByLoad.predict(host.load()) <= limitNanos;
        return fast && outliers.successProbability(host, now) >= MIN_SUCCESS_PROBABILITY;
    }

    /**
     * Whether the response time to expect at the reported load is short enough; used where this router sends the host
     * too little to measure. Queueing a request saves no time, only wasted work, so most of the remaining time will do.
     */
    private boolean hasCapacityByReport(Host host, Request request, long remainingNanos, long now) {
        double load = host.load();
        // With fewer than two in flight no request waits for a core.
        if (load < 2) {
            return true;
        }
        // Without samples a router starts from the SLA time: work takes a fifth of it, and a small host runs
        // three requests at a time.
        double expectedNanos = traffic.responseTimesByLoad.size() < MIN_LOAD_SAMPLES
                ? 0.2 * request.requestClass.slaNanos() * Math.max(1, (load + 1) / 3)
                : traffic.responseTimesByLoad.predict(load);
        double objectiveShare = yieldsToBoundedReads(host, request) ? 0.25 : 0.7;
        return expectedNanos
                <= Math.min(objectiveShare * deadlines.latencyObjectiveNanos(request, now), 0.8 * remainingNanos);
    }
}
