package beaconladder.coordinator;

import beaconladder.cells.PlacementTable;
import beaconladder.cells.RouterReport;
import beaconladder.cells.TenantMigrations;
import beaconladder.cells.WriteActivity;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The JSON that a coordinator stores and exchanges with routers and operators; docs/cells.md specifies it. */
final class CoordinatorProtocol {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MILLI = 1_000_000;

    private CoordinatorProtocol() {}

    /** Returns a placement table as JSON; the placements are omitted for a router that already has this version. */
    static String toJson(PlacementTable table, boolean withPlacements) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", table.version())
                .put("until_ms", table.validUntilNanos() / NANOS_PER_MILLI)
                .put("basis", table.planFingerprint());
        if (withPlacements) {
            ArrayNode placements = root.putArray("seats");
            table.placements().forEach((tenant, placement) -> {
                ObjectNode entry = placements
                        .addObject()
                        .put("tenant", tenant)
                        .put("cell", placement.cell())
                        .put("writes", placement.admitsWrites())
                        .put("reads", placement.admitsReads())
                        .put("moving", placement.migrating());
                ArrayNode floors = entry.putArray("floors_ms");
                placement.floors().forEach(floor -> floors.add(ceilingMillis(floor)));
            });
        }
        return toJson(root);
    }

    /** Converts a floor to milliseconds, rounded up: a host behind by a fraction of a millisecond must not pass. */
    private static long ceilingMillis(long nanos) {
        return Math.floorDiv(nanos + NANOS_PER_MILLI - 1, NANOS_PER_MILLI);
    }

    /** Returns the state of all migrations and routers for operators; the monitor that guards them must be held. */
    static ObjectNode cellsStatus(TenantMigrations migrations, long nowNanos) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", migrations.version());
        ObjectNode placements = root.putObject("seats");
        migrations.placements().forEach((tenant, placement) -> placements.put(tenant, placement.cell()));
        ObjectNode routers = root.putObject("routers");
        migrations
                .nanosSinceLastReport(nowNanos)
                .forEach((name, nanos) -> routers.put(name, nanos < 0 ? -1 : nanos / NANOS_PER_MILLI));
        ArrayNode migrationEntries = root.putArray("moves");
        migrations
                .statuses(nowNanos)
                .forEach(status -> migrationEntries
                        .addObject()
                        .put("tenant", status.tenant())
                        .put("from", status.fromCell())
                        .put("to", status.toCell())
                        .put("state", status.state())
                        .put("waits_for", status.waitsFor())
                        .put("since_ms", status.stateSinceNanos() / NANOS_PER_MILLI));
        ArrayNode endedEntries = root.putArray("ended");
        migrations
                .endedMigrations()
                .forEach(step -> endedEntries
                        .addObject()
                        .put("tenant", step.tenant())
                        .put("from", step.fromCell())
                        .put("to", step.toCell())
                        .put("state", step.kind().name().toLowerCase(Locale.ROOT))
                        .put("at_ms", step.atNanos() / NANOS_PER_MILLI)
                        .put("why", step.detail()));
        return root;
    }

    static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses the report in a router's call.
     *
     * @throws IllegalArgumentException if a parameter is missing or invalid
     */
    static RouterReport parseReport(Map<String, String> parameters) {
        return new RouterReport(
                CoordinatorEndpoint.requiredName(parameters, "router"),
                CoordinatorEndpoint.requiredName(parameters, "run"),
                Long.parseLong(CoordinatorEndpoint.requiredName(parameters, "version")),
                parseWriteActivity(parameters.getOrDefault("busy", "")));
    }

    /**
     * Parses a router's write activity: comma-separated entries tenant:writes:commit:commit..., with commits in ms by
     * slot.
     */
    static List<WriteActivity> parseWriteActivity(String text) {
        List<WriteActivity> activity = new ArrayList<>();
        for (String entry : text.isEmpty() ? new String[0] : text.split(",")) {
            String[] parts = entry.split(":");
            List<Long> commits = new ArrayList<>();
            for (int i = 2; i < parts.length; i++) {
                commits.add(Long.parseLong(parts[i]) * NANOS_PER_MILLI);
            }
            activity.add(new WriteActivity(parts[0], Integer.parseInt(parts[1]), commits));
        }
        return activity;
    }

    static <T> T fromJson(byte[] bytes, Class<T> type) throws java.io.IOException {
        return MAPPER.readValue(bytes, type);
    }
}
