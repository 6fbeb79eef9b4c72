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

/** Queries hosts for roles and replication positions, and makes target cells' primaries copy; it decides nothing. */
final class HostQueries implements EndpointWatch.Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HostQueries.class);
    /** Hosts respond within milliseconds unless they are faulty; the migration then waits for the next round. */
    private static final int TIMEOUT_MILLIS = 400;

    private static final String LOAD_REPORT_QUERY = "SHOW server_load";

    private final Map<String, EndpointWatch.Entry> endpoints = new LinkedHashMap<>();
    private final Map<String, HostConnection> connections = new ConcurrentHashMap<>();
    /** Source and target host of each copy that was started, by tenant and slot; used by the loop's thread only. */
    private final Map<String, String> startedCopies = new HashMap<>();

    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
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
     * A host's response.
     *
     * @param positionNanos its replication position
     * @param copiedNanos how far the tenant's copy has reached there, or the least long if not queried
     */
    private record HostState(EndpointWatch.Entry host, boolean isPrimary, long positionNanos, long copiedNanos) {}

    /** Queries both groups of a slot, at this Unix time in nanoseconds; a host that does not respond is left out. */
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
        List<HostState> states = runAll(queries);
        List<HostState> sourcePrimaries = states.subList(0, sourceCount).stream()
                .filter(s -> s != null && s.isPrimary())
                .toList();
        List<HostState> targetStates = states.subList(sourceCount, states.size());
        List<HostState> targetPrimaries =
                targetStates.stream().filter(s -> s != null && s.isPrimary()).toList();
        if (slot.copying() && sourcePrimaries.size() == 1 && targetPrimaries.size() == 1) {
            startCopy(
                    slot, sourcePrimaries.get(0).host(), targetPrimaries.get(0).host());
        }
        List<Long> copiedPositions = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            // A host that is ready may become primary, so its copy has to be complete, too.
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

    /** Makes the target's primary copy from this source, again whenever one of the two has changed. */
    private void startCopy(SlotQuery slot, EndpointWatch.Entry source, EndpointWatch.Entry target) {
        String key = slot.tenant() + "/" + slot.slot();
        String pair = source.id() + ">" + target.id();
        if (pair.equals(startedCopies.get(key))) {
            return;
        }
        setFeed(
                target,
                slot.tenant() + " on " + source.address().getHostString() + ":"
                        + source.address().getPort(),
                () -> startedCopies.put(key, pair));
    }

    /** Stops the copy of a migration that has ended; the copied data is dropped if the migration was undone. */
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
            LOG.warn("{} was not told of the feed '{}': {}", host.id(), feed, e.toString());
        }
    }

    private HostState queryState(EndpointWatch.Entry host, String tenant) throws IOException {
        try {
            HostConnection connection = connection(host);
            String report = connection.query(LOAD_REPORT_QUERY, TIMEOUT_MILLIS);
            Map<String, String> fields = new HashMap<>();
            for (String pair : String.valueOf(report).split(",")) {
                int equals = pair.indexOf('=');
                fields.put(
                        pair.substring(0, Math.max(0, equals)).strip(),
                        pair.substring(equals + 1).strip());
            }
            long copiedNanos = tenant == null
                    ? Long.MIN_VALUE
                    : Decimal.parseScaled(
                            connection.query(
                                    "SELECT copied FROM beaconladder_feeds WHERE tenant = '" + tenant + "'",
                                    TIMEOUT_MILLIS),
                            6);
            return new HostState(
                    host, "1".equals(fields.get("x1")), Decimal.parseScaled(fields.get("x0"), 9), copiedNanos);
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
        List<HostState> states = new ArrayList<>();
        try {
            for (Future<HostState> response : threads.invokeAll(queries)) {
                try {
                    states.add(response.get());
                } catch (ExecutionException e) {
                    states.add(null);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        while (states.size() < queries.size()) {
            states.add(null);
        }
        return states;
    }

    @Override
    public void close() {
        threads.shutdownNow();
        connections.values().forEach(HostConnection::close);
    }
}
