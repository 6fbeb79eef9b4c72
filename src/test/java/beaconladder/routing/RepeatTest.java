package beaconladder.routing;

import static beaconladder.routing.Script.ANY;
import static beaconladder.routing.Script.BOUNDED;
import static beaconladder.routing.Script.REFERENCED;
import static beaconladder.routing.Script.WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Host;
import org.junit.jupiter.api.Test;

/** When a request is sent again, refused or timed out, and whether an attempt still stands. */
class RepeatTest {
    /**
     * Seen in rehearsals of restarts: hosts that answered within milliseconds took 1.2 s from one moment to the next.
     * The writes that waited behind the first of them were sent when its answer came, with 0.8 s left, and ran into
     * their time: their clients were told that they may have run. That the host takes 1.2 s was known by then.
     */
    @Test
    void aWriteThatMustNotRunTwiceIsNotSentWithLessTimeThanItsPrimaryLastTook() {
        Script s = Script.warm();
        for (int i = 1; i <= 16; i++) {
            s.ask(i, WRITE, 0, 2000).tick(10 * i).end(i, Outcome.COMMITTED, Role.PRIMARY, 10 * i);
        }
        s.quiet()
                .ask(100, WRITE, 0, 2000)
                .tick(460)
                .ask(101, WRITE, 0, 2000)
                .tick(1_360)
                .end(100, Outcome.COMMITTED, Role.PRIMARY, 1_360)
                .tick(2_200);
        assertThat(s.trace())
                .contains("send 100 to a")
                .doesNotContain("send 101 to a")
                .contains("reject 101");
    }

    /** The decision was inside the memory time of 300 ms; the connection that it waited for came up behind it. */
    @Test
    void aRetryIsNotDispatchedOnceItsKeyTtlIsOver() {
        Script s = Script.warm()
                .tick(100)
                .ask(1, REFERENCED, 0, 2000)
                .tick(110)
                .end(1, Outcome.ERROR)
                .tick(150);
        assertThat(s.trace()).containsSubsequence("send 1 to a", "error", "send 1 to a");
        s.quiet().tick(399).stands(1).tick(400).stands(1);
        assertThat(s.trace()).isEqualTo("399 stands 1@a true\n400 stands 1@a false\n");
        assertThat(s.quiet().end(1, Outcome.MOOT).trace()).contains("roll back 1");
    }

    /** It was sent to a warm host, or on a ticket of the start before; what connects late meets a warming-up one. */
    @Test
    void anAttemptIsNotDispatchedOnceItsHostHasRestarted() {
        Script s = Script.warm().tick(5_000).ask(1, ANY, 0, 2000).stands(1);
        String host = s.trace().replaceAll("(?s).*send 1 to (.).*", "$1");
        s.list(host, false, Host.State.READY, 5_000).stands(1);
        assertThat(s.trace()).contains("stands 1@" + host + " true", "stands 1@" + host + " false");
    }

    @Test
    void aNonIdempotentRequestIsRetriedOnlyWhereItIsKnownNotToHaveRun() {
        StringBuilder all = new StringBuilder();
        for (Outcome outcome : Outcome.values()) {
            all.append(Script.warm()
                    .tick(5)
                    .ask(1, WRITE, 0, 900)
                    .tick(9)
                    .end(1, outcome)
                    .trace());
        }
        assertThat(all.toString()).isEqualTo("""
                5 ask 1 write
                5   send 1 to a
                9 end 1@a committed
                9   done 1
                5 ask 1 write
                5   send 1 to a
                9 end 1@a error
                9   roll back 1
                5 ask 1 write
                5   send 1 to a
                9 end 1@a full
                5 ask 1 write
                5   send 1 to a
                9 end 1@a timed_out
                9   roll back 1
                5 ask 1 write
                5   send 1 to a
                9 end 1@a unreachable
                5 ask 1 write
                5   send 1 to a
                9 end 1@a reset
                9   roll back 1
                5 ask 1 write
                5   send 1 to a
                9 end 1@a cancelled
                9   roll back 1
                5 ask 1 write
                5   send 1 to a
                9 end 1@a moot
                9   send 1 to a
                5 ask 1 write
                5   send 1 to a
                9 end 1@a miss
                9 probe c
                9 probe a
                5 ask 1 write
                5   send 1 to a
                9 end 1@a local_fault
                """);
    }

    /** The router's own machine gave no connection: nothing speaks against the host, and it is tried again shortly. */
    @Test
    void whatNeverLeftThisMachineIsSentAgainAfterARestAndCountsAsNoAttempt() {
        Script s = Script.warm().tick(5).ask(1, WRITE, 0, 900);
        for (int i = 0; i < 20; i++) {
            s.tick(9 + 20 * i).end(1, Outcome.LOCAL_FAULT);
        }
        s.quiet().tick(408).tick(409);
        assertThat(s.trace()).isEqualTo("409   send 1 to a\n");
    }

