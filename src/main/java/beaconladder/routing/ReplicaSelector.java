package beaconladder.routing;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.TrafficStatistics;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Selects the host to which a request is sent now. */
record ReplicaSelector(
        TrafficStatistics traffic,
        OutlierDetector outliers,
        SlowStart slowStart,
        DeadlinePolicy deadlines,
        ConcurrencyLimit limit,
        ReadPositions readPositions,
        PriorityWeights weights,
        SplittableRandom random) {
    /** With fewer replicas of known load than this, a request may wait for the answer to a probe. */
    private static final int MIN_INFORMED_REPLICAS = 2;
    /** So many probes of a request are sent although one replica of known load is already eligible. */
    private static final int FIRST_PROBES = 2;

    /** Returns the host to which this request is sent now, or null if it has to wait. */
    Host select(Request request, long now) {
        if (request.requestClass.consistency().requiresPrimary()) {
            return selectPrimary(request, now);
        }
        Host replica = selectReplica(request, now);
        if (replica == null
                && now >= deadlines.primaryFallbackNanos(request)
                && !readPositions.hasFreshReplica(request, now)
                && !request.group.hasQueuedWrite()) {
            return selectPrimary(request, now);
        }
        return replica;
    }

    /** Picks the less loaded of two random replicas that are known to have reached the required position; or null. */
    private Host selectReplica(Request request, long now) {
        long requiredPosition = readPositions.requiredPosition(request, now);
        List<Host> eligible = new ArrayList<>();
        for (Host host : request.group.members) {
            if (readPositions.isFreshReplica(host, requiredPosition)
                    && !request.isInFlightAt(host)
                    && limit.hasCapacity(host, request, now)
                    && slowStart.mayReceive(host, now)
                    && outliers.mayReceive(host, now)) {
                eligible.add(host);
            }
        }
        if (mayProbe(request)) {
            if (eligible.isEmpty()) {
                request.probeNeed = Request.ProbeNeed.REPLICA;
            } else if (weights.isProbingCheap()) {
                List<Host> informed = new ArrayList<>(eligible);
                informed.removeIf(host -> !outliers.hasRecentInformation(host, now));
                if (informed.size() < MIN_INFORMED_REPLICAS
                        && isAnswerExpected(request, request.probesSent < FIRST_PROBES || informed.isEmpty(), now)) {
                    request.probeNeed = Request.ProbeNeed.REPLICA;
                    return null;
                }
                eligible = informed.isEmpty() ? eligible : informed;
            }
        }
        if (eligible.size() < 2) {
            return eligible.isEmpty() ? null : eligible.get(0);
        }
        int i = random.nextInt(eligible.size());
        int j = random.nextInt(eligible.size() - 1);
        Host a = eligible.get(i);
        Host b = eligible.get(j >= i ? j + 1 : j);
        // A replica too far behind for bounded reads can serve unbounded reads only. Sending those there leaves the
        // other replicas free for bounded reads and for applying the log.
        if (request.requestClass.consistency() == Consistency.ANY && limit.lagsFarBehind(a) != limit.lagsFarBehind(b)) {
            return limit.lagsFarBehind(a) ? a : b;
        }
        boolean bothReported = outliers.hasRecentReport(a, now) && outliers.hasRecentReport(b, now);
        double loadA = bothReported ? (a.load() + 1) / outliers.successProbability(a, now) : a.inFlight.size();
        double loadB = bothReported ? (b.load() + 1) / outliers.successProbability(b, now) : b.inFlight.size();
        if (loadA == loadB) {
            // On a tie the replica in this zone is preferred, as traffic between zones costs more.
            return b.zone == traffic.settings.zone() ? b : a;
        }
        return loadB < loadA ? b : a;
    }

    /**
     * Whether the answer to a probe of a replica is still expected, or, if {@code mayProbeMore}, a replica can be
     * probed now.
     */
    private boolean isAnswerExpected(Request request, boolean mayProbeMore, long now) {
        for (Host host : request.group.members) {
            if (host.state == Host.State.READY
                    && host != request.group.primary
                    && !outliers.hasRecentInformation(host, now)
                    && (host.probeInFlight
                            ? !outliers.isProbeOverdue(host, now)
                            : mayProbeMore && now >= host.lastProbeNanos + OutlierDetector.REPORT_MAX_AGE_NANOS / 3)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the probe budget of this queued request, at least one probe, allows another one. */
    boolean mayProbe(Request request) {
        return request.attemptsInFlight() == 0
                && request.probesSent < weights.probeBudget(request)
                && traffic.probesAllowed();
    }

    private Host selectPrimary(Request request, long now) {
        Host primary = request.group.primary;
        if (primary == null
                || primary.state != Host.State.READY
                || !primary.contacted && traffic.probesAllowed()
                || !outliers.mayReceive(primary, now)) {
            request.probeNeed = mayProbe(request) ? Request.ProbeNeed.PRIMARY : Request.ProbeNeed.NONE;
            return null;
        }
        // An answer that did not arrive may have said that the host is no longer the primary, and counts as known. Only
        // reads are held back: a write at a host that is no longer the primary ends with a MISS.
        boolean mayHaveLostRole =
                request.requestClass.consistency() != Consistency.WRITE && readPositions.mayHaveLostRole(primary);
        if (mayHaveLostRole
                || !outliers.hasRecentInformation(primary, now) && mayProbe(request) && weights.isProbingCheap()) {
            request.probeNeed = mayProbe(request) ? Request.ProbeNeed.PRIMARY : Request.ProbeNeed.NONE;
            return null;
        }
        if (request.isInFlightAt(primary) || !limit.hasCapacity(primary, request, now)) {
            return null;
        }
        slowStart.drawTicketForPrimary(request, primary, now);
        return slowStart.mayReceive(primary, now) ? primary : null;
    }
}
