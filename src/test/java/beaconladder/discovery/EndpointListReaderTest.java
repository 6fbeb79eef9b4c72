package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.CharConversionException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class EndpointListReaderTest {
    private static final ObjectMapper WRITER = new ObjectMapper();

    /** A list that is read as a stream, indented or not, equals the one from its JSON tree. */
    @Property(tries = 300, seed = "1")
    void streamedListEqualsItsTree(@ForAll("lists") Map<String, Object> list) throws Exception {
        String text = WRITER.writeValueAsString(list);
        List<EndpointWatch.Entry> entries = EndpointWatch.parseEntries((Map<?, ?>) JsonReader.parse(text));
        EndpointListReader.EndpointUpdate update = read(text);
        assertThat(update.entries()).isEqualTo(entries);
        assertThat(update.complete()).isEqualTo(list.get("full"));
        assertThat(update.version()).isEqualTo(((Number) list.get("version")).longValue());
        assertThat(read(WRITER.writerWithDefaultPrettyPrinter().writeValueAsString(list)))
                .isEqualTo(update);
    }

    /** A truncated list is rejected, even if all its entries are complete. */
    @Property(tries = 300, seed = "1")
    void truncatedListIsRejected(@ForAll("lists") Map<String, Object> list, @ForAll int at) throws Exception {
        String text = WRITER.writeValueAsString(list);
        assertThatThrownBy(() -> read(text.substring(0, Math.floorMod(at, text.length()))))
                .isInstanceOfAny(JsonReader.ParseException.class, EndpointListReader.InvalidListException.class);
    }

    /** Arbitrary bytes are read as a list or rejected with an expected exception. */
    @Property(tries = 500, seed = "1")
    void anyBytesAreReadOrRejected(@ForAll byte[] bytes) throws IOException {
        try {
            EndpointListReader.read(new ByteArrayInputStream(bytes));
        } catch (JsonReader.ParseException | EndpointListReader.InvalidListException e) {
            assertThat(e.getMessage()).isNotEmpty();
        } catch (CharConversionException e) {
            // The bytes are not text in any encoding.
            assertThat(e.getMessage()).isNotEmpty();
        }
    }

    @Test
    void invalidListIsDescribed() {
        String validEntry = entry(1);
        Map<String, String> cases = new LinkedHashMap<>();
        cases.put("[]", "no list of hosts");
        cases.put("{\"version\":1}", "no list of hosts");
        cases.put("{\"version\":1,\"servers\":{}}", "no list of hosts");
        cases.put("{\"servers\":[]}", "a list without its version");
        cases.put("{\"version\":-1,\"servers\":[]}", "a list without its version");
        cases.put("{\"version\":1,\"servers\":[" + validEntry + "]} {}", "more after the list of hosts");
        cases.put("{\"version\":1,\"servers\":[" + validEntry + ",7]}", "an entry without id or group");
        cases.put(
                "{\"version\":1,\"servers\":[" + validEntry + "," + validEntry.replace("Ready", "Off") + "]}",
                "an unknown state Off");
        cases.put(
                "{\"version\":1,\"servers\":[" + validEntry.replace("\"kind\"", "\"id\"") + "]}",
                "Duplicate field 'id'");
        cases.put("{\"version\":1,\"version\":1,\"servers\":[]}", "Duplicate field 'version'");
        cases.put(
                "{\"version\":1,\"servers\":[" + validEntry.replace("\"weight\":1.0", "\"weight\":1e999999999") + "]}",
                "a number out of range");
        cases.forEach((text, cause) -> assertThatThrownBy(() -> read(text)).hasMessageContaining(cause));
    }

    /** The number of entries is limited, to bound the memory. */
    @Test
    void listOfTooManyHostsIsRejected() {
        String entries = IntStream.range(0, EndpointListReader.MAX_ENTRIES + 1)
                .mapToObj(EndpointListReaderTest::entry)
                .collect(Collectors.joining(","));
        assertThatThrownBy(() -> read("{\"version\":1,\"servers\":[" + entries + "]}"))
                .hasMessageContaining("more than");
    }

    /** The largest expected deployment fits, even with wide indentation. */
    @Test
    void fiveThousandEightHundredIndentedHostsFit() throws Exception {
        String text = "{\"version\":1,\"full\":true,\"servers\":["
                + IntStream.range(0, 5_800)
                        .mapToObj(EndpointListReaderTest::entry)
                        .collect(Collectors.joining(",")) + "]}";
        String indentation = "\n" + " ".repeat(70) + "\"";
        String indented = text.replace(",\"", "," + indentation)
                .replace("{\"", "{" + indentation)
                .replace(":", " : ")
                .replace("127.0.0.1 : ", "127.0.0.1:");
        assertThat(indented.length()).isBetween(4 << 20, HttpFetcher.MAX_STREAM_BYTES);
        assertThat(read(indented).entries()).hasSize(5_800).isEqualTo(read(text).entries());
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private static EndpointListReader.EndpointUpdate read(String text) throws IOException, JsonReader.ParseException {
        InputStream bytes = new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
        return EndpointListReader.read(bytes);
    }

    private static String entry(int i) {
        return "{\"id\":\"s-" + i + "\",\"addr\":\"127.0.0.1:" + (1 + i % 65_535) + "\",\"zone\":\"a\","
                + "\"kind\":\"m2\",\"cell\":" + i / 3 + ",\"state\":\"Ready\",\"weight\":1.0,"
                + "\"started_ms\":1767225600123,\"role\":\"leader\"}";
    }

    @Provide
    Arbitrary<Map<String, Object>> lists() {
        Arbitrary<Map<String, Object>> entries = Combinators.combine(
                        Arbitraries.strings().ofMinLength(1).ofMaxLength(8),
                        Arbitraries.integers().between(1, 65_535),
                        Arbitraries.of("a", "b", "ü"),
                        Arbitraries.of("Ready", "Terminating", "Gone"),
                        Arbitraries.longs().between(0, 1L << 45),
                        Arbitraries.of("leader", "follower"))
                .as((id, port, zone, state, launched, role) -> {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    entry.put("id", id);
                    entry.put("addr", "10.0.0.1:" + port);
                    entry.put("zone", zone);
                    entry.put("kind", Map.of("of", List.of(1, 2.5, "x")));
                    entry.put("cell", port % 7);
                    entry.put("state", state);
                    entry.put("weight", 1.5);
                    entry.put("started_ms", launched);
                    entry.put("role", role);
                    return entry;
                });
        return Combinators.combine(
                        entries.list().ofMaxSize(5),
                        Arbitraries.longs().between(0, 1L << 50),
                        Arbitraries.of(true, false),
                        Arbitraries.of(true, false))
                .as((all, version, full, first) -> {
                    Map<String, Object> list = new LinkedHashMap<>();
                    if (first) {
                        list.put("servers", all);
                    }
                    list.put("version", version);
                    list.put("full", full);
                    list.put("more", List.of(Map.of("servers", List.of(7))));
                    list.putIfAbsent("servers", all);
                    return list;
                });
    }
}
