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

/** Collects figures on a simulated router's record of positions, compared with the true positions of its hosts. */
final class PositionMetrics implements SimulatedRouter.Observer {
    private static final long NANOS_PER_MILLI = SimulatedHosts.NANOS_PER_MILLI;
    private static final long SAMPLE_PERIOD_NANOS = 100 * NANOS_PER_MILLI;
    private static final List<Consistency> READS = List.of(Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY);

    /** Counts for one kind of read. */
    private static final class ReadCounts {
        long reads;
        /**
         * Reads for which no replica was fresh enough on arrival: by the router's record, and by the true positions.
         */
        long noneFreshByRecord;

        long noneFreshInTruth;
        long held;
        long toPrimary;
        long neverSent;
        long stale;
        /** How long held reads waited, in microseconds. */
        final Histogram heldMicros = new Histogram(3);
        /**
         * At the time of sending: the time since the host's last report, and the age of its known position, in
         * microseconds.
         */
        final Histogram reportAgeMicros = new Histogram(3);

        final Histogram positionAgeMicros = new Histogram(3);
    }

    private final SimulatedHosts simulatedHosts;
    private final Map<Consistency, ReadCounts> countsByRead = new LinkedHashMap<>();
    /** The time since the last report of each replica of the group when a read arrives, in microseconds. */
    private final Histogram reportAgeAtArrivalMicros = new Histogram(3);

    private final SimulatedConnections connections;
    private final SimulatedConnections keptConnections;
    private long requests;
    private long probes;
    private long nextSampleNanos;

    PositionMetrics(SimulatedHosts simulatedHosts, long maxIdleNanos) {
        this.simulatedHosts = simulatedHosts;
        connections = new SimulatedConnections(simulatedHosts.count(), maxIdleNanos, true);
        keptConnections = new SimulatedConnections(simulatedHosts.count(), maxIdleNanos, false);
        READS.forEach(read -> countsByRead.put(read, new ReadCounts()));
    }

    /** Resets all figures. */
    void reset() {
        READS.forEach(read -> countsByRead.put(read, new ReadCounts()));
        reportAgeAtArrivalMicros.reset();
        connections.reset();
        keptConnections.reset();
        requests = 0;
        probes = 0;
    }

    @Override
    public void requestArrived(Request request, long now) {
        if (now >= nextSampleNanos) {
            nextSampleNanos = now + SAMPLE_PERIOD_NANOS;
            connections.sample(now);
            keptConnections.sample(now);
        }
        requests++;
        ReadCounts counts = countsByRead.get(request.requestClass.consistency());
        if (counts == null) {
            return;
        }
        counts.reads++;
        long target = target(request, request.sessionWritePosition, now);
        boolean freshByRecord = false;
        boolean freshInTruth = false;
        for (Host host : request.group.members) {
            if (host != request.group.primary) {
                freshByRecord |= host.contacted && host.position >= target;
                freshInTruth |= simulatedHosts.position(host.id, now) >= target;
                if (host.contacted) {
                    reportAgeAtArrivalMicros.recordValue((now - host.lastReportNanos) / 1_000);
                }
            }
        }
        counts.noneFreshByRecord += freshByRecord ? 0 : 1;
        counts.noneFreshInTruth += freshInTruth ? 0 : 1;
    }

    /** Returns the position that a read must see, given that of the last write of its session. */
    static long target(Request request, long writePosition, long now) {
        return switch (request.requestClass.consistency()) {
            case BOUNDED -> now - request.requestClass.maxStalenessNanos();
            case SESSION -> writePosition;
            default -> Long.MIN_VALUE;
        };
    }

