package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import org.junit.jupiter.api.Test;

/** A router whose clock is an hour ahead of the hosts' clock corrects it by the answers of primaries. */
class ClockCorrectionTest {
    private static final int HOUR_MILLIS = 3_600_000;
    private static final int READS = 12;
    private static final int EXTRA_REQUEST = 99;

    /** Afterwards bounded reads can be sent to replicas again, even without non-idempotent writes. */
    @Test
    void readsAtThePrimaryMoveTheClockBack() {
        Script script = new Script()
                .list("a*", "b", "c")
                .advanceTo(0)
                .probed("a", Role.PRIMARY, -HOUR_MILLIS)
                .probed("b", Role.REPLICA, -HOUR_MILLIS)
                .probed("c", Role.REPLICA, -HOUR_MILLIS);
        for (int i = 0; i < READS; i++) {
            int sentMillis = 20 * i;
            script.advanceTo(sentMillis)
                    .request(i, Script.CURRENT, 0, 2_000)
                    .advanceTo(sentMillis + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, sentMillis + 5 - HOUR_MILLIS);
        }
        int timeMillis = 20 * READS;
        script.advanceTo(timeMillis)
                .probed("b", Role.REPLICA, timeMillis - 10 - HOUR_MILLIS)
                .probed("c", Role.REPLICA, timeMillis - 10 - HOUR_MILLIS)
                .clearTrace()
                .request(READS, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).containsPattern("send " + READS + " to [bc]");
    }

    /** An earlier attempt of a write with an idempotency key may have committed long before this one was sent. */
    @Test
    void commitsOfWritesWithAKeyDoNotMoveTheClock() {
        Script script = Script.warm();
        for (int i = 0; i < READS; i++) {
            script.advanceTo(100 * i)
                    .request(i, Script.WRITE_WITH_KEY, 0, 2_000)
                    .advanceTo(100 * i + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, 100 * i - 3_000);
        }
        int timeMillis = 100 * READS;
        script.advanceTo(timeMillis)
                .probed("b", Role.REPLICA, timeMillis - 2_000)
                .probed("c", Role.REPLICA, timeMillis - 2_000)
                .clearTrace()
                .request(READS, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).doesNotContainPattern("send " + READS + " to [bc]");
    }

    /** After a lost answer, no read is sent to the primary until that has stated its role again. */
    @Test
    void anAnswerLostBeforeTheClockWasCorrectedKeepsNoReadFromThePrimary() {
        Script script = new Script()
                .list("a*", "b", "c")
                .advanceTo(0)
                .probed("a", Role.PRIMARY, -HOUR_MILLIS)
                .request(0, Script.CURRENT, 0, 2_000)
                .request(EXTRA_REQUEST, Script.CURRENT, 0, 2_000)
                .advanceTo(10)
                .end(0, Outcome.COMMITTED, Role.PRIMARY, 5 - HOUR_MILLIS)
                .end(EXTRA_REQUEST, Outcome.RESET)
                .disconnect(EXTRA_REQUEST)
                .advanceTo(20)
                .probed("a", Role.PRIMARY, 15 - HOUR_MILLIS)
                .probed("c", Role.REPLICA, 15 - HOUR_MILLIS);
        int timeMillis = 1_000;
        for (int i = 1; i <= READS; i++) {
            timeMillis += 20;
            script.advanceTo(timeMillis)
                    .request(i, Script.WRITE, 0, 2_000)
                    .advanceTo(timeMillis + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, timeMillis + 5 - HOUR_MILLIS);
        }
        script.advanceTo(timeMillis + 100)
                .probed("a", Role.PRIMARY, timeMillis + 90 - HOUR_MILLIS)
                .clearTrace()
                .request(READS + 1, Script.CURRENT, 0, 2_000);
        assertThat(script.trace()).contains("send " + (READS + 1) + " to a");
    }

    /** Reports without a position are dated by the router's clock. */
    @Test
    void aPrimaryFoundBeforeTheClockWasCorrectedCanBeReplaced() {
        Script script = new Script().list("a*", "b", "c").advanceTo(0).probedRole("a", Role.PRIMARY);
        int timeMillis = 0;
        for (int i = 1; i <= READS; i++) {
            timeMillis += 20;
            script.advanceTo(timeMillis)
                    .request(i, Script.WRITE, 0, 2_000)
                    .advanceTo(timeMillis + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, timeMillis + 5 - HOUR_MILLIS);
        }
        script.advanceTo(timeMillis + 100)
                .probedRole("a", Role.REPLICA)
                .probedRole("b", Role.PRIMARY)
                .clearTrace()
                .request(READS + 1, Script.CURRENT, 0, 2_000);
        assertThat(script.trace()).contains("send " + (READS + 1) + " to b");
    }

    /** A primary that has been replaced still reports that it is the primary, and its position no longer advances. */
    @Test
    void aPrimaryBehindItsReplicasDoesNotMoveTheClock() {
        Script script = Script.warm();
        int timeMillis = 2_000;
        for (int i = 0; i <= READS; i++) {
            timeMillis += 20;
            script.advanceTo(timeMillis)
                    .probed("b", Role.REPLICA, timeMillis - 10)
                    .request(i, Script.CURRENT, 0, 2_000)
                    .advanceTo(timeMillis + 10)
                    .end(i, Outcome.COMMITTED, Role.PRIMARY, 0);
        }
        int lastPositionMillis = timeMillis - 10;
        timeMillis += 2_000;
        script.advanceTo(timeMillis)
                .probed("b", Role.REPLICA, lastPositionMillis)
                .probed("c", Role.REPLICA, lastPositionMillis)
                .clearTrace()
                .request(EXTRA_REQUEST, Script.BOUNDED, 0, 2_000);
        assertThat(script.trace()).doesNotContainPattern("send " + EXTRA_REQUEST + " to [bc]");
    }
}
