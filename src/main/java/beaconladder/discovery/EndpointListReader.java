package beaconladder.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads an endpoint list from discovery as a stream: only its entries are kept in memory. One invalid entry invalidates
 * the complete list.
 */
final class EndpointListReader {
    /** Over three times the 5,800 hosts of the largest expected deployment; an entry takes some 200 bytes of memory. */
    static final int MAX_ENTRIES = 20_000;

    /**
     * The response is JSON but no valid list, or its changes are not based on the list that the watch holds. Requesting
     * the complete list recovers from this.
     */
    static final class InvalidListException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidListException(String message) {
            super(message);
        }
    }

    /**
     * A response of discovery.
     *
     * @param complete whether the entries are the complete list, or only the changes up to this version
     */
    record EndpointUpdate(long version, boolean complete, List<EndpointWatch.Entry> entries) {}

    private EndpointListReader() {}

    /** Reads one response up to its end. */
    static EndpointUpdate read(InputStream in) throws IOException, JsonReader.ParseException {
        try (JsonParser parser = JsonReader.createParser(in)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidListException("no list of hosts");
            }
            BigDecimal version = null;
            boolean complete = false;
            List<EndpointWatch.Entry> entries = null;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.START_ARRAY && name.equals("servers")) {
                    entries = readEntries(parser);
                    continue;
                }
                Object value = JsonReader.readValue(parser);
                if (name.equals("version")) {
                    version = value instanceof BigDecimal number ? number : null;
                } else if (name.equals("full")) {
                    complete = Boolean.TRUE.equals(value);
                }
            }
            if (parser.nextToken() != null) {
                throw new InvalidListException("more after the list of hosts");
            }
            if (entries == null) {
                throw new InvalidListException("no list of hosts");
            }
            // Without a version the next call would request the complete list again at once, in a busy loop.
            if (version == null || version.signum() < 0) {
                throw new InvalidListException("a list without its version");
            }
            return new EndpointUpdate(version.longValue(), complete, entries);
        } catch (JsonProcessingException e) {
            throw JsonReader.parseException(e);
        }
    }

    private static List<EndpointWatch.Entry> readEntries(JsonParser parser)
            throws IOException, JsonReader.ParseException {
        List<EndpointWatch.Entry> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (entries.size() == MAX_ENTRIES) {
                throw new InvalidListException("a list of more than " + MAX_ENTRIES + " hosts");
            }
            entries.add(parseEntry(JsonReader.readValue(parser)));
        }
        return entries;
    }

    /** Converts an entry that has been read as a JSON value. */
    static EndpointWatch.Entry parseEntry(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> fields)
                || !(fields.get("id") instanceof String id)
                || !(fields.get("cell") instanceof BigDecimal group)) {
            throw new InvalidListException("an entry without id or group");
        }
        EndpointWatch.State state = switch (String.valueOf(fields.get("state"))) {
            case "Ready" -> EndpointWatch.State.READY;
            case "Terminating" -> EndpointWatch.State.DRAINING;
            case "Gone" -> EndpointWatch.State.GONE;
            default -> throw new InvalidListException("an unknown state " + fields.get("state"));
        };
        InetSocketAddress address = fields.get("addr") instanceof String text ? EndpointWatch.parseAddress(text) : null;
        if (address == null && state != EndpointWatch.State.GONE) {
            throw new InvalidListException("no address of " + id);
        }
        long launchedMillis = fields.get("started_ms") instanceof BigDecimal started ? started.longValue() : 0;
        return new EndpointWatch.Entry(
                id,
                address,
                String.valueOf(fields.get("zone")),
                group.intValue(),
                state,
                "leader".equals(fields.get("role")),
                launchedMillis);
    }
}