    @Test
    void aRequestWithAKeyIsRetriedOnlyWithinTheKeyTtlOfItsGroup() {
        Script s = Script.warm()
                .ask(1, REFERENCED, 0, 2000)
                .tick(100)
                .end(1, Outcome.ERROR)
                .tick(350)
                .end(1, Outcome.ERROR);
        assertThat(s.trace()).isEqualTo("""
                0 ask 1 write
                0   send 1 to a
                100 end 1@a error
                100   send 1 to a
                350 end 1@a error
                350   roll back 1
                """);
    }

    @Test
    void anIdempotentRequestAtASilentHostIsHedgedElsewhere() {
        Script s = Script.warm()
                .list("c", false, Host.State.GONE, 0)
                .ask(1, ANY, 0, 2000)
                .ask(2, ANY, 0, 2000)
                .ask(3, ANY, 0, 2000)
                .tick(300)
                .list("c", false, Host.State.READY, 0)
                .tick(700)
                .end(1, Outcome.COMMITTED, Role.REPLICA, 650);
        assertThat(s.trace()).isEqualTo("""
                0 ask 1 any
                0   send 1 to b
                0 ask 2 any
                0   send 2 to b
                0 ask 3 any
                0   send 3 to b
                600   send 1 to c
                600   send 2 to c
                600   send 3 to c
                700 end 1@c committed
                700   cancel 1@b
                700   done 1
                """);
    }

    /** Connecting takes time, and what held at the decision may not hold when the bytes could go. */
    @Test
    void aSubmissionStandsOnlyAsLongAsItsReasonsDo() {
        StringBuilder all = new StringBuilder();
        all.append(Script.warm()
                .tick(400)
                .ask(1, BOUNDED, 0, 2000)
                .tick(499)
                .stands(1)
                .tick(501)
                .stands(1)
                .trace());
        all.append(Script.warm()
                .ask(1, ANY, 0, 2000)
                .ask(2, WRITE, 0, 900)
                .tick(100)
                .stands(1)
                .stands(2)
                .list("a", false, Host.State.DRAINING, 0)
                .list("b", false, Host.State.DRAINING, 0)
                .list("c", false, Host.State.GONE, 0)
                .stands(1)
                .stands(2)
                .trace());
        all.append(Script.warm()
                .ask(1, WRITE, 0, 900)
                .tick(20)
                .probed("b", Role.PRIMARY, 20)
                .stands(1)
                .trace());
        all.append(Script.warm().ask(1, ANY, 0, 900).left(1).stands(1).trace());
        assertThat(all.toString()).isEqualTo("""
                400 ask 1 bounded
                400   send 1 to c
                499 stands 1@c true
                501 stands 1@c false
                0 ask 1 any
                0   send 1 to c
                0 ask 2 write
                0   send 2 to a
                100 stands 1@c true
                100 stands 2@a true
                100 stands 1@c false
                100 stands 2@a false
                0 ask 1 write
                0   send 1 to a
                20 stands 1@a false
                0 ask 1 any
                0   send 1 to c
                0 left 1
                0   cancel 1@c
                0   done 1
                0 stands 1@c false
                """);
    }

    /** Time-outs end two ticks before the expiry, so that the answer leaves in time from a busy core too. */
    @Test
    void aSubmissionMayTakeUntilTwoTicksBeforeTheExpiry() {
        Script s = Script.warm()
                .showTimes()
                .ask(1, WRITE, 0, 900)
                .ask(2, ANY, 0, 2000)
                .ask(3, ANY, 0, 300);
        assertThat(s.trace()).isEqualTo("""
                0 ask 1 write
                0   send 1 to a for 890
                0 ask 2 any
                0   send 2 to c for 800
                0 ask 3 any
                0   send 3 to b for 290
                """);
    }

    /** The primary is lost at 100: a write of then may outlast that, one of four seconds later is told. */
    @Test
    void aWriteInALongOutageIsRejectedAtHalfOfItsTime() {
        Script s = Script.warm()
                .ask(1, WRITE, 0, 2000)
                .tick(90)
                .end(1, Outcome.COMMITTED, Role.PRIMARY, 90)
                .ask(2, WRITE, 0, 2000)
                .tick(100)
                .end(2, Outcome.UNREACHABLE)
                .quiet()
                .tick(4100)
                .ask(3, WRITE, 0, 2000)
                .tick(6100);
        assertThat(s.trace().replaceAll(".*probe.*\n", "")).isEqualTo("""
                1940   reject 2
                4100 ask 3 write
                5095   reject 3
                """);
    }
}
