package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ScaleTest {
    private static final long MEMORY = 24_000_000_000L;

    @Test
    void sizeThatNeedsTooMuchMemoryIsRejected() {
        assertThat(Scale.validateSizes(Scale.Name.MEMBERS, List.of(100, 200, 400, 800, 90_000), MEMORY))
                .startsWith("size 90000 of members needs ")
                .endsWith("half of this machine's memory is 12.0 GB")
                .doesNotContain("\n");
        assertThat(Scale.validateSizes(Scale.Name.LIST, List.of(100, 200, 400, 800, 5_000_000), MEMORY))
                .startsWith("size 5000000 of list needs ");
        assertThat(Scale.validateSizes(Scale.Name.LIST, List.of(100, 200, 400, 800, 5_800), MEMORY))
                .isNull();
    }

    @Test
    void tooFewAndTooSmallSizesAreRejected() {
        assertThat(Scale.validateSizes(Scale.Name.LIST, List.of(100, 200, 400, 800), MEMORY))
                .isEqualTo("list needs 5 sizes or more, each once");
        assertThat(Scale.validateSizes(Scale.Name.LIST, List.of(100, 200, 400, 800, 800), MEMORY))
                .isNotNull();
        assertThat(Scale.validateSizes(Scale.Name.LIST, List.of(0, 200, 400, 800, 900), MEMORY))
                .isEqualTo("size 0 of list: the least is 9");
    }

    @Test
    void defaultSizesOfEveryPartFitIntoMemory() {
        for (Scale.Name name : Scale.Name.values()) {
            for (boolean small : new boolean[] {true, false}) {
                assertThat(Scale.validateSizes(name, name.part().sizes(small), MEMORY))
                        .as("%s", name)
                        .isNull();
            }
        }
    }

    @Test
    void routersUseTheFlagsOfTheDeploymentFile() throws IOException {
        String line = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(each -> each.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        assertThat(Arrays.stream(line.split(" ")).filter(word -> word.startsWith("-X") || word.startsWith("-D")))
                .containsExactlyElementsOf(ChildProcess.ROUTER_JVM_FLAGS);
    }

    @Test
    void countersAreReadFromTheSystem() throws IOException, InterruptedException {
        long self = ProcessHandle.current().pid();
        ProcessCounters before = ProcessCounters.of(self);
        long deadline = System.nanoTime() + 300_000_000;
        while (System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        ProcessCounters now = ProcessCounters.of(self);
        assertThat(now.cpuNanos()).isGreaterThan(before.cpuNanos());
        assertThat(now.residentKb()).isGreaterThan(1_000);
        assertThat(now.descriptors()).isGreaterThan(2);
        assertThat(now.threads()).isGreaterThan(2);
    }
}
