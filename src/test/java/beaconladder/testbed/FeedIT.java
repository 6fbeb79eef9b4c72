package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.FeedScenario.Size;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short run of the feed's scenario, with each process as in production. */
@Timeout(180)
class FeedIT {
    /**
     * The time limits of {@code lab feed} are those that users require; here all are longer, as other work may share
     * the machine. Rules that do not depend on time are checked as strictly.
     */
    private static final Size SMALL = new Size(2, 16, 200, 600, 20, 2_500, 10_000, 15_000);

    @Test
    void changesReachAllRoutersThoughARelayAndALeaderAreKilledAndARouterRestartsWithoutARelay() throws Exception {
        StringWriter output = new StringWriter();
        boolean passed = new FeedScenario(1, SMALL, new PrintWriter(output))
                .run(List.of(FeedFault.KILL_RELAY, FeedFault.KILL_LEADER, FeedFault.RESTART_ALONE), 3);
        assertThat(passed).as(output.toString()).isTrue();
        assertThat(output.toString()).contains("\"broken\":0");
    }
}
