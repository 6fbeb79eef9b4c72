package beaconladder.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** The fields of a batch and every record of a reply as literal bytes, as the simulator has them. */
class SimulatorWireTest {
    @Test
    void theFieldsOfABatchAreReadBigEndian() throws Exception {
        BatchReader in = new BatchReader(new ByteArrayInputStream(bytes("00000002 0000001a 0000000000805c5a"
                + "ff 03fc fffffffe ff07843b5d3a91c4 3f800000 0003 613d62 01 02")));
        assertThat(in.next()).isTrue();
        assertThat(in.recordCount()).isEqualTo(2);
        assertThat(in.clockMicros()).isEqualTo(8_412_250);
        assertThat(in.u8()).isEqualTo(255);
        assertThat(in.u16()).isEqualTo(1020);
        assertThat(in.u32()).isEqualTo(4_294_967_294L);
        assertThat(in.u64()).isEqualTo(0xff07843b5d3a91c4L);
        assertThat(in.f32()).isEqualTo(1f);
        assertThat(in.text(in.u16())).isEqualTo("a=b");
        assertThat(in.remaining()).isEqualTo(2);
        assertThat(in.position()).isEqualTo(40);
        assertThat(in.u16()).isEqualTo(258);
        assertThat(in.next()).isFalse();
    }

    @Test
    void everyActionHasItsCodeAndFields() throws Exception {
        BatchWriter reply = new BatchWriter();
        reply.forInstance(3);
        reply.sendAttempt(1, 18, 300_000);
        reply.reject(2, 40_000);
        reply.rollBack(3);
        reply.cancelAttempt(4, 1);
        reply.forInstance(5);
        reply.setTimer(6, 40_000);
        reply.healthCheck(19);
        reply.closeIdleConnections(20);
        reply.fail("ü!");
        reply.pollEndpoints();
        assertThat(sent(reply))
                .isEqualTo(hex("00000065 0000000b"
                        + "0460 00000003"
                        + "03e8 0000000000000001 00000012 000493e0"
                        + "03f2 0000000000000002 00009c40"
                        + "03fc 0000000000000003"
                        + "0406 0000000000000004 01"
                        + "0460 00000005"
                        + "0410 0000000000000006 00009c40"
                        + "041a 00000013"
                        + "0424 00000014"
                        + "0442 0003 c3bc21"
                        + "044c 01"));
        assertThat(sent(reply)).isEqualTo("0000000000000000");
    }

    /** One record of each code that the decisions may not answer: sent, done, left, a message, shutdown. */
    @Test
    void recordsOfEveryCodeAreReadToTheirEnds() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession(
                        new ByteArrayInputStream(bytes("00000007 00000056 0000000000805c5a"
                                + "0456 00000000"
                                + "0406 0000000000000001 00 00000012 00000100"
                                + "0410 0000000000000001 00 00000012 0000 00000100 01 00000000 01 3f800000"
                                + "041a 0000000000000001"
                                + "0424 0000000000000063"
                                + "0438 0001 0002 6869"
                                + "0442")),
                        out)
                .run();
        assertThat(HexFormat.of().formatHex(out.toByteArray())).isEqualTo("0000000000000000");
    }

    private static String sent(BatchWriter reply) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.send(out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private static String hex(String spaced) {
        return spaced.replace(" ", "");
    }

    private static byte[] bytes(String spaced) {
        return HexFormat.of().parseHex(hex(spaced));
    }
}