    @Override
    public void attemptSent(Attempt attempt, long now) {
        connections.acquire(attempt.host.id, now);
        keptConnections.acquire(attempt.host.id, now);
        ReadCounts counts = countsByRead.get(attempt.request.requestClass.consistency());
        if (counts == null) {
            return;
        }
        boolean onPrimary = SimulatedHosts.isPrimary(attempt.host.id);
        if (attempt.index == 0) {
            counts.toPrimary += onPrimary ? 1 : 0;
            if (now > attempt.request.arrivedNanos) {
                counts.held++;
                counts.heldMicros.recordValue((now - attempt.request.arrivedNanos) / 1_000);
            }
        }
        if (!onPrimary) {
            counts.reportAgeMicros.recordValue((now - attempt.host.lastReportNanos) / 1_000);
            counts.positionAgeMicros.recordValue((now - attempt.host.position) / 1_000);
            counts.stale += simulatedHosts.position(attempt.host.id, now)
                            < target(attempt.request, attempt.request.sessionTarget, now)
                    ? 1
                    : 0;
        }
    }

    @Override
    public void probeSent(Host host, long now) {
        probes++;
        connections.acquire(host.id, now);
        keptConnections.acquire(host.id, now);
    }

    @Override
    public void callEnded(Host host, long now) {
        connections.release(host.id, now);
        keptConnections.release(host.id, now);
    }

    @Override
    public void idleCloseRequested(Host host, long now) {
        connections.closeIdle(host.id);
        keptConnections.closeIdle(host.id);
    }

    @Override
    public void requestEnded(Request request, long now) {
        ReadCounts counts = countsByRead.get(request.requestClass.consistency());
        if (counts != null && request.attempts.isEmpty()) {
            counts.neverSent++;
        }
    }

    /** Adds the figures of so many seconds; shares are of the reads of a kind, times in milliseconds. */
    void figures(Map<String, Object> output, double seconds) {
        for (Map.Entry<Consistency, ReadCounts> entry : countsByRead.entrySet()) {
            String name = entry.getKey().name().toLowerCase(Locale.ROOT);
            ReadCounts counts = entry.getValue();
            double reads = Math.max(1, counts.reads);
            output.put(name + "_reads", counts.reads);
            output.put(name + "_none_fresh_by_record", counts.noneFreshByRecord / reads);
            output.put(name + "_none_fresh_in_truth", counts.noneFreshInTruth / reads);
            output.put(name + "_held", counts.held / reads);
            times(output, name + "_held_ms", counts.heldMicros);
            output.put(name + "_to_primary", counts.toPrimary / reads);
            output.put(name + "_never_sent", counts.neverSent / reads);
            times(output, name + "_heard_ago_at_use_ms", counts.reportAgeMicros);
            times(output, name + "_position_age_at_use_ms", counts.positionAgeMicros);
            output.put(name + "_stale", counts.stale);
        }
        times(output, "heard_ago_at_arrival_ms", reportAgeAtArrivalMicros);
        output.put("probes_a_txn", (double) probes / Math.max(1, requests));
        String[] roles = {"primary", "replica"};
        double groups = simulatedHosts.count() / (double) SimulatedHosts.GROUP_SIZE;
        double routers = SimulatedRouterSettings.routers(simulatedHosts.count());
        output.put("reckoned_routers", routers);
        for (int role = 0; role < 2; role++) {
            // The value of one router, per host of this role, multiplied by the number of routers for so many hosts.
            double routersPerHost = routers / (role == 0 ? groups : simulatedHosts.count() - groups);
            String name = "reckoned_at_a_" + roles[role];
            output.put(name + "_open", connections.meanOpen(role) * routersPerHost);
            output.put(name + "_in_use", connections.meanInUse(role) * routersPerHost);
            output.put(name + "_made_a_second", connections.opened(role) / seconds * routersPerHost);
            output.put(name + "_open_if_kept", keptConnections.meanOpen(role) * routersPerHost);
            output.put(name + "_made_a_second_if_kept", keptConnections.opened(role) / seconds * routersPerHost);
        }
        output.put("reckoned_at_a_host_probes_a_second", probes / seconds * routers / simulatedHosts.count());
    }

    private static void times(Map<String, Object> output, String name, Histogram micros) {
        output.put(name + "_p50", micros.getValueAtPercentile(50) / 1e3);
        output.put(name + "_p99", micros.getValueAtPercentile(99) / 1e3);
    }
}
