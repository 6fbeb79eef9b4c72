package beaconladder.server;

import beaconladder.cells.PlacementTable;
import beaconladder.cells.TenantPlacement;
import beaconladder.cells.WriteActivity;
import beaconladder.discovery.HttpFetcher;
import beaconladder.discovery.JsonReader;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches this router's placement from the coordinator by long polling, and reports to it the writes of the tenants
 * that are being migrated. Each response renews the lease on the placement.
 */
final class PlacementWatcher implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementWatcher.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A lease is renewed this many times before it ends, so that one lost request does no harm. */
    private static final int RENEWALS_PER_LEASE = 3;
    /** While a tenant is migrated, the coordinator waits for reports of the writes in flight. */
    private static final int MIGRATION_POLL_MILLIS = 10;
    /** How much longer than the requested wait a response may take. */
    private static final int RESPONSE_GRACE_MILLIS = 500;

    private static final int RETRY_DELAY_MILLIS = 50;

    private final HttpFetcher http;
    private final RequestDispatcher dispatcher;
    private final String routerName;
    private final String runId;
    private final long pollMillis;
    /** The placements of the version that the dispatcher has; a response without them refers to these. */
    private Map<String, TenantPlacement> currentPlacements = Map.of();

    private volatile boolean stopped;

    /**
     * A watcher that has not fetched a placement.
     *
     * @param leaseNanos the length of the lease on a placement
     * @param runId differs between two runs of this router
     */
    PlacementWatcher(
            InetSocketAddress coordinator,
            long leaseNanos,
            String routerName,
            String runId,
            RequestDispatcher dispatcher) {
        this.http = new HttpFetcher(coordinator);
        this.dispatcher = dispatcher;
        this.routerName = routerName;
        this.runId = runId;
        this.pollMillis = leaseNanos / RENEWALS_PER_LEASE / NANOS_PER_MILLI;
    }

    @Override
    public void run() {
        String lastFault = null;
        while (!stopped) {
            try {
                fetchPlacement();
                if (lastFault != null) {
                    LOG.info("the coordinator can be reached again");
                    lastFault = null;
                }
            } catch (IOException | JsonReader.ParseException e) {
                if (!String.valueOf(e.getMessage()).equals(lastFault)) {
                    lastFault = String.valueOf(e.getMessage());
                    LOG.warn(
                            "fetching the placement from the coordinator failed: {};"
                                    + " the last placement stays valid until its lease ends",
                            lastFault);
                }
                pauseBeforeRetry();
            } catch (RuntimeException | Error e) {
                LOG.error("internal error in fetching the placement; the last one stays valid until its lease ends", e);
                pauseBeforeRetry();
            }
        }
        http.close();
    }

    private void fetchPlacement() throws IOException, JsonReader.ParseException {
        List<WriteActivity> activities = dispatcher.cells().writeActivity();
        long version = dispatcher.cells().placement().version();
        long waitMillis = activities.isEmpty() ? pollMillis : MIGRATION_POLL_MILLIS;
        // Positions are rounded up to milliseconds, so that no commit is newer than reported.
        String busyTenants = activities.stream()
                .map(activity -> activity.tenant() + ":" + activity.inFlightWrites()
                        + activity.newestCommits().stream()
                                .map(position -> ":" + Math.floorDiv(position + NANOS_PER_MILLI - 1, NANOS_PER_MILLI))
                                .collect(Collectors.joining()))
                .collect(Collectors.joining(","));
        String response = http.get(
                "/v1/placement?router=" + routerName + "&run=" + runId + "&version=" + version
                        + "&wait="
                        + waitMillis + "&busy=" + busyTenants,
                (int) waitMillis + RESPONSE_GRACE_MILLIS);
        dispatcher.cells().updatePlacement(parsePlacement(response));
    }

    private PlacementTable parsePlacement(String response) throws IOException, JsonReader.ParseException {
        if (!(JsonReader.parse(response) instanceof Map<?, ?> fields)
                || !(fields.get("version") instanceof BigDecimal version)
                || !(fields.get("until_ms") instanceof BigDecimal validUntilMillis)
                || !(fields.get("basis") instanceof String planFingerprint)) {
            throw new IOException("the response is not a placement");
        }
        Map<String, TenantPlacement> placements = currentPlacements;
        if (fields.get("seats") instanceof List<?> entries) {
            placements = new HashMap<>();
            for (Object each : entries) {
                if (!(each instanceof Map<?, ?> entry)
                        || !(entry.get("tenant") instanceof String tenant)
                        || !(entry.get("cell") instanceof String cell)
                        || !(entry.get("floors_ms") instanceof List<?> floors)) {
                    throw new IOException("the response has an invalid placement of a tenant");
                }
                List<Long> positions = new ArrayList<>();
                for (Object floor : floors) {
                    positions.add(
                            floor instanceof BigDecimal millis ? millis.longValue() * NANOS_PER_MILLI : Long.MAX_VALUE);
                }
                placements.put(
                        tenant,
                        new TenantPlacement(
                                cell,
                                Boolean.TRUE.equals(entry.get("writes")),
                                Boolean.TRUE.equals(entry.get("reads")),
                                Boolean.TRUE.equals(entry.get("moving")),
                                List.copyOf(positions)));
            }
            placements = Map.copyOf(placements);
        } else if (version.longValue() != dispatcher.cells().placement().version()) {
            throw new IOException("the response has a new version without the tenants' placements");
        }
        currentPlacements = placements;
        return new PlacementTable(
                version.longValue(), validUntilMillis.longValue() * NANOS_PER_MILLI, planFingerprint, placements);
    }

    void stop() {
        stopped = true;
    }

    private void pauseBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            stopped = true;
        }
    }
}
