package beaconladder;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Role;
import org.junit.jupiter.api.Test;

/** A router whose clock is an hour ahead of the hosts' learns it from answers of primaries. */
class PrimaryClockTest {
    private static final int HOUR = 3_600_000;
    private static final int READS = 12;

    /** Its bounded reads can go to replicas again; without once-only writes too. */
    @Test
    void readsAtThePrimaryMoveTheClockBack() {
        Script script = new Script().list("a*", "b", "c").tick(0).probed("a", Role.PRIMARY, -HOUR)
                .probed("b", Role.REPLICA, -HOUR).probed("c", Role.REPLICA, -HOUR);
        for (int i = 0; i < READS; i++) {
            int sent = 20 * i;
            script.tick(sent).ask(i, Script.CURRENT, 0, 2_000).tick(sent + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, sent + 5 - HOUR);
        }
        int at = 20 * READS;
        script.tick(at).probed("b", Role.REPLICA, at - 10 - HOUR).probed("c", Role.REPLICA, at - 10 - HOUR)
                .quiet().ask(READS, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).containsPattern("send " + READS + " to [bc]");
    }

    /** An earlier try of a referenced write may have committed long before this one was sent. */
    @Test
    void commitsOfReferencedWritesMoveNothing() {
        Script script = Script.warm();
        for (int i = 0; i < READS; i++) {
            script.tick(100 * i).ask(i, Script.REFERENCED, 0, 2_000).tick(100 * i + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, 100 * i - 3_000);
        }
        int at = 100 * READS;
        script.tick(at).probed("b", Role.REPLICA, at - 2_000).probed("c", Role.REPLICA, at - 2_000)
                .quiet().ask(READS, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).doesNotContainPattern("send " + READS + " to [bc]");
    }
}
