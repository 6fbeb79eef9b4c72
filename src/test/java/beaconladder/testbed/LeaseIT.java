package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lease.FencingGuard.Decision;
import beaconladder.testbed.LeaseScenario.Fault;
import beaconladder.testbed.SharedStandIn.Act;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short run of the lease scenario with each process as in production, and tests of its checker. */
@Timeout(180)
class LeaseIT {
    private static final long SECOND = 1_000_000_000;

    @Test
    void noTwoHoldersActAtOnceWhileAHolderIsPausedPartitionedAndRestarted() throws Exception {
        runScenario(1, List.of(Fault.PAUSE_HOLDER, Fault.CUT_HOLDER, Fault.RESTART_HOLDER), 3);
    }

    @Test
    void noTwoHoldersActAtOnceWhileTheLeaderFailsAndMessagesAreLostAndReordered() throws Exception {
        runScenario(2, List.of(Fault.KILL_LEADER, Fault.CUT_LEADER, Fault.FOUL_WEATHER), 3);
    }

    @Test
    void noTwoHoldersActAtOnceWhileClocksDeviateAndTheTaskIsHandedOver() throws Exception {
        runScenario(3, List.of(Fault.CLOCKS_WITHIN, Fault.HAND_OVER, Fault.CLOCK_BEYOND), 3);
    }

    @Test
    void theCheckerFindsEachViolation() {
        List<Act> valid = List.of(act(1, 0, "a", 1, 9), act(2, 1, "a", 1, 9), act(3, 0, "b", 2, 9));
        assertThat(LeaseChecker.findViolations(valid, 0, 0, true)).isEmpty();
        assertThat(violations(act(1, 0, "b", 2, 9), act(2, 0, "a", 1, 9))).contains("stale token");
        assertThat(violations(act(1, 0, "b", 2, 9), act(2, 1, "a", 1, 9))).contains("overlapping holders");
        assertThat(violations(act(1, 0, "a", 1, 9), act(2, 1, "b", 1, 9))).contains("one token at two");
        assertThat(violations(act(9, 0, "a", 1, 3))).contains("after the lease's deadline");
    }

    private static String violations(Act... acts) {
        return String.join("; ", LeaseChecker.findViolations(List.of(acts), 0, 0, true));
    }

    private static Act act(long at, int resource, String holder, long token, long until) {
        return new Act(at * SECOND, resource, holder, token, until * SECOND, Decision.ADMITTED);
    }

    private static void runScenario(long seed, List<Fault> faults, int count) throws Exception {
        StringWriter output = new StringWriter();
        boolean passed = new LeaseScenario(seed, new PrintWriter(output)).run(faults, count);
        assertThat(passed).as(output.toString()).isTrue();
        assertThat(output.toString()).contains("\"broken\":0");
    }
}
