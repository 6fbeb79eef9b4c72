package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.TrafficStatistics;

/** Decides whether a host has capacity for one more request. */
record ConcurrencyLimit(TrafficStatistics traffic, OutlierDetector outliers, DeadlinePolicy deadlines) {
    /** Older response times reflect a past load: a slow host that receives few requests would look slow for ever. */
    private static final long RECENT_PERIOD_NANOS = 3_000 * MILLISECOND;
    /** Fewer response times than this are no basis for a mean. */
    private static final int MIN_SAMPLES = 4;
    /** Fewer response times with a reported load than this are no basis for a prediction. */
    private static final int MIN_LOAD_SAMPLES = 8;
    /** How many requests all routers together may have in flight at a host without response times. */
    private static final int UNMEASURED_LIMIT = 6;
    /**
     * The share of the latency objective that the predicted response time may reach. Work takes about a fifth of the
     * SLA time and spreads to twice its mean, so at three tenths a host has little more queue than it needs to stay
     * busy; further requests wait at the router, where their order can still change.
     */
    private static final double OBJECTIVE_SHARE = 0.3;
    /** The same for an unbounded read that yields to bounded ones. */
    private static final double YIELDING_OBJECTIVE_SHARE = 0.2;
    /** The share of the remaining time that the predicted response time may reach. */
    private static final double REMAINING_TIME_SHARE = 0.6;
    /**
     * How many requests all routers together may have in flight at a primary even if its response times exceed the
     * limit; they keep a small one busy.
     */
    private static final int MIN_CONCURRENCY_PRIMARY = 9;
    /** The same at a replica, which has to apply the log too. */
    private static final int MIN_CONCURRENCY_REPLICA = 3;
    /** The share of the SLA time that sets the distance between single requests to a host that is too slow. */
    private static final double SINGLE_REQUEST_SHARE = 0.3;
    /** With fewer requests than this in flight, none waits for a core. */
    private static final int QUEUEING_LOAD = 2;
    /** The share of the SLA time that a request is taken to need for its work while there are no samples. */
    private static final double DEFAULT_WORK_SHARE = 0.2;
    /** How many requests a host is taken to run at a time while there are no samples, as a small one does. */
    private static final int DEFAULT_PARALLELISM = 3;
    /** The share of the latency objective that the response time expected at the reported load may reach. */
    private static final double REPORTED_OBJECTIVE_SHARE = 0.7;
    /** The same for an unbounded read that yields to bounded ones. */
    private static final double YIELDING_REPORTED_OBJECTIVE_SHARE = 0.25;
    /** The share of the remaining time that the response time expected at the reported load may reach. */
    private static final double REPORTED_REMAINING_TIME_SHARE = 0.8;
    /** Below this probability of success a host counts as faulty. */
    private static final double MIN_SUCCESS_PROBABILITY = 0.4;

    /**
     * Whether a replica lags by over twice the tightest staleness bound, so that it can't serve such reads for a while.
     */
    boolean lagsFarBehind(Host host) {
        return host.lagNanos > 2 * traffic.tightestStalenessNanos;
    }

