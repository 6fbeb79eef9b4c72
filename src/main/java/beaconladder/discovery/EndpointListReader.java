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
 * Reads a list of hosts as discovery sends it, entry by entry from its bytes; nothing but the entries is held. Whole or
 * not at all: one entry that can't be read makes all of it void.
 */
final class EndpointListReader {
    /** Over three times the 5,800 hosts that are in sight; entries hold some 200 bytes each. */
    static final int MOST_ENTRIES = 20_000;

    /** An answer that is JSON and no list, or does not fit what is held; only the whole list helps. */
    static final class InvalidListException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidListException(String cause) {
            super(cause);
        }
    }

    /** An answer of discovery: the whole list, or what has changed up to this version. */
    record EndpointUpdate(long version, boolean whole, List<EndpointWatch.Entry> entries) {}

    private EndpointListReader() {}

    /** The news in these bytes, read up to their end. */
    static EndpointUpdate read(InputStream in) throws IOException, JsonReader.ParseException {
        try (JsonParser json = JsonReader.parser(in)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidListException("no list of hosts");
            }
            BigDecimal version = null;
            boolean whole = false;
            List<EndpointWatch.Entry> entries = null;
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                if (json.nextToken() == JsonToken.START_ARRAY && name.equals("servers")) {
                    entries = entries(json);
                    continue;
                }
                Object value = JsonReader.value(json);
                if (name.equals("version")) {
                    version = value instanceof BigDecimal number ? number : null;
                } else if (name.equals("full")) {
                    whole = Boolean.TRUE.equals(value);
                }
            }
            if (json.nextToken() != null) {
                throw new InvalidListException("more after the list of hosts");
            }
            if (entries == null) {
                throw new InvalidListException("no list of hosts");
            }
            // Without a version the next call would ask for the whole list again, in a spin.
            if (version == null || version.signum() < 0) {
                throw new InvalidListException("a list without its version");
            }
            return new EndpointUpdate(version.longValue(), whole, entries);
        } catch (JsonProcessingException e) {
            throw JsonReader.fault(e);
        }
    }

    private static List<EndpointWatch.Entry> entries(JsonParser json) throws IOException, JsonReader.ParseException {
        List<EndpointWatch.Entry> entries = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (entries.size() == MOST_ENTRIES) {
                throw new InvalidListException("a list of more than " + MOST_ENTRIES + " hosts");
            }
            entries.add(entry(JsonReader.value(json)));
        }
        return entries;
    }

    /** An entry as JSON has it. */
    static EndpointWatch.Entry entry(Object value) throws IOException {
        if (!(value instanceof Map<?, ?> e)
                || !(e.get("id") instanceof String id)
                || !(e.get("cell") instanceof BigDecimal cell)) {
            throw new InvalidListException("an entry without id or group");
        }
        EndpointWatch.State state = switch (String.valueOf(e.get("state"))) {
            case "Ready" -> EndpointWatch.State.READY;
            case "Terminating" -> EndpointWatch.State.DRAINING;
            case "Gone" -> EndpointWatch.State.GONE;
            default -> throw new InvalidListException("an unknown state " + e.get("state"));
        };
        InetSocketAddress address = e.get("addr") instanceof String a ? EndpointWatch.parseAddress(a) : null;
        if (address == null && state != EndpointWatch.State.GONE) {
            throw new InvalidListException("no address of " + id);
        }
        long launched = e.get("started_ms") instanceof BigDecimal started ? started.longValue() : 0;
        return new EndpointWatch.Entry(
                id,
                address,
                String.valueOf(e.get("zone")),
                cell.intValue(),
                state,
                "leader".equals(e.get("role")),
                launched);
    }
}
