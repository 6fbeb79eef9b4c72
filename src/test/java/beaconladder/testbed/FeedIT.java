package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.FeedScenario.Size;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short part of the feed's rehearsal, each process the program itself. */
@Timeout(180)
class FeedIT {
    /**
     * The bars of {@code lab feed} are the users'; here all times are longer, as other work may share the machine. What
     * must hold whatever the time is judged alike.
     */
    private static final Size SMALL = new Size(2, 16, 200, 600, 20, 2_500, 10_000, 15_000);

    @Test
    void changesComeToAllWhileARelayAndALeaderAreKilledAndARouterIsAloneWithItsDisk() throws Exception {
        StringWriter said = new StringWriter();
        boolean held = new FeedScenario(1, SMALL, new PrintWriter(said))
                .play(List.of(FeedFault.KILL_RELAY, FeedFault.KILL_LEADER, FeedFault.RESTART_ALONE), 3);
        assertThat(held).as(said.toString()).isTrue();
        assertThat(said.toString()).contains("\"broken\":0");
    }
}