    /**
     * Whether this host would answer one more request in time. The estimate is the mean of its recent response times,
     * scaled by the ratio of this router's attempts in flight there now to those in flight then.
     */
    boolean hasCapacity(Host host, Request request, long now) {
        // An abandoned attempt may still be running there, but at most until its request expires.
        host.abandoned.removeIf(old -> now > old.request.expiryNanos);
        // After a rejection the host gets time to work off a part of its queue. A rejection costs it work too and
        // counts against a host in slow start, so retrying at once would feed a storm of attempts.
        if (now < host.lastRejectionNanos + outliers.typicalResponseNanos(host) / 2) {
            return false;
        }
        long remainingNanos = (now < request.slaEndNanos ? request.slaEndNanos : request.expiryNanos) - now;
        if (host.responseTimes.countSince(now - RECENT_PERIOD_NANOS) < MIN_SAMPLES) {
            if (outliers.successProbability(host, now) < MIN_SUCCESS_PROBABILITY) {
                // One request at a time over all routers keeps the host busy, lets its queue drain, and shows when it
                // has recovered.
                return host.inFlight.isEmpty()
                        && now - host.lastSentNanos >= routers() * traffic.responseTimesByLoad.mean();
            }
            if (outliers.hasRecentReport(host, now)) {
                return hasCapacityByReport(host, request, remainingNanos, now);
            }
        }
        if (host.responseTimes.size() < MIN_SAMPLES) {
            return host.inFlight.size() < Math.max(1, UNMEASURED_LIMIT / routers());
        }
        return hasCapacityByResponseTimes(host, request, remainingNanos, now);
    }

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
        long periodStartNanos = now - RECENT_PERIOD_NANOS;
        boolean recent = host.responseTimes.countSince(periodStartNanos) >= MIN_SAMPLES;
        double meanNanos = recent ? host.responseTimes.mean(periodStartNanos) : host.responseTimes.mean();
        double usualConcurrency = Math.max(1, recent ? host.responseTimes.meanLoad(periodStartNanos) : 1);
        int inFlight = host.inFlight.size();
        int unfinished = inFlight + host.abandoned.size();
        double objectiveShare = yieldsToBoundedReads(host, request) ? YIELDING_OBJECTIVE_SHARE : OBJECTIVE_SHARE;
        double limitNanos = Math.min(
                objectiveShare * deadlines.latencyObjectiveNanos(request, now), REMAINING_TIME_SHARE * remainingNanos);
        if (recent && meanNanos * (unfinished + 1) / usualConcurrency <= limitNanos) {
            return true;
        }
        if (meanNanos <= limitNanos && (inFlight == 0 || recent && unfinished <= usualConcurrency)) {
            return true;
        }
        // Where only this router's own limit keeps the host from being busier, its response times can't distinguish
        // queueing from work; the load that the host reports can.
        if (isLightlyLoadedByReport(host, limitNanos, now)) {
            return true;
        }
        // With few requests in flight, a request takes about the median response time; with less time left its work
        // would be wasted. A host that is too slow even for that is kept busy by the other routers, and this router
        // sends it single requests at a distance. Abandoned attempts don't count here, since only answers to later
        // sends can show that they ended.
        int minConcurrency =
                (host == host.group.primary ? MIN_CONCURRENCY_PRIMARY : MIN_CONCURRENCY_REPLICA) / routers();
        if (inFlight < minConcurrency && (!recent || host.responseTimes.quantile(0.5) <= remainingNanos)) {
            return true;
        }
        return inFlight == 0
                && now - host.lastSentNanos
                        >= meanNanos * meanNanos / (SINGLE_REQUEST_SHARE * request.requestClass.slaNanos());
    }

    /** Whether the host reported so low a load recently that its response time would be within the limit. */
    private boolean isLightlyLoadedByReport(Host host, double limitNanos, long now) {
        if (!outliers.hasRecentReport(host, now)) {
            return false;
        }
        boolean fast = host.load() < QUEUEING_LOAD
                || traffic.responseTimesByLoad.size() >= MIN_LOAD_SAMPLES
                        && traffic.responseTimesByLoad.predict(host.load()) <= limitNanos;
        return fast && outliers.successProbability(host, now) >= MIN_SUCCESS_PROBABILITY;
    }

    /**
     * Whether the response time expected at the reported load is short enough; used where this router sends the host
     * too few requests to measure. Holding a request back saves it no time, only work that may be wasted, so the
     * expected response time may take most of the remaining time.
     */
    private boolean hasCapacityByReport(Host host, Request request, long remainingNanos, long now) {
        double load = host.load();
        if (load < QUEUEING_LOAD) {
            return true;
        }
        double expectedNanos = traffic.responseTimesByLoad.size() < MIN_LOAD_SAMPLES
                ? DEFAULT_WORK_SHARE * request.requestClass.slaNanos() * Math.max(1, (load + 1) / DEFAULT_PARALLELISM)
                : traffic.responseTimesByLoad.predict(load);
        double objectiveShare =
                yieldsToBoundedReads(host, request) ? YIELDING_REPORTED_OBJECTIVE_SHARE : REPORTED_OBJECTIVE_SHARE;
        return expectedNanos
                <= Math.min(
                        objectiveShare * deadlines.latencyObjectiveNanos(request, now),
                        REPORTED_REMAINING_TIME_SHARE * remainingNanos);
    }
}
