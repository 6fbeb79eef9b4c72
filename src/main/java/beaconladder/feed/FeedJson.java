package beaconladder.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Everything of the feed as JSON. What is read is whole in its form; the callers check its contents. */
public final class FeedJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private FeedJson() {}

    /** A value as text, in one line. */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The value of a text, or what is wrong with that. */
    public static <T> T read(String text, Class<T> as) throws IOException {
        try {
            T value = MAPPER.readValue(text, as);
            if (value == null) {
                throw new IOException("null where a value belongs");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IOException("not the JSON that belongs here: " + e.getOriginalMessage(), e);
        }
    }
}
