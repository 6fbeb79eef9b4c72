package beaconladder.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class ScaleCommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int call(String... arguments) {
        CommandLine line = Main.line();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(arguments);
    }

    @Test
    void aSizeBeyondTheMachineIsOneLineAndTwo() {
        assertThat(call("lab", "scale", "--part", "list", "--sizes", "9,10,11,12,900000000"))
                .isEqualTo(2);
        assertThat(err.toString())
                .startsWith("beaconladder: size 900000000 of list needs ")
                .hasLineCount(1);
    }

    @Test
    void wrongCallsEndWithTwo() {
        assertThat(call("lab", "scale", "--part", "nonsense")).isEqualTo(2);
        assertThat(call("lab", "scale", "--sizes", "9,10,11,12,13")).isEqualTo(2);
        assertThat(err.toString()).contains("name it by --part");
        assertThat(call("lab", "scale", "--part", "list", "--sizes", "9,10,11,12"))
                .isEqualTo(2);
        assertThat(call("lab", "scale", "--seed", "x")).isEqualTo(2);
    }

    @Test
    void thePartsAreNamed() {
        assertThat(call("lab", "scale", "--list")).isZero();
        assertThat(out.toString()).startsWith("list\nmembers\n");
    }
}
