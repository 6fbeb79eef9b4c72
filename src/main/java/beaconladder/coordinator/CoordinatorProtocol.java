package beaconladder.coordinator;

import beaconladder.cells.PlacementTable;
import beaconladder.cells.WriteActivity;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** What a keeper and its routers say to each other, as text; docs/cells.md has the form. */
final class CoordinatorProtocol {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MS = 1_000_000;

    private CoordinatorProtocol() {}

    /** A placement; the seats are left out for who has them. */
    static String text(PlacementTable placement, boolean withSeats) {
        ObjectNode all = MAPPER.createObjectNode();
        all.put("version", placement.version())
                .put("until_ms", placement.validUntilNanos() / MS)
                .put("basis", placement.planFingerprint());
        if (withSeats) {
            ArrayNode seats = all.putArray("seats");
            placement.placements().forEach((tenant, seat) -> {
                ObjectNode one = seats.addObject()
                        .put("tenant", tenant)
                        .put("cell", seat.cell())
                        .put("writes", seat.writes())
                        .put("reads", seat.reads())
                        .put("moving", seat.moving());
                ArrayNode floors = one.putArray("floors_ms");
                seat.floors().forEach(floor -> floors.add(ceiling(floor)));
            });
        }
        return text(all);
    }

    /** A floor is rounded up: a member that lacks a part of a millisecond lacks something. */
    private static long ceiling(long nanos) {
        return Math.floorDiv(nanos + MS - 1, MS);
    }

    static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** A router's word of its tenants that are moved: tenant:writes:commit:commit, one behind the other. */
    static List<WriteActivity> busy(String text) {
        List<WriteActivity> all = new ArrayList<>();
        for (String each : text.isEmpty() ? new String[0] : text.split(",")) {
            String[] parts = each.split(":");
            List<Long> commits = new ArrayList<>();
            for (int i = 2; i < parts.length; i++) {
                commits.add(Long.parseLong(parts[i]) * MS);
            }
            all.add(new WriteActivity(parts[0], Integer.parseInt(parts[1]), commits));
        }
        return all;
    }

    static <T> T read(byte[] bytes, Class<T> type) throws java.io.IOException {
        return MAPPER.readValue(bytes, type);
    }
}
