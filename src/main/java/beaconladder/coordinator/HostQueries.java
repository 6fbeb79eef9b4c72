package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.SlotQuery;
import beaconladder.discovery.EndpointWatch;
import beaconladder.pg.Decimal;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Queries hosts for their roles and positions, and starts and stops copies; the decisions are made elsewhere. */
final class HostQueries implements EndpointWatch.Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HostQueries.class);
    /** Timeout of a query: healthy hosts respond within milliseconds, and a migration retries in the next round. */
    private static final int TIMEOUT_MILLIS = 400;

    /** Returns comma-separated pairs; x0 is the replication position in seconds, x1 is 1 on a primary. */
    private static final String LOAD_REPORT_QUERY = "SHOW server_load";
    /** Decimal exponents that convert the hosts' units to nanoseconds. */
    private static final int SECONDS_TO_NANOS_EXPONENT = 9;

    private static final int MILLIS_TO_NANOS_EXPONENT = 6;

    private final Map<String, EndpointWatch.Entry> endpoints = new LinkedHashMap<>();
    private final Map<String, HostConnection> connections = new ConcurrentHashMap<>();
    /** The source and target host of each started copy, by tenant and slot; accessed by the migration loop only. */
    private final Map<String, String> startedCopies = new HashMap<>();

    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "host-query");
        thread.setDaemon(true);
        return thread;
    });

    @Override
    public synchronized void onEndpoints(boolean complete, List<EndpointWatch.Entry> changes) {
        if (complete) {
            endpoints.clear();
        }
        for (EndpointWatch.Entry entry : changes) {
            if (entry.state() == EndpointWatch.State.GONE) {
                endpoints.remove(entry.id());
            } else {
                endpoints.put(entry.id(), entry);
            }
        }
    }

    private synchronized List<EndpointWatch.Entry> members(int group) {
        return endpoints.values().stream()
                .filter(entry -> entry.group() == group)
                .toList();
    }

    /**
     * The state of a host, from its response.
     *
     * @param positionNanos its replication position, in nanoseconds
     * @param copiedNanos the position up to which it has copied the tenant's data; Long.MIN_VALUE if not queried
     */
    private record HostState(EndpointWatch.Entry host, boolean isPrimary, long positionNanos, long copiedNanos) {}

    /**
     * Queries the hosts of both groups of a slot. A host that does not respond has no role; if it is a ready target,
     * its copied position is Long.MIN_VALUE.
     *
     * @param nowNanos the current Unix time in nanoseconds
     */
    MigrationObservation observe(SlotQuery slot, long nowNanos) {
        List<EndpointWatch.Entry> targets = members(slot.targetGroup());
        List<Callable<HostState>> queries = new ArrayList<>();
        for (EndpointWatch.Entry host : members(slot.sourceGroup())) {
            queries.add(() -> queryState(host, null));
        }
        int sourceCount = queries.size();
        for (EndpointWatch.Entry host : targets) {
            queries.add(() -> queryState(host, slot.tenant()));
        }
        List<HostState> hostStates = runAll(queries);
        List<HostState> sourcePrimaries = hostStates.subList(0, sourceCount).stream()
                .filter(s -> s != null && s.isPrimary())
                .toList();
        List<HostState> targetStates = hostStates.subList(sourceCount, hostStates.size());
        List<HostState> targetPrimaries =
                targetStates.stream().filter(s -> s != null && s.isPrimary()).toList();
        if (slot.copying() && sourcePrimaries.size() == 1 && targetPrimaries.size() == 1) {
            startCopy(
                    slot, sourcePrimaries.get(0).host(), targetPrimaries.get(0).host());
        }
        List<Long> copiedPositions = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            // A ready host may become primary, so its copy must be complete, too.
            if (targets.get(i).state() == EndpointWatch.State.READY) {
                copiedPositions.add(
                        targetStates.get(i) == null
                                ? Long.MIN_VALUE
                                : targetStates.get(i).copiedNanos());
            }
        }
        return new MigrationObservation(
                nowNanos,
                sourcePrimaries.size() == 1 ? sourcePrimaries.get(0).host().id() : null,
                sourcePrimaries.size() == 1 ? sourcePrimaries.get(0).positionNanos() : Long.MIN_VALUE,
                targetPrimaries.size() == 1 ? targetPrimaries.get(0).host().id() : null,
                targetPrimaries.size() == 1 ? targetPrimaries.get(0).positionNanos() : Long.MIN_VALUE,
                copiedPositions);
    }

    /** Makes the target group's primary copy from this source; repeated only when the source or the target changes. */
    private void startCopy(SlotQuery slot, EndpointWatch.Entry source, EndpointWatch.Entry target) {
        String key = slot.tenant() + "/" + slot.slot();
        String hostPair = source.id() + ">" + target.id();
        if (hostPair.equals(startedCopies.get(key))) {
            return;
        }
        setFeed(
                target,
                slot.tenant() + " on " + source.address().getHostString() + ":"
                        + source.address().getPort(),
                () -> startedCopies.put(key, hostPair));
    }

    /** Stops the copy of a migration that has ended; an undone migration drops the copied data. */
    void endCopy(SlotQuery slot, boolean drop) {
        startedCopies.remove(slot.tenant() + "/" + slot.slot());
        for (EndpointWatch.Entry host : members(slot.targetGroup())) {
            setFeed(host, slot.tenant() + (drop ? " drop" : " off"), () -> {});
        }
    }

    private void setFeed(EndpointWatch.Entry host, String feed, Runnable onSuccess) {
        try {
            connection(host).query("SET beaconladder.feed = '" + feed + "'", TIMEOUT_MILLIS);
            onSuccess.run();
        } catch (IOException e) {
            disconnect(host);
            LOG.warn("{}: setting the feed to '{}' failed: {}", host.id(), feed, e.toString());
        }
    }

    private HostState queryState(EndpointWatch.Entry host, String tenant) throws IOException {
        try {
            HostConnection connection = connection(host);
            String report = connection.query(LOAD_REPORT_QUERY, TIMEOUT_MILLIS);
            Map<String, String> fields = new HashMap<>();
            for (String keyValue : String.valueOf(report).split(",")) {
                int equals = keyValue.indexOf('=');
                fields.put(
                        keyValue.substring(0, Math.max(0, equals)).strip(),
                        keyValue.substring(equals + 1).strip());
            }
            long copiedNanos = tenant == null
                    ? Long.MIN_VALUE
                    : Decimal.parseScaled(
                            connection.query(
                                    "SELECT copied FROM beaconladder_feeds WHERE tenant = '" + tenant + "'",
                                    TIMEOUT_MILLIS),
                            MILLIS_TO_NANOS_EXPONENT);
            return new HostState(
                    host,
                    "1".equals(fields.get("x1")),
                    Decimal.parseScaled(fields.get("x0"), SECONDS_TO_NANOS_EXPONENT),
                    copiedNanos);
        } catch (IOException e) {
            disconnect(host);
            throw e;
        }
    }

    private HostConnection connection(EndpointWatch.Entry host) throws IOException {
        HostConnection connection = connections.get(host.id());
        if (connection == null) {
            connection = new HostConnection(host.address(), TIMEOUT_MILLIS);
            HostConnection previous = connections.put(host.id(), connection);
            if (previous != null) {
                previous.close();
            }
        }
        return connection;
    }

    private void disconnect(EndpointWatch.Entry host) {
        HostConnection connection = connections.remove(host.id());
        if (connection != null) {
            connection.close();
        }
    }

    private List<HostState> runAll(List<Callable<HostState>> queries) {
        List<HostState> hostStates = new ArrayList<>();
        try {
            for (Future<HostState> response : executor.invokeAll(queries)) {
                try {
                    hostStates.add(response.get());
                } catch (ExecutionException e) {
                    hostStates.add(null);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        while (hostStates.size() < queries.size()) {
            hostStates.add(null);
        }
        return hostStates;
    }

    @Override
    public void close() {
        executor.shutdownNow();
        connections.values().forEach(HostConnection::close);
    }
}
