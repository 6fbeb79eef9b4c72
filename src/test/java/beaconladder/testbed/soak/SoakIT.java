package beaconladder.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short part of the fault soak, each router the program itself. */
@Timeout(180)
class SoakIT {
    @Test
    void aShortSoakOfAllTroublesHolds() throws Exception {
        play(7, List.of(FaultKind.values()));
    }

    @Test
    void systemCallsThatFailBesideStopsAndBadClientsHold() throws Exception {
        play(
                8,
                List.of(
                        FaultKind.THREADS_FAIL,
                        FaultKind.ACCEPT_FAILS,
                        FaultKind.CONNECT_FAILS,
                        FaultKind.SHORT_IO,
                        FaultKind.TERMINATE,
                        FaultKind.BAD_CLIENTS,
                        FaultKind.CLOCK_WRONG_AT_START));
    }

    @Test
    void hostsThatLeaveWhileDiscoveryIsAskedAndWritesAreHeldUpHold() throws Exception {
        play(new SoakPlan(
                9,
                4,
                4,
                0,
                true,
                List.of(
                        FaultKind.HELD_UP,
                        FaultKind.HOST_DRAINS,
                        FaultKind.DISCOVERY_SLOW,
                        FaultKind.DISCOVERY_BREAKS,
                        FaultKind.RELOAD,
                        FaultKind.IDLE_CROWD)));
    }

    private static void play(long seed, List<FaultKind> faults) throws Exception {
        play(SoakPlan.of(seed, 4, 4, faults));
    }

    private static void play(SoakPlan plan) throws Exception {
        StringWriter said = new StringWriter();
        boolean held = new Soak(plan, new PrintWriter(said)).play();
        assertThat(held).as(said.toString()).isTrue();
        assertThat(said.toString()).contains("\"broken\":{}", "\"others\":0");
    }
}
