package beaconladder.membership.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.membership.Member;
import beaconladder.membership.Message;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class GossipJsonTest {
    private static final Member A = new Member("a", "10.0.0.4:7301", 5, Member.State.ALIVE);
    private static final Member B = new Member("b", "g1:7301", 6, Member.State.SUSPECT);
    private static final Message VALID = new Message(Message.Kind.PING_REQ, A, 7, "b", List.of(A, B));

    @Test
    void encodedMessageIsDecodedAndFitsADatagram() throws IOException {
        byte[] bytes = GossipJson.encode(VALID);
        assertThat(GossipJson.decode(bytes, bytes.length)).isEqualTo(VALID);
        Member longest = new Member("n".repeat(64), "h".repeat(60) + ":65535", Long.MAX_VALUE, Member.State.SUSPECT);
        assertThat(GossipJson.encode(new Message(
                        Message.Kind.PING_REQ,
                        longest,
                        Long.MAX_VALUE,
                        "n".repeat(64),
                        Collections.nCopies(10, longest))))
                .hasSizeLessThan(8 * 1024);
    }

    @Test
    void invalidMessageIsRejected() {
        String valid = new String(GossipJson.encode(VALID), StandardCharsets.UTF_8);
        for (String invalid : List.of(
                "",
                "{}",
                "null",
                "[]",
                "x",
                valid.substring(1),
                valid.replace("\"b\"", "\"../b\""),
                valid.replace("10.0.0.4:7301", "10.0.0.4"),
                valid.replace("ALIVE", "WELL"),
                valid.replace("\"incarnation\":5", "\"incarnation\":-5"),
                valid.replace("\"number\":7", "\"number\":null"),
                valid.replaceAll("\"news\":.*]", "\"news\":[null]"),
                valid.replaceAll("\"news\":.*]", "\"news\":null"))) {
            byte[] bytes = invalid.getBytes(StandardCharsets.UTF_8);
            assertThatThrownBy(() -> GossipJson.decode(bytes, bytes.length))
                    .as(invalid)
                    .isInstanceOf(IOException.class);
        }
        Message tooManyUpdates = new Message(Message.Kind.ACK, A, 1, "", Collections.nCopies(17, B));
        byte[] bytes = GossipJson.encode(tooManyUpdates);
        assertThatThrownBy(() -> GossipJson.decode(bytes, bytes.length)).isInstanceOf(IOException.class);
    }
}
