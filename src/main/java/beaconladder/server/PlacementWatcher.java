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

/** Keeps the desk's placement up to date by the keeper's word, and tells the keeper what is acted on here. */
final class PlacementWatcher implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementWatcher.class);
    private static final long MS = 1_000_000;
    /** So often a lease is renewed before its end, so that one lost call does no harm. */
    private static final int RENEWALS = 3;
    /** While a tenant is moved, the keeper waits for word of its writes. */
    private static final int MOVING_MILLIS = 10;

    private static final int LATE_MILLIS = 500;
    private static final int RETRY_MILLIS = 50;

    private final HttpFetcher http;
    private final RequestDispatcher desk;
    private final String router;
    private final String run;
    private final long waitMillis;
    private Map<String, TenantPlacement> seats = Map.of();
    private volatile boolean stopped;

    /**
     * A watch on the keeper.
     *
     * @param run differs between two runs of this router
     */
    PlacementWatcher(InetSocketAddress keeper, long lease, String router, String run, RequestDispatcher desk) {
        this.http = new HttpFetcher(keeper);
        this.desk = desk;
        this.router = router;
        this.run = run;
        this.waitMillis = lease / RENEWALS / MS;
    }

    @Override
    public void run() {
        String trouble = null;
        while (!stopped) {
            try {
                ask();
                if (trouble != null) {
                    LOG.info("the keeper answers again");
                    trouble = null;
                }
            } catch (IOException | JsonReader.ParseException e) {
                if (!String.valueOf(e.getMessage()).equals(trouble)) {
                    trouble = String.valueOf(e.getMessage());
                    LOG.warn("keeper: {}; the placement counts until its lease is over", trouble);
                }
                rest();
            } catch (RuntimeException | Error e) {
                LOG.error("keeper: the placement counts until its lease is over", e);
                rest();
            }
        }
        http.close();
    }

    private void ask() throws IOException, JsonReader.ParseException {
        List<WriteActivity> busy = desk.cells().busyTenants();
        long version = desk.cells().placement().version();
        long wait = busy.isEmpty() ? waitMillis : MOVING_MILLIS;
        String told = busy.stream()
                .map(b -> b.tenant() + ":" + b.inFlightWrites()
                        + b.newestCommits().stream()
                                .map(commit -> ":" + Math.floorDiv(commit + MS - 1, MS))
                                .collect(Collectors.joining()))
                .collect(Collectors.joining(","));
        String body = http.get(
                "/v1/placement?router=" + router + "&run=" + run + "&version=" + version
                        + "&wait="
                        + wait + "&busy=" + told,
                (int) wait + LATE_MILLIS);
        desk.cells().updatePlacement(read(body));
    }

    private PlacementTable read(String body) throws IOException, JsonReader.ParseException {
        if (!(JsonReader.parse(body) instanceof Map<?, ?> told)
                || !(told.get("version") instanceof BigDecimal version)
                || !(told.get("until_ms") instanceof BigDecimal until)
                || !(told.get("basis") instanceof String basis)) {
            throw new IOException("no placement");
        }
        Map<String, TenantPlacement> next = seats;
        if (told.get("seats") instanceof List<?> list) {
            next = new HashMap<>();
            for (Object each : list) {
                if (!(each instanceof Map<?, ?> seat)
                        || !(seat.get("tenant") instanceof String tenant)
                        || !(seat.get("cell") instanceof String cell)
                        || !(seat.get("floors_ms") instanceof List<?> floors)) {
                    throw new IOException("a seat that can't be read");
                }
                List<Long> positions = new ArrayList<>();
                for (Object floor : floors) {
                    positions.add(floor instanceof BigDecimal millis ? millis.longValue() * MS : Long.MAX_VALUE);
                }
                next.put(
                        tenant,
                        new TenantPlacement(
                                cell,
                                Boolean.TRUE.equals(seat.get("writes")),
                                Boolean.TRUE.equals(seat.get("reads")),
                                Boolean.TRUE.equals(seat.get("moving")),
                                List.copyOf(positions)));
            }
            next = Map.copyOf(next);
        } else if (version.longValue() != desk.cells().placement().version()) {
            throw new IOException("a new version without its seats");
        }
        seats = next;
        return new PlacementTable(version.longValue(), until.longValue() * MS, basis, next);
    }

    void stop() {
        stopped = true;
    }

    private void rest() {
        try {
            Thread.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            stopped = true;
        }
    }
}
