package beaconladder.testbed.scale;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What is seen of a hollow router's record of positions, judged by what its hosts really have. */
final class PositionMetrics implements SimulatedRouter.Watcher {
    private static final long MS = SimulatedHosts.MS;
    private static final long LOOK = 100 * MS;
    private static final List<Consistency> READS = List.of(Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY);

    /** Counts of one kind of read. */
    private static final class Kind {
        long reads;
        /** No replica was fresh enough by the record when it came; by what the hosts have. */
        long noneByRecord;

        long noneInTruth;
        long held;
        long toPrimary;
        long neverSent;
        long stale;
        /** Of those held. */
        final Histogram heldFor = new Histogram(3);
        /** When sent: how long ago the host had last spoken, and how far back its known position was. */
        final Histogram heardAgo = new Histogram(3);

        final Histogram positionAge = new Histogram(3);
    }

    private final SimulatedHosts truth;
    private final Map<Consistency, Kind> kinds = new LinkedHashMap<>();
    /** How long ago a replica of the group had last spoken when a read came. */
    private final Histogram heardBefore = new Histogram(3);

    private final SimulatedConnections lines;
    private final SimulatedConnections kept;
    private long txns;
    private long probes;
    private long nextLook;

    PositionMetrics(SimulatedHosts truth, long keepIdle) {
        this.truth = truth;
        lines = new SimulatedConnections(truth.count(), keepIdle, true);
        kept = new SimulatedConnections(truth.count(), keepIdle, false);
        READS.forEach(read -> kinds.put(read, new Kind()));
    }

    /** From here on it counts anew. */
    void reset() {
        READS.forEach(read -> kinds.put(read, new Kind()));
        heardBefore.reset();
        lines.reset();
        kept.reset();
        txns = 0;
        probes = 0;
    }

    @Override
    public void came(Request txn, long now) {
        if (now >= nextLook) {
            nextLook = now + LOOK;
            lines.look(now);
            kept.look(now);
        }
        txns++;
        Kind kind = kinds.get(txn.requestClass.consistency());
        if (kind == null) {
            return;
        }
        kind.reads++;
        long target = target(txn, txn.sessionWritePosition, now);
        boolean byRecord = false;
        boolean inTruth = false;
        for (Host host : txn.group.members) {
            if (host != txn.group.primary) {
                byRecord |= host.contacted && host.position >= target;
                inTruth |= truth.position(host.id, now) >= target;
                if (host.contacted) {
                    heardBefore.recordValue((now - host.lastReportNanos) / 1_000);
                }
            }
        }
        kind.noneByRecord += byRecord ? 0 : 1;
        kind.noneInTruth += inTruth ? 0 : 1;
    }

    /** The position that a read must see, given that of its session's last write. */
    static long target(Request txn, long written, long now) {
        return switch (txn.requestClass.consistency()) {
            case BOUNDED -> now - txn.requestClass.maxStalenessNanos();
            case SESSION -> written;
            default -> Long.MIN_VALUE;
        };
    }

    @Override
    public void sent(Attempt s, long now) {
        lines.take(s.host.id, now);
        kept.take(s.host.id, now);
        Kind kind = kinds.get(s.request.requestClass.consistency());
        if (kind == null) {
            return;
        }
        boolean atPrimary = SimulatedHosts.isPrimary(s.host.id);
        if (s.index == 0) {
            kind.toPrimary += atPrimary ? 1 : 0;
            if (now > s.request.arrivedNanos) {
                kind.held++;
                kind.heldFor.recordValue((now - s.request.arrivedNanos) / 1_000);
            }
        }
        if (!atPrimary) {
            kind.heardAgo.recordValue((now - s.host.lastReportNanos) / 1_000);
            kind.positionAge.recordValue((now - s.host.position) / 1_000);
            kind.stale += truth.position(s.host.id, now) < target(s.request, s.request.sessionTarget, now) ? 1 : 0;
        }
    }

    @Override
    public void probed(Host host, long now) {
        probes++;
        lines.take(host.id, now);
        kept.take(host.id, now);
    }

    @Override
    public void free(Host host, long now) {
        lines.free(host.id, now);
        kept.free(host.id, now);
    }

    @Override
    public void close(Host host, long now) {
        lines.close(host.id);
        kept.close(host.id);
    }

    @Override
    public void ended(Request txn, long now) {
        Kind kind = kinds.get(txn.requestClass.consistency());
        if (kind != null && txn.attempts.isEmpty()) {
            kind.neverSent++;
        }
    }

    /** The figures of so many seconds; shares are of the reads of a kind, times in milliseconds. */
    void figures(Map<String, Object> to, double seconds) {
        for (Map.Entry<Consistency, Kind> each : kinds.entrySet()) {
            String name = each.getKey().name().toLowerCase(Locale.ROOT);
            Kind kind = each.getValue();
            double reads = Math.max(1, kind.reads);
            to.put(name + "_reads", kind.reads);
            to.put(name + "_none_fresh_by_record", kind.noneByRecord / reads);
            to.put(name + "_none_fresh_in_truth", kind.noneInTruth / reads);
            to.put(name + "_held", kind.held / reads);
            times(to, name + "_held_ms", kind.heldFor);
            to.put(name + "_to_primary", kind.toPrimary / reads);
            to.put(name + "_never_sent", kind.neverSent / reads);
            times(to, name + "_heard_ago_at_use_ms", kind.heardAgo);
            times(to, name + "_position_age_at_use_ms", kind.positionAge);
            to.put(name + "_stale", kind.stale);
        }
        times(to, "heard_ago_at_arrival_ms", heardBefore);
        to.put("probes_a_txn", (double) probes / Math.max(1, txns));
        String[] roles = {"primary", "replica"};
        double groups = truth.count() / (double) SimulatedHosts.MEMBERS;
        double routers = SimulatedRouterSettings.routers(truth.count());
        to.put("reckoned_routers", routers);
        for (int role = 0; role < 2; role++) {
            // What one router has, at each such host, times the routers before so many hosts.
            double fleet = routers / (role == 0 ? groups : truth.count() - groups);
            String name = "reckoned_at_a_" + roles[role];
            to.put(name + "_open", lines.open(role) * fleet);
            to.put(name + "_in_use", lines.used(role) * fleet);
            to.put(name + "_made_a_second", lines.made(role) / seconds * fleet);
            to.put(name + "_open_if_kept", kept.open(role) * fleet);
            to.put(name + "_made_a_second_if_kept", kept.made(role) / seconds * fleet);
        }
        to.put("reckoned_at_a_host_probes_a_second", probes / seconds * routers / truth.count());
    }

    private static void times(Map<String, Object> to, String name, Histogram of) {
        to.put(name + "_p50", of.getValueAtPercentile(50) / 1e3);
        to.put(name + "_p99", of.getValueAtPercentile(99) / 1e3);
    }
}
