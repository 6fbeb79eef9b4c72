package beaconladder.membership.transport;

import beaconladder.membership.Member;
import beaconladder.membership.Message;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Encodes and decodes the JSON datagrams between members; a decoded message is completely validated. */
final class GossipJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final Pattern ADDRESS = Pattern.compile("[A-Za-z0-9.-]{1,255}:[0-9]{1,5}");
    /** More than the ten updates and the target's state that a sender puts on a message; the rest is a reserve. */
    private static final int MAX_UPDATES = 16;

    private GossipJson() {}

    static byte[] encode(Message message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Decodes the first bytes of a buffer.
     *
     * @throws IOException if they are not a valid message
     */
    static Message decode(byte[] bytes, int length) throws IOException {
        Message message = MAPPER.readValue(new String(bytes, 0, length, StandardCharsets.UTF_8), Message.class);
        if (!isValid(message)) {
            throw new IOException("invalid gossip message");
        }
        return message;
    }

    private static boolean isValid(Message message) {
        return message != null
                && message.kind() != null
                && message.target() != null
                && (message.target().isEmpty() || matches(NAME, message.target()))
                && isValid(message.sender())
                && message.updates() != null
                && message.updates().size() <= MAX_UPDATES
                && message.updates().stream().allMatch(GossipJson::isValid);
    }

    private static boolean isValid(Member member) {
        return member != null
                && member.state() != null
                && matches(NAME, member.name())
                && matches(ADDRESS, member.address())
                && member.incarnation() >= 0;
    }

    private static boolean matches(Pattern pattern, String text) {
        return text != null && pattern.matcher(text).matches();
    }
}
