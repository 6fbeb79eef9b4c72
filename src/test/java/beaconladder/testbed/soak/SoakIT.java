package beaconladder.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs short fault soaks with real router processes; each fails if a rule of the protocol is violated. */
@Timeout(180)
class SoakIT {
    @Test
    void allFaultKindsViolateNoRule() throws Exception {
        play(7, List.copyOf(EnumSet.range(FaultKind.TERMINATE, FaultKind.IDLE_CROWD)));
    }

    @Test
    void failingSystemCallsWithRestartsAndMalformedInputViolateNoRule() throws Exception {
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

    /** Guards against clients that take what all share, also while a router ends at the earliest kill. */
    @Test
    void floodsCrowdsAndClosesWithSeriesOfSignalsViolateNoRule() throws Exception {
        play(
                10,
                List.of(
                        FaultKind.CLIENT_FLOOD,
                        FaultKind.CLIENT_CROWD,
                        FaultKind.CLIENTS_LEAVE,
                        FaultKind.SIGNAL_SERIES,
                        FaultKind.TERMINATE,
                        FaultKind.HOSTS_SLOW));
    }

    @Test
    void leavingHostsWithPolledDiscoveryAndDelayedWritesViolateNoRule() throws Exception {
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
        StringWriter output = new StringWriter();
        boolean rulesHeld = new Soak(plan, new PrintWriter(output)).play();
        assertThat(rulesHeld).as(output.toString()).isTrue();
        assertThat(output.toString()).contains("\"broken\":{}", "\"others\":0");
    }
}
