package beaconladder.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.routing.api.Router.HostReport;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class SimulatorSessionTest {
    private static final String CLOCK = "0000000000805c5a";
    private static final String SETTINGS = """
            family_info.freshness=loose
            request_classes.count=1
            request_classes.0.effect=pure
            request_classes.0.give_up_us=500000
            request_classes.0.goal_time_us=300000
            limits.max_attempts=3
            """;
    /** A list of a primary (17) and a replica (18) of group 1, which is then seen as the cached list. */
    private static final String LIST = "044c 03 00000002"
            + "3f800000 00000011 00 00 0001 01 3f800000 0000000000000000"
            + "00000000 00000012 00 00 0001 01 3f800000 0000000000000000"
            + "03f2 02 03 0000000000000001";

    @Test
    void emptyBatchGetsAnEmptyReply() throws Exception {
        assertThat(run(batch(0, ""))).isEqualTo("0000000000000000");
    }

    @Test
    void eachInstanceSendsAfterItsOwnHealthCheck() throws Exception {
        String request =
                "03fc ff07843b5d3a91c4 00 00000000 0000000000000000" + "00000000 00000000 3f800000 00061a80 00";
        String sampled = "042e 00000012 00000100 0000 00";
        assertThat(run(batch(
                                9,
                                "0456 00000000" + start() + "0456 00000003" + start() + LIST + request
                                        + "0456 00000000 0424 0000000000000063")
                        + batch(2, "0456 00000003" + sampled)))
                .isEqualTo(("0000001a 00000003"
                                + "0460 00000003  041a 00000012  0410 0000000000000001 00009c40"
                                + "00000018 00000002"
                                + "0460 00000003  03e8 ff07843b5d3a91c4 00000012 000493e0")
                        .replace(" ", ""));
    }

    /** The settings name neither weights nor limits nor rules: their defaults apply. */
    @Test
    void impossibleReportFieldsCountAsNotReported() {
        SimulatedRouter instance = new SimulatedRouter(0, new BatchWriter());
        instance.start(7, SETTINGS + "load_report.fields=x0,x1,rif\n");
        StringBuilder trace = new StringBuilder();
        float[][] reports = {
            {2, 1, 3},
            {2, 0},
            {},
            {Float.NaN, 1, 3},
            {-1, -1, -3},
            {1e9f, 0, 1e9f},
            {2, Float.NaN, Float.POSITIVE_INFINITY}
        };
        for (float[] report : reports) {
            HostReport read = instance.loadReport(report);
            trace.append(read.role())
                    .append(read.position() == HostReport.NO_POSITION ? " nowhere" : " placed")
                    .append(read.inFlight() < 0 ? " silent" : " holds " + Math.round(read.inFlight()))
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo("""
                PRIMARY placed holds 3
                REPLICA placed silent
                UNKNOWN nowhere silent
                PRIMARY nowhere holds 3
                UNKNOWN nowhere silent
                REPLICA nowhere silent
                UNKNOWN placed silent
                """);
    }

    @Test
    void malformedInputIsReportedWithItsPosition() {
        assertThatThrownBy(() -> run("00000001"))
                .hasMessage("bad input at byte 4: the input ends inside a batch header");
        assertThatThrownBy(() -> run(batch(1, "0456 00000003").substring(0, 40)))
                .hasMessage("bad input at byte 20: the input ends inside a batch of 6 bytes");
        assertThatThrownBy(() -> run(batch(2, "0456 00000003 0999")))
                .hasMessage("bad input at byte 22: unknown record code 2457");
        assertThatThrownBy(() -> run(batch(1, "0456 0000")))
                .hasMessage("bad input at byte 18: a record that runs past the batch");
        assertThatThrownBy(() -> run(batch(1, "044c 00 00000009 00")))
                .hasMessage("bad input at byte 23: a count of 9 that runs past the batch");
        assertThatThrownBy(() -> run(batch(1, "0456 00000003 00")))
                .hasMessage("bad input at byte 22: 1 bytes after the last of 1 records");
    }

    private static String start() {
        byte[] text = SETTINGS.getBytes(StandardCharsets.UTF_8);
        return "03e8 0000000000000007" + String.format("%08x", text.length)
                + HexFormat.of().formatHex(text);
    }

    private static String batch(int records, String body) {
        String bytes = body.replace(" ", "");
        return String.format("%08x%08x", records, bytes.length() / 2) + CLOCK + bytes;
    }

    private static String run(String hex) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession(new ByteArrayInputStream(HexFormat.of().parseHex(hex)), out).run();
        return HexFormat.of().formatHex(out.toByteArray());
    }
}
