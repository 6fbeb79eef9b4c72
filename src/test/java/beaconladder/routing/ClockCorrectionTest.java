package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import org.junit.jupiter.api.Test;

/** A router whose clock is an hour ahead of the hosts' learns it from answers of primaries. */
class ClockCorrectionTest {
    private static final int HOUR = 3_600_000;
    private static final int READS = 12;
    private static final int LOST = 99;

    /** Its bounded reads can go to replicas again; without once-only writes too. */
    @Test
    void readsAtThePrimaryMoveTheClockBack() {
        Script script = new Script()
                .list("a*", "b", "c")
                .advanceTo(0)
                .probed("a", Role.PRIMARY, -HOUR)
                .probed("b", Role.REPLICA, -HOUR)
                .probed("c", Role.REPLICA, -HOUR);
        for (int i = 0; i < READS; i++) {
            int sent = 20 * i;
            script.advanceTo(sent)
                    .request(i, Script.CURRENT, 0, 2_000)
                    .advanceTo(sent + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, sent + 5 - HOUR);
        }
        int at = 20 * READS;
        script.advanceTo(at)
                .probed("b", Role.REPLICA, at - 10 - HOUR)
                .probed("c", Role.REPLICA, at - 10 - HOUR)
                .clearTrace()
                .request(READS, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).containsPattern("send " + READS + " to [bc]");
    }

    /** An earlier try of a referenced write may have committed long before this one was sent. */
    @Test
    void commitsOfReferencedWritesMoveNothing() {
        Script script = Script.warm();
        for (int i = 0; i < READS; i++) {
            script.advanceTo(100 * i)
                    .request(i, Script.WRITE_WITH_KEY, 0, 2_000)
                    .advanceTo(100 * i + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, 100 * i - 3_000);
        }
        int at = 100 * READS;
        script.advanceTo(at)
                .probed("b", Role.REPLICA, at - 2_000)
                .probed("c", Role.REPLICA, at - 2_000)
                .clearTrace()
                .request(READS, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).doesNotContainPattern("send " + READS + " to [bc]");
    }

    /** An answer that was not heard keeps reads from its primary until that has said what it is. */
    @Test
    void anAnswerThatWasLostBeforeTheClockWasPutRightHoldsNoReadFromThePrimary() {
        Script script = new Script()
                .list("a*", "b", "c")
                .advanceTo(0)
                .probed("a", Role.PRIMARY, -HOUR)
                .request(0, Script.CURRENT, 0, 2_000)
                .request(LOST, Script.CURRENT, 0, 2_000)
                .advanceTo(10)
                .end(0, Outcome.COMMITTED, Role.PRIMARY, 5 - HOUR)
                .end(LOST, Outcome.RESET)
                .disconnect(LOST)
                .advanceTo(20)
                .probed("a", Role.PRIMARY, 15 - HOUR)
                .probed("c", Role.REPLICA, 15 - HOUR);
        int at = 1_000;
        for (int i = 1; i <= READS; i++) {
            at += 20;
            script.advanceTo(at)
                    .request(i, Script.WRITE, 0, 2_000)
                    .advanceTo(at + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, at + 5 - HOUR);
        }
        script.advanceTo(at + 100)
                .probed("a", Role.PRIMARY, at + 90 - HOUR)
                .clearTrace()
                .request(READS + 1, Script.CURRENT, 0, 2_000);
        assertThat(script.trace()).contains("send " + (READS + 1) + " to a");
    }

    /** Words without a position are dated by the router's clock. */
    @Test
    void aPrimaryThatWasFoundBeforeTheClockWasPutRightCanBeFollowedByAnother() {
        Script script = new Script().list("a*", "b", "c").advanceTo(0).probedRole("a", Role.PRIMARY);
        int at = 0;
        for (int i = 1; i <= READS; i++) {
            at += 20;
            script.advanceTo(at)
                    .request(i, Script.WRITE, 0, 2_000)
                    .advanceTo(at + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, at + 5 - HOUR);
        }
        script.advanceTo(at + 100)
                .probedRole("a", Role.REPLICA)
                .probedRole("b", Role.PRIMARY)
                .clearTrace()
                .request(READS + 1, Script.CURRENT, 0, 2_000);
        assertThat(script.trace()).contains("send " + (READS + 1) + " to b");
    }

    /** One that another has followed still calls itself the primary, and its log stands still. */
    @Test
    void aPrimaryBehindItsReplicasIsNoEvidenceOfTheTime() {
        Script script = Script.warm();
        int at = 2_000;
        for (int i = 0; i <= READS; i++) {
            at += 20;
            script.advanceTo(at)
                    .probed("b", Role.REPLICA, at - 10)
                    .request(i, Script.CURRENT, 0, 2_000)
                    .advanceTo(at + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, 0);
        }
        int stopped = at - 10;
        at += 2_000;
        script.advanceTo(at)
                .probed("b", Role.REPLICA, stopped)
                .probed("c", Role.REPLICA, stopped)
                .clearTrace()
                .request(LOST, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).doesNotContainPattern("send " + LOST + " to [bc]");
    }
}
