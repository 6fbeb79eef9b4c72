package beaconladder.ci;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The script by which CI reads the file of known failures. */
class KnownRedTest {
    private static final String TEST_LINE = "SomeIT#someCase, what was seen; issue 1\n";
    private static final String CASE_LINE = "review/12/run.sh, what was seen; issue 2\n";
    private static final String SOAK_LINE = "lab soak --seed 3: what was seen; issue 3\n";

    @TempDir
    Path folder;

    /** Guards against cases of review/ that can only be recorded behind a test's line. */
    @Test
    void testsAreTakenForThemselvesAndCasesAreOnlyPrinted() throws Exception {
        String content = TEST_LINE + CASE_LINE + SOAK_LINE;
        assertThat(knownRed("tests", content)).isEqualTo("0 " + TEST_LINE);
        assertThat(knownRed("cases", content)).isEqualTo("0 " + CASE_LINE + SOAK_LINE);
        assertThat(knownRed("tests", "")).isEqualTo("0 ");
        assertThat(knownRed("tests", TEST_LINE.repeat(3))).isEqualTo("0 " + TEST_LINE.repeat(3));
    }

    /** Guards against a line by which CI would pass over something that it can't name. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "a note\n",
                "SomeIT, all of it\n",
                "SomeHelper#someCase, no test\n",
                "review/run.sh, no number\n",
                "lab cells --seed 1: not a soak\n",
                " SomeIT#someCase, indented\n"
            })
    void anyOtherLineIsAnError(String line) throws Exception {
        for (String kind : new String[] {"tests", "cases"}) {
            assertThat(knownRed(kind, TEST_LINE + line)).startsWith("1 ").contains(line);
        }
    }

    @Test
    void moreThanThreeTestsAreAnError() throws Exception {
        assertThat(knownRed("tests", TEST_LINE.repeat(4))).startsWith("1 ").contains("more than 3 tests");
    }

    /** The file of this project is one that CI can read. */
    @Test
    void theFileOfThisProjectIsValid() throws Exception {
        Path file = Path.of("KNOWN-RED.txt");
        assertThat(knownRed("tests", Files.exists(file) ? Files.readString(file) : ""))
                .startsWith("0 ");
    }

    /** Returns the exit code and the output of the script for a file of this content. */
    private String knownRed(String kind, String content) throws IOException, InterruptedException {
        Path file = folder.resolve("KNOWN-RED.txt");
        Files.writeString(file, content);
        Process script = new ProcessBuilder("bash", ".ci/known-red", kind, file.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return script.waitFor() + " " + output;
    }
}
