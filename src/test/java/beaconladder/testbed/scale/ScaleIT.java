package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;

/** Runs the small sizes with real routers: all lines and rules hold, and the last line of the output says so. */
class ScaleIT {
    @Test
    void allChecksHoldAtSmallSizes() throws Exception {
        StringWriter text = new StringWriter();
        boolean held = Scale.run(EnumSet.allOf(Scale.Name.class), null, true, 1, new PrintWriter(text));
        String[] lines = text.toString().split("\n");
        JsonNode last = new ObjectMapper().readTree(lines[lines.length - 1]);
        assertThat(held).as(text.toString()).isTrue();
        assertThat(last.get("held").asBoolean()).isTrue();
        assertThat(last.get("slopes")).isNotEmpty();
        last.get("slopes").forEach(slope -> assertThat(slope.get("points")).hasSizeGreaterThanOrEqualTo(5));
    }
}
