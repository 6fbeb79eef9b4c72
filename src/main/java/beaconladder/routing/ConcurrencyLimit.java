package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.TrafficStatistics;

/** Whether a host has room for one more txn. */
record ConcurrencyLimit(TrafficStatistics traffic, OutlierDetector health, DeadlinePolicy times) {
    boolean farBehind(Host host) {
        return host.lagNanos > 2 * traffic.tightestStalenessNanos;
    }

    /**
     * Whether this host would answer one more txn in time: its recent times, scaled by the submissions of this router
     * out there now against those out there then.
     */
    boolean roomFor(Host host, Request request, long now) {
        // Work that was abandoned may still be done there, but not for ever.
        host.abandoned.removeIf(old -> now > old.request.expiryNanos);
        int n = host.inFlight.size() + host.abandoned.size();
        // A host that turned a txn away is left to work off a part of its queue, so that rejections, which
        // cost it work too and count against a cold host, don't feed a storm of further submissions.
        if (now < host.lastRejectionNanos + health.usual(host) / 2) {
            return false;
        }
        long left = (now < request.slaEndNanos ? request.slaEndNanos : request.expiryNanos) - now;
        // Older times tell of a load that may be gone: a host that was slow and is sent little would look
        // slow for ever.
        long since = now - 3_000 * MILLISECOND;
        // Nine over all routers keep a small primary busy, three a replica, which has to apply the log too.
        int routers = (int) traffic.number("replicas_of_me", 1);
        boolean crowds = request.requestClass.consistency() == Consistency.ANY
                && host.lagNanos > traffic.tightestStalenessNanos / 2
                && !farBehind(host);
        if (host.responseTimes.countSince(since) < 4) {
            if (health.success(host, now) < 0.4) {
                // One at a time over all routers keeps it busy, lets a queue that starves it run off, and
                // shows when it has recovered.
                return host.inFlight.isEmpty()
                        && now - host.lastSentNanos >= routers * traffic.responseTimesByLoad.mean();
            }
            if (health.said(host, now)) {
                return roomByReport(host, request, crowds, left, now);
            }
        }
        int few = (host == host.group.primary ? 9 : 3) / routers;
        int out = host.inFlight.size();
        if (host.responseTimes.size() < 4) {
            return out < Math.max(1, 6 / routers);
        }
        // Work takes about a fifth of the SLA time and spreads to twice its mean, so at three tenths a host
        // has little more queue than it needs to stay busy; what waits beyond that waits here, where the
        // order can change.
        boolean recent = host.responseTimes.countSince(since) >= 4;
        double mean = recent ? host.responseTimes.mean(since) : host.responseTimes.mean();
        double beside = Math.max(1, recent ? host.responseTimes.meanCompanion(since) : 1);
        // On a replica near the bound any reads hold back, so that its apply thread gets its part of the
        // cores and it stays of use to bounded reads.
        double most = Math.min((crowds ? 0.2 : 0.3) * times.aim(request, now), 0.6 * left);
        // Own times tell no crowd from work where this router alone keeps the host from being busier; what
        // the host says that it holds does.
        if (recent && mean * (n + 1) / beside <= most
                || mean <= most && (out == 0 || recent && n <= beside)
                || health.said(host, now)
                        && (host.load() < 2
                                || traffic.responseTimesByLoad.size() >= 8
                                        && traffic.responseTimesByLoad.predict(host.load()) <= most)
                        && health.success(host, now) >= 0.4) {
            return true;
        }
        // Among few others a txn takes what the quicker half does; with less left the work would be for
        // nothing. A host too slow even so is kept busy by the others, and this router's single txns keep a
        // distance. Abandoned work doesn't count here: only answers to later sends can tell that it is done
        // with.
        return out < few && (!recent || host.responseTimes.quantile(0.5) <= left)
                || out == 0 && now - host.lastSentNanos >= mean * mean / (0.3 * request.requestClass.slaNanos());
    }

    /**
     * The same by what the host says that it holds for all routers, where this one sends it too little to tell: the
     * time to expect at its load, by the last answers and the loads they met. Holding a txn back saves no time, only
     * work for nothing, so the time may be most of what is left.
     */
    private boolean roomByReport(Host host, Request request, boolean crowds, long left, long now) {
        double load = host.load();
        // Two in hand wait for no core.
        if (load < 2) {
            return true;
        }
        // With no samples of its own a router starts from the SLA time: work takes a fifth of it, and a small
        // host does three at a time.
        double expected = traffic.responseTimesByLoad.size() < 8
                ? 0.2 * request.requestClass.slaNanos() * Math.max(1, (load + 1) / 3)
                : traffic.responseTimesByLoad.predict(load);
        return expected <= Math.min((crowds ? 0.25 : 0.7) * times.aim(request, now), 0.8 * left);
    }
}
