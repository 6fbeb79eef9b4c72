package beaconladder.lab.soak;

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
        play(7, List.of(Trouble.values()));
    }

    @Test
    void systemCallsThatFailBesideStopsAndBadClientsHold() throws Exception {
        play(
                8,
                List.of(
                        Trouble.THREADS_FAIL,
                        Trouble.ACCEPT_FAILS,
                        Trouble.CONNECT_FAILS,
                        Trouble.SHORT_IO,
                        Trouble.TERMINATE,
                        Trouble.BAD_CLIENTS,
                        Trouble.CLOCK_WRONG_AT_START));
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
                        Trouble.HELD_UP,
                        Trouble.HOST_DRAINS,
                        Trouble.DISCOVERY_SLOW,
                        Trouble.DISCOVERY_BREAKS,
                        Trouble.RELOAD,
                        Trouble.IDLE_CROWD)));
    }

    private static void play(long seed, List<Trouble> troubles) throws Exception {
        play(SoakPlan.of(seed, 4, 4, troubles));
    }

    private static void play(SoakPlan plan) throws Exception {
        StringWriter said = new StringWriter();
        boolean held = new Soak(plan, new PrintWriter(said)).play();
        assertThat(held).as(said.toString()).isTrue();
        assertThat(said.toString()).contains("\"broken\":{}", "\"others\":0");
    }
}
