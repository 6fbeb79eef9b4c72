package beaconladder.membership.transport;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.membership.Member;
import beaconladder.membership.Message;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Pins the exact JSON of the datagrams, encoded and decoded: members of two releases must be compatible, so the names
 * on the wire are independent of the names in the code.
 */
class GossipJsonLiteralTest {
    private static final Member SENDER = new Member("r1", "10.0.0.4:7301", 1767225600123L, Member.State.ALIVE);

    /** The messages and their JSON. */
    private static final Map<Message, String> LITERALS = new LinkedHashMap<>();

    static {
        LITERALS.put(new Message(Message.Kind.PING, SENDER, 7, "", List.of()), """
                {"kind":"PROBE","from":{"name":"r1","address":"10.0.0.4:7301",\
                "incarnation":1767225600123,"state":"ALIVE"},"number":7,"target":"","news":[]}""");
        LITERALS.put(
                new Message(
                        Message.Kind.ACK, SENDER, 8, "", List.of(new Member("r2", "g1:7302", 0, Member.State.SUSPECT))),
                """
                {"kind":"ANSWER","from":{"name":"r1","address":"10.0.0.4:7301",\
                "incarnation":1767225600123,"state":"ALIVE"},"number":8,"target":"","news":[\
                {"name":"r2","address":"g1:7302","incarnation":0,"state":"SUSPECT"}]}""");
        LITERALS.put(
                new Message(
                        Message.Kind.PING_REQ,
                        SENDER,
                        9,
                        "r2",
                        List.of(new Member("r3", "g2:7303", 3, Member.State.DEAD))),
                """
                {"kind":"PROBE_FOR","from":{"name":"r1","address":"10.0.0.4:7301",\
                "incarnation":1767225600123,"state":"ALIVE"},"number":9,"target":"r2","news":[\
                {"name":"r3","address":"g2:7303","incarnation":3,"state":"DEAD"}]}""");
        LITERALS.put(
                new Message(
                        Message.Kind.NACK, SENDER, 0, "", List.of(new Member("r4", "g3:7304", 4, Member.State.LEFT))),
                """
                {"kind":"NO_ANSWER","from":{"name":"r1","address":"10.0.0.4:7301",\
                "incarnation":1767225600123,"state":"ALIVE"},"number":0,"target":"","news":[\
                {"name":"r4","address":"g3:7304","incarnation":4,"state":"LEFT"}]}""");
    }

    @Test
    void eachMessageIsEncodedAsItsLiteral() {
        LITERALS.forEach((message, text) -> assertThat(new String(GossipJson.encode(message), StandardCharsets.UTF_8))
                .isEqualTo(text));
    }

    @Test
    void eachLiteralIsDecodedAsItsMessage() throws IOException {
        for (Map.Entry<Message, String> each : LITERALS.entrySet()) {
            byte[] bytes = each.getValue().getBytes(StandardCharsets.UTF_8);
            assertThat(GossipJson.decode(bytes, bytes.length)).isEqualTo(each.getKey());
        }
    }

    /** The literals above are complete: a new kind or state needs a literal. */
    @Test
    void everyKindAndStateHasALiteral() {
        assertThat(LITERALS.keySet()).extracting(Message::kind).containsExactly(Message.Kind.values());
        assertThat(LITERALS.keySet().stream()
                        .flatMap(each -> each.updates().stream())
                        .map(Member::state))
                .containsExactlyElementsOf(Arrays.asList(Member.State.values()).subList(1, 4));
    }
}
