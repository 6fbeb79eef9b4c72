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

/** A short part of the rehearsal of leases, each process the program itself; and the judge, on what it must find. */
@Timeout(180)
class LeaseIT {
    private static final long SECOND = 1_000_000_000;

    @Test
    void noTwoHoldersActAtOnceWhileOneIsStoppedKilledAndCutOff() throws Exception {
        play(1, List.of(Fault.PAUSE_HOLDER, Fault.CUT_HOLDER, Fault.RESTART_HOLDER), 3);
    }

    @Test
    void norWhileTheGrantorsLeaderIsKilledAndCutOffAndMessagesComeAsTheyLike() throws Exception {
        play(2, List.of(Fault.KILL_LEADER, Fault.CUT_LEADER, Fault.FOUL_WEATHER), 3);
    }

    @Test
    void norWhileClocksAreOffAndTheTaskIsHandedOver() throws Exception {
        play(3, List.of(Fault.CLOCKS_WITHIN, Fault.HAND_OVER, Fault.CLOCK_BEYOND), 3);
    }

    @Test
    void theJudgeFindsWhatIsBroken() {
        List<Act> good = List.of(act(1, 0, "a", 1, 9), act(2, 1, "a", 1, 9), act(3, 0, "b", 2, 9));
        assertThat(LeaseChecker.broken(good, 0, 0, true)).isEmpty();
        assertThat(broken(act(1, 0, "b", 2, 9), act(2, 0, "a", 1, 9))).contains("out of turn");
        assertThat(broken(act(1, 0, "b", 2, 9), act(2, 1, "a", 1, 9))).contains("two at once");
        assertThat(broken(act(1, 0, "a", 1, 9), act(2, 1, "b", 1, 9))).contains("one token at two");
        assertThat(broken(act(9, 0, "a", 1, 3))).contains("after its holder's time");
    }

    private static String broken(Act... acts) {
        return String.join("; ", LeaseChecker.broken(List.of(acts), 0, 0, true));
    }

    private static Act act(long at, int resource, String holder, long token, long until) {
        return new Act(at * SECOND, resource, holder, token, until * SECOND, Decision.ADMITTED);
    }

    private static void play(long seed, List<Fault> faults, int count) throws Exception {
        StringWriter said = new StringWriter();
        boolean held = new LeaseScenario(seed, new PrintWriter(said)).play(faults, count);
        assertThat(held).as(said.toString()).isTrue();
        assertThat(said.toString()).contains("\"broken\":0");
    }
}
