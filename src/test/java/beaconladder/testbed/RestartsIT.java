package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.RestartScenario.Fault;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short part of the rehearsal of planned restarts, each router the program itself. */
@Timeout(180)
class RestartsIT {
    @Test
    void aPlannedRestartLosesNothingThoughEveryConnectionIsKeptBusyAndHostsAreSlow() throws Exception {
        play(1, List.of(Fault.PLANNED, Fault.SLOW_HOSTS));
    }

    @Test
    void norDoesOneToldTwiceOrWhileStartingAndAKillLosesOnlyWhatWasInHand() throws Exception {
        play(2, List.of(Fault.TOLD_TWICE, Fault.TOLD_WHILE_STARTING, Fault.KILLED_EARLY, Fault.SILENT_DISCOVERY));
    }

    private static void play(long seed, List<Fault> faults) throws Exception {
        StringWriter said = new StringWriter();
        boolean held = new RestartScenario(seed, 4, new PrintWriter(said)).play(faults);
        assertThat(held).as(said.toString()).isTrue();
        assertThat(said.toString()).contains("\"broken\":0");
    }
}
