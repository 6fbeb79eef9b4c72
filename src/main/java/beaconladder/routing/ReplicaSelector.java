package beaconladder.routing;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Read;
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
    Host choose(Request txn, long now) {
        if (txn.type.read().atPrimary()) {
            return primaryFor(txn, now);
        }
        Host replica = replicaFor(txn, now);
        if (replica == null && now >= times.release(txn) && !targets.anyFresh(txn, now) && !txn.group.holdsWrite()) {
            return primaryFor(txn, now);
        }
        return replica;
    }

    /** The design's two-choice pick among the replicas known to meet the target. */
    private Host replicaFor(Request txn, long now) {
        long target = targets.target(txn, now);
        List<Host> fit = new ArrayList<>();
        for (Host host : txn.group.members) {
            if (targets.fresh(host, target)
                    && !txn.outAt(host)
                    && room.roomFor(host, txn, now)
                    && slowStart.allows(host, now)
                    && health.trusted(host, now)) {
                fit.add(host);
            }
        }
        if (mayAsk(txn)) {
            if (fit.isEmpty()) {
                txn.want = Request.Want.MEMBER;
            } else if (worth.worthAsking()) {
                List<Host> young = new ArrayList<>(fit);
                young.removeIf(host -> !health.informed(host, now));
                if (young.size() < 2 && answerDue(txn, txn.asked < 2 || young.isEmpty(), now)) {
                    txn.want = Request.Want.MEMBER;
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
        if (txn.type.read() == Read.ANY && room.farBehind(a) != room.farBehind(b)) {
            return room.farBehind(a) ? a : b;
        }
        boolean said = health.said(a, now) && health.said(b, now);
        double busyA = said ? (a.load() + 1) / health.success(a, now) : a.out.size();
        double busyB = said ? (b.load() + 1) / health.success(b, now) : b.out.size();
        if (busyA == busyB) {
            // A tie of the design's pick goes to the nearer one, as crossing zones has its price.
            return b.zone == (int) traffic.number("my_zone", 0) ? b : a;
        }
        return busyB < busyA ? b : a;
    }

    /** Whether an answer to a probe is under way, or, if more may be asked, a member is there to ask. */
    private boolean answerDue(Request txn, boolean more, long now) {
        for (Host host : txn.group.members) {
            if (host.state == Host.State.READY
                    && host != txn.group.primary
                    && !health.informed(host, now)
                    && (host.probeOut
                            ? !health.mute(host, now)
                            : more && now >= host.probeSent + OutlierDetector.YOUNG / 3)) {
                return true;
            }
        }
        return false;
    }

    /** A held txn pays for as many probes as a seventh of its value buys, one at the least. */
    boolean mayAsk(Request txn) {
        return txn.out() == 0 && txn.asked < worth.budget(txn) && traffic.probesAllowed();
    }

    private Host primaryFor(Request txn, long now) {
        Host primary = txn.group.primary;
        if (primary == null
                || primary.state != Host.State.READY
                || !primary.met && traffic.probesAllowed()
                || !health.trusted(primary, now)) {
            txn.want = mayAsk(txn) ? Request.Want.PRIMARY : Request.Want.NOTHING;
            return null;
        }
        // An answer not heard may have denied it, and counts as known; a write learns that by a miss.
        boolean denied = txn.type.read() != Read.WRITE && targets.mayHaveDenied(primary);
        if (denied || !health.informed(primary, now) && mayAsk(txn) && worth.worthAsking()) {
            txn.want = mayAsk(txn) ? Request.Want.PRIMARY : Request.Want.NOTHING;
            return null;
        }
        if (txn.outAt(primary) || !room.roomFor(primary, txn, now)) {
            return null;
        }
        slowStart.drawForPrimary(txn, primary, now);
        return slowStart.allows(primary, now) ? primary : null;
    }
}
