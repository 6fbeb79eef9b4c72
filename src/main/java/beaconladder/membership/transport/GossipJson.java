package beaconladder.membership.transport;

import beaconladder.membership.Member;
import beaconladder.membership.Message;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Messages between members as datagrams of JSON, checked whole before any of it counts. */
final class GossipJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";
    private static final String ADDRESS = "[A-Za-z0-9.-]{1,255}:[0-9]{1,5}";
    /** Ten words and the sender's: what is longer is no message of ours. */
    private static final int MOST_NEWS = 16;

    private GossipJson() {}

    static byte[] bytes(Message message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static Message read(byte[] bytes, int length) throws IOException {
        Message message = MAPPER.readValue(new String(bytes, 0, length, StandardCharsets.UTF_8), Message.class);
        if (message == null
                || message.kind() == null
                || message.target() == null
                || !message.target().isEmpty() && !message.target().matches(NAME)
                || !whole(message.sender())
                || message.updates() == null
                || message.updates().size() > MOST_NEWS
                || !message.updates().stream().allMatch(GossipJson::whole)) {
            throw new IOException("a message that is not whole");
        }
        return message;
    }

    private static boolean whole(Member member) {
        return member != null
                && member.state() != null
                && member.name() != null
                && member.name().matches(NAME)
                && member.address() != null
                && member.address().matches(ADDRESS)
                && member.incarnation() >= 0;
    }
}
