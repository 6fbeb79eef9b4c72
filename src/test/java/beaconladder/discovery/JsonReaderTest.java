package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class JsonReaderTest {
    private static final ObjectMapper WRITER = new ObjectMapper();

    /** JSON written by another library, indented or not, is parsed to the original value. */
    @Property(tries = 300, seed = "1")
    void writtenValueIsParsedBack(@ForAll("trees") Map<String, Object> tree) throws Exception {
        assertThat(JsonReader.parse(WRITER.writeValueAsString(tree))).isEqualTo(tree);
        assertThat(JsonReader.parse(WRITER.writerWithDefaultPrettyPrinter().writeValueAsString(tree)))
                .isEqualTo(tree);
    }

    /** A text that is truncated anywhere is rejected. */
    @Property(tries = 300, seed = "1")
    void truncatedTextIsRejected(@ForAll("trees") Map<String, Object> tree, @ForAll int end) throws Exception {
        String text = WRITER.writeValueAsString(tree);
        assertThatThrownBy(() -> JsonReader.parse(text.substring(0, Math.floorMod(end, text.length()))))
                .isInstanceOf(JsonReader.ParseException.class)
                .hasMessageStartingWith("bad JSON at character ");
    }

    /** Any text is parsed or rejected with a ParseException, never another one. */
    @Property(tries = 500, seed = "1")
    void anyTextIsParsedOrRejected(@ForAll("texts") String text) {
        try {
            JsonReader.parse(text);
        } catch (JsonReader.ParseException e) {
            assertThat(e).hasMessageStartingWith("bad JSON at character ");
        }
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.strings()
                .withChars("{}[]\",:truefalsn0123456789eE+-. \n\t\\u")
                .ofMaxLength(24);
    }

    @Provide
    Arbitrary<Map<String, Object>> trees() {
        Arbitrary<Object> scalars = Arbitraries.oneOf(
                Arbitraries.strings().ofMaxLength(8).map(s -> (Object) s),
                Arbitraries.bigDecimals()
                        .between(new BigDecimal("-1e15"), new BigDecimal("1e15"))
                        .ofScale(6)
                        .map(n -> (Object) n),
                Arbitraries.of(true, false).map(b -> (Object) b));
        Arbitrary<Object> nested = Arbitraries.lazyOf(
                () -> scalars,
                () -> scalars,
                () -> scalars.list().ofMaxSize(4).map(l -> (Object) l),
                () -> trees().map(m -> (Object) m));
        return Arbitraries.maps(Arbitraries.strings().ofMaxLength(6), nested)
                .ofMaxSize(4)
                .map(m -> (Map<String, Object>) new LinkedHashMap<>(m));
    }

    /** Lists keep their order, which is significant in settings. */
    @Property(tries = 20, seed = "1")
    void listsKeepTheirOrder(@ForAll List<Integer> numbers) throws Exception {
        assertThat(JsonReader.parse(numbers.toString()))
                .isEqualTo(numbers.stream().map(BigDecimal::valueOf).toList());
    }
}
