package beaconladder.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Serializes the feed's messages and records as JSON. Deserializing checks the structure; callers check the contents.
 */
public final class FeedJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private FeedJson() {}

    /** Serializes a value as one line. */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Deserializes a text.
     *
     * @throws InvalidMessageException if the text is not JSON of exactly this type
     */
    public static <T> T read(String text, Class<T> type) throws InvalidMessageException {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new InvalidMessageException("null where a value belongs");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException("not the JSON that belongs here: " + e.getOriginalMessage(), e);
        }
    }
}
