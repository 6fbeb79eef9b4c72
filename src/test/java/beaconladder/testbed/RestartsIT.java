package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.RestartScenario.Fault;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short run of the restart scenario, with each router as in production. */
@Timeout(180)
class RestartsIT {
    @Test
    void aPlannedRestartLosesNoRequestThoughConnectionsStayBusyAndHostsAreSlow() throws Exception {
        runScenario(1, List.of(Fault.PLANNED, Fault.SLOW_HOSTS));
    }

    @Test
    void repeatedSignalsLoseNoRequestAndAKillLosesOnlyThoseInFlight() throws Exception {
        runScenario(
                2, List.of(Fault.TOLD_TWICE, Fault.TOLD_WHILE_STARTING, Fault.KILLED_EARLY, Fault.SILENT_DISCOVERY));
    }

    private static void runScenario(long seed, List<Fault> faults) throws Exception {
        StringWriter output = new StringWriter();
        boolean passed = new RestartScenario(seed, 4, new PrintWriter(output)).run(faults);
        assertThat(passed).as(output.toString()).isTrue();
        assertThat(output.toString()).contains("\"broken\":0");
    }
}
