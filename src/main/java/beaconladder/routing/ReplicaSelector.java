package beaconladder.routing;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.TrafficStatistics;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Which host gets a txn now. */
record ReplicaSelector(
        TrafficStatistics traffic,
        OutlierDetector health,
        SlowStart slowStart,
        DeadlinePolicy times,
        ConcurrencyLimit room,
        ReadPositions targets,
        PriorityWeights worth,
        SplittableRandom chance) {
    /** The host that gets this txn now, or null: it waits. */
    Host choose(Request request, long now) {
        if (request.requestClass.consistency().requiresPrimary()) {
            return primaryFor(request, now);
        }
        Host replica = replicaFor(request, now);
        if (replica == null
                && now >= times.release(request)
                && !targets.anyFresh(request, now)
                && !request.group.hasQueuedWrite()) {
            return primaryFor(request, now);
        }
        return replica;
    }

    /** The design's two-choice pick among the replicas known to meet the target. */
    private Host replicaFor(Request request, long now) {
        long target = targets.target(request, now);
        List<Host> fit = new ArrayList<>();
        for (Host host : request.group.members) {
            if (targets.fresh(host, target)
                    && !request.isInFlightAt(host)
                    && room.roomFor(host, request, now)
                    && slowStart.allows(host, now)
                    && health.trusted(host, now)) {
                fit.add(host);
            }
        }
        if (mayAsk(request)) {
            if (fit.isEmpty()) {
                request.probeNeed = Request.ProbeNeed.REPLICA;
            } else if (worth.worthAsking()) {
                List<Host> young = new ArrayList<>(fit);
                young.removeIf(host -> !health.informed(host, now));
                if (young.size() < 2 && answerDue(request, request.probesSent < 2 || young.isEmpty(), now)) {
                    request.probeNeed = Request.ProbeNeed.REPLICA;
                    return null;
                }
                fit = young.isEmpty() ? fit : young;
            }
        }
        if (fit.size() < 2) {
            return fit.isEmpty() ? null : fit.get(0);
        }
        int i = chance.nextInt(fit.size());
        int j = chance.nextInt(fit.size() - 1);
        Host a = fit.get(i);
        Host b = fit.get(j >= i ? j + 1 : j);
        // A member too far behind for bounded reads is of use for any reads alone, and those leave the others
        // to the reads that need them, and to catching up.
        if (request.requestClass.consistency() == Consistency.ANY && room.farBehind(a) != room.farBehind(b)) {
            return room.farBehind(a) ? a : b;
        }
        boolean said = health.said(a, now) && health.said(b, now);
        double busyA = said ? (a.load() + 1) / health.success(a, now) : a.inFlight.size();
        double busyB = said ? (b.load() + 1) / health.success(b, now) : b.inFlight.size();
        if (busyA == busyB) {
            // A tie of the design's pick goes to the nearer one, as crossing zones has its price.
            return b.zone == (int) traffic.number("my_zone", 0) ? b : a;
        }
        return busyB < busyA ? b : a;
    }

    /** Whether an answer to a probe is under way, or, if more may be asked, a member is there to ask. */
    private boolean answerDue(Request request, boolean more, long now) {
        for (Host host : request.group.members) {
            if (host.state == Host.State.READY
                    && host != request.group.primary
                    && !health.informed(host, now)
                    && (host.probeInFlight
                            ? !health.mute(host, now)
                            : more && now >= host.lastProbeNanos + OutlierDetector.YOUNG / 3)) {
                return true;
            }
        }
        return false;
    }

    /** A held txn pays for as many probes as a seventh of its value buys, one at the least. */
    boolean mayAsk(Request request) {
        return request.attemptsInFlight() == 0 && request.probesSent < worth.budget(request) && traffic.probesAllowed();
    }

    private Host primaryFor(Request request, long now) {
        Host primary = request.group.primary;
        if (primary == null
                || primary.state != Host.State.READY
                || !primary.contacted && traffic.probesAllowed()
                || !health.trusted(primary, now)) {
            request.probeNeed = mayAsk(request) ? Request.ProbeNeed.PRIMARY : Request.ProbeNeed.NONE;
            return null;
        }
        // An answer not heard may have denied it, and counts as known; a write learns that by a miss.
        boolean denied = request.requestClass.consistency() != Consistency.WRITE && targets.mayHaveDenied(primary);
        if (denied || !health.informed(primary, now) && mayAsk(request) && worth.worthAsking()) {
            request.probeNeed = mayAsk(request) ? Request.ProbeNeed.PRIMARY : Request.ProbeNeed.NONE;
            return null;
        }
        if (request.isInFlightAt(primary) || !room.roomFor(primary, request, now)) {
            return null;
        }
        slowStart.drawForPrimary(request, primary, now);
        return slowStart.allows(primary, now) ? primary : null;
    }
}
