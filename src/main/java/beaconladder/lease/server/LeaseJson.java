package beaconladder.lease.server;

import beaconladder.lease.Lease;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTable;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/** Converts requests, responses and the lease servers' state to and from JSON, and validates what it parses. */
final class LeaseJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";
    private static final String HOLDER_PATTERN = NAME_PATTERN + "#[0-9]{1,19}";
    /** One day: the task of a failed holder would otherwise stay unavailable for too long. */
    private static final long MAX_LENGTH_NANOS = 86_400_000_000_000L;

    /** A request as stored in the Raft log, with the leader's clock and clock bound that it is applied with. */
    record LogEntry(
            @JsonProperty("ask") LeaseRequest request,
            @JsonProperty("stamp") long timestampNanos,
            @JsonProperty("bound") long clockBoundNanos) {}

    private LeaseJson() {}

    static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Parses a value without validating its components.
     *
     * @throws InvalidLeaseMessageException if the text is not JSON of that type, or is the JSON null
     */
    static <T> T read(String text, Class<T> type) throws InvalidLeaseMessageException {
        T value;
        try {
            value = MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new InvalidLeaseMessageException(e.getMessage(), e);
        }
        if (value == null) {
            throw new InvalidLeaseMessageException("null instead of a value");
        }
        return value;
    }

    /** Parses and validates a request. */
    static LeaseRequest readRequest(String text) throws InvalidLeaseMessageException {
        LeaseRequest request = read(text, LeaseRequest.class);
        if (!isValid(request)) {
            throw new InvalidLeaseMessageException("an invalid lease request");
        }
        return request;
    }

    private static boolean isValid(LeaseRequest request) {
        if (request.kind() == null
                || request.task() == null
                || request.holder() == null
                || request.successor() == null
                || !request.task().matches(NAME_PATTERN)) {
            return false;
        }
        boolean namesProcess = request.kind() == LeaseRequest.Kind.HAND_OVER
                ? request.successor().matches(NAME_PATTERN)
                : request.holder().matches(HOLDER_PATTERN);
        long minLengthNanos = request.kind() == LeaseRequest.Kind.RELEASE ? 0 : 1;
        return namesProcess && request.lengthNanos() >= minLengthNanos && request.lengthNanos() <= MAX_LENGTH_NANOS;
    }

    /** Parses and validates a lease server's response. */
    static LeaseResponse readResponse(String text) throws InvalidLeaseMessageException {
        LeaseResponse response = read(text, LeaseResponse.class);
        if (!isValid(response)) {
            throw new InvalidLeaseMessageException("an invalid lease response");
        }
        return response;
    }

    private static boolean isValid(LeaseResponse response) {
        if (response.task() == null || response.outcome() == null || response.holder() == null) {
            return false;
        }
        return response.outcome() != LeaseResponse.Outcome.GRANTED
                || response.grant() != null
                        && response.grant().holder() != null
                        && response.task().equals(response.grant().task());
    }

    /** Parses and validates the leases of all tasks. */
    static LeaseTable readTable(String text) throws InvalidLeaseMessageException {
        LeaseTable table = read(text, LeaseTable.class);
        if (table.leases() == null) {
            throw new InvalidLeaseMessageException("a lease table without leases");
        }
        for (Map.Entry<String, Lease> each : table.leases().entrySet()) {
            if (each.getValue() == null || !each.getKey().equals(each.getValue().task())) {
                throw new InvalidLeaseMessageException("an invalid lease of task " + each.getKey());
            }
        }
        return table;
    }
}
