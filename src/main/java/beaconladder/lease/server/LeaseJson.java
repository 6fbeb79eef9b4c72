package beaconladder.lease.server;

import beaconladder.lease.Lease;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTable;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;

/** Asks, answers and the grantor's state as JSON, checked whole before any of it counts. */
final class LeaseJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";
    /** A day; a longer lease would be no lease. */
    private static final long LONGEST = 86_400_000_000_000L;

    /** An ask as the log has it: with the leader's clock and the clock bound that it was applied with. */
    record Entry(LeaseRequest ask, long stamp, long bound) {}

    private LeaseJson() {}

    static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static <T> T read(String text, Class<T> as) throws IOException {
        T value = MAPPER.readValue(text, as);
        if (value == null) {
            throw new IOException("null where a value belongs");
        }
        return value;
    }

    static LeaseResponse answer(String text) throws IOException {
        LeaseResponse answer = read(text, LeaseResponse.class);
        if (answer.task() == null
                || answer.why() == null
                || answer.holder() == null
                || answer.why() == LeaseResponse.Why.GRANTED
                        && (answer.grant() == null
                                || answer.grant().holder() == null
                                || !answer.task().equals(answer.grant().task()))) {
            throw new IOException("an answer that is not whole");
        }
        return answer;
    }

    /** An ask from outside. */
    static LeaseRequest ask(String text) throws IOException {
        LeaseRequest ask = read(text, LeaseRequest.class);
        boolean handsOver = ask.kind() == LeaseRequest.Kind.HAND_OVER;
        if (ask.kind() == null
                || ask.task() == null
                || !ask.task().matches(NAME)
                || ask.holder() == null
                || !handsOver && !ask.holder().matches(NAME + "#[0-9]{1,19}")
                || ask.heir() == null
                || handsOver && !ask.heir().matches(NAME)
                || ask.length() < 0
                || ask.length() > LONGEST
                || ask.kind() != LeaseRequest.Kind.RELEASE && ask.length() == 0) {
            throw new IOException("an ask that is not whole");
        }
        return ask;
    }

    static LeaseTable grants(String text) throws IOException {
        LeaseTable grants = read(text, LeaseTable.class);
        if (grants.leases() == null) {
            throw new IOException("a state that is not whole");
        }
        for (Map.Entry<String, Lease> each : grants.leases().entrySet()) {
            if (each.getValue() == null || !each.getKey().equals(each.getValue().task())) {
                throw new IOException("a state that is not whole");
            }
        }
        return grants;
    }
}
