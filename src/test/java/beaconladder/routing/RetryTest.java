package beaconladder.routing;

import static beaconladder.routing.Script.ANY;
import static beaconladder.routing.Script.BOUNDED;
import static beaconladder.routing.Script.WRITE;
import static beaconladder.routing.Script.WRITE_WITH_KEY;
import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Host;
import org.junit.jupiter.api.Test;

/** When a request is retried, rejected or timed out, and whether an attempt may still be sent. */
class RetryTest {
    /**
     * Guards against a fault seen in tests of restarts. Hosts went from milliseconds to 1.2 s per answer at once. The
     * writes that waited behind the first slow one were sent when its answer arrived, with 0.8 s left, and timed out,
     * so that they ended as possibly executed, although the response time of 1.2 s was known by then.
     */
    @Test
    void aNonIdempotentWriteIsNotSentWithLessTimeThanItsPrimaryLastTook() {
        Script script = Script.warm();
        for (int i = 1; i <= 16; i++) {
            script.request(i, WRITE, 0, 2000).advanceTo(10 * i).end(i, Outcome.COMMITTED, Role.PRIMARY, 10 * i);
        }
        script.clearTrace()
                .request(100, WRITE, 0, 2000)
                .advanceTo(460)
                .request(101, WRITE, 0, 2000)
                .advanceTo(1_360)
                .end(100, Outcome.COMMITTED, Role.PRIMARY, 1_360)
                .advanceTo(2_200);
        assertThat(script.trace())
                .contains("send 100 to a")
                .doesNotContain("send 101 to a")
                .contains("reject 101");
    }

    /** The decision was within the TTL of 300 ms, and the connection that the attempt waited for was ready after it. */
    @Test
    void aRetryIsNotDispatchedOnceItsKeyTtlIsOver() {
        Script script = Script.warm()
                .advanceTo(100)
                .request(1, WRITE_WITH_KEY, 0, 2000)
                .advanceTo(110)
                .end(1, Outcome.ERROR)
                .advanceTo(150);
        assertThat(script.trace()).containsSubsequence("send 1 to a", "error", "send 1 to a");
        script.clearTrace().advanceTo(399).checkDispatch(1).advanceTo(400).checkDispatch(1);
        assertThat(script.trace()).isEqualTo("399 dispatch 1@a true\n400 dispatch 1@a false\n");
        assertThat(script.clearTrace().end(1, Outcome.MOOT).trace()).contains("roll back 1");
    }

    /** The attempt was decided for a warm host, or on a ticket of an earlier start; the host is in slow start now. */
    @Test
    void anAttemptIsNotDispatchedOnceItsHostHasRestarted() {
        Script script = Script.warm().advanceTo(5_000).request(1, ANY, 0, 2000).checkDispatch(1);
        String host = script.trace().replaceAll("(?s).*send 1 to (.).*", "$1");
        script.list(host, false, Host.State.READY, 5_000).checkDispatch(1);
        assertThat(script.trace()).contains("dispatch 1@" + host + " true", "dispatch 1@" + host + " false");
    }

    @Test
    void aNonIdempotentRequestIsRetriedOnlyWhereItIsKnownNotToHaveRun() {
        StringBuilder traces = new StringBuilder();
        for (Outcome outcome : Outcome.values()) {
            traces.append(Script.warm()
                    .advanceTo(5)
                    .request(1, WRITE, 0, 900)
                    .advanceTo(9)
                    .end(1, outcome)
                    .trace());
        }
        assertThat(traces.toString()).isEqualTo("""
                5 request 1 write
                5   send 1 to a
                9 end 1@a committed
                9   done 1
                5 request 1 write
                5   send 1 to a
                9 end 1@a error
                9   roll back 1
                5 request 1 write
                5   send 1 to a
                9 end 1@a full
                5 request 1 write
                5   send 1 to a
                9 end 1@a timed_out
                9   roll back 1
                5 request 1 write
                5   send 1 to a
                9 end 1@a unreachable
                5 request 1 write
                5   send 1 to a
                9 end 1@a reset
                9   roll back 1
                5 request 1 write
                5   send 1 to a
                9 end 1@a cancelled
                9   roll back 1
                5 request 1 write
                5   send 1 to a
                9 end 1@a moot
                9   send 1 to a
                5 request 1 write
                5   send 1 to a
                9 end 1@a miss
                9 probe c
                9 probe a
                5 request 1 write
                5   send 1 to a
                9 end 1@a local_fault
                """);
    }

    /**
     * A failure to open a connection on the router's own machine is no evidence against the host; a retry soon follows.
     */
    @Test
    void anAttemptThatFailedOnTheLocalMachineIsRetriedAfterABackoffAndDoesNotCount() {
        Script script = Script.warm().advanceTo(5).request(1, WRITE, 0, 900);
        for (int i = 0; i < 20; i++) {
            script.advanceTo(9 + 20 * i).end(1, Outcome.LOCAL_FAULT);
        }
        script.clearTrace().advanceTo(408).advanceTo(409);
        assertThat(script.trace()).isEqualTo("409   send 1 to a\n");
    }

    @Test
    void aRequestWithAKeyIsRetriedOnlyWithinTheKeyTtl() {
        Script script = Script.warm()
                .request(1, WRITE_WITH_KEY, 0, 2000)
                .advanceTo(100)
                .end(1, Outcome.ERROR)
                .advanceTo(350)
                .end(1, Outcome.ERROR);
        assertThat(script.trace()).isEqualTo("""
                0 request 1 write
                0   send 1 to a
                100 end 1@a error
                100   send 1 to a
                350 end 1@a error
                350   roll back 1
                """);
    }

    @Test
    void anIdempotentRequestAtASilentHostIsHedgedAtAnotherHost() {
        Script script = Script.warm()
                .list("c", false, Host.State.GONE, 0)
                .request(1, ANY, 0, 2000)
                .request(2, ANY, 0, 2000)
                .request(3, ANY, 0, 2000)
                .advanceTo(300)
                .list("c", false, Host.State.READY, 0)
                .advanceTo(700)
                .end(1, Outcome.COMMITTED, Role.REPLICA, 650);
        assertThat(script.trace()).isEqualTo("""
                0 request 1 any
                0   send 1 to b
                0 request 2 any
                0   send 2 to b
                0 request 3 any
                0   send 3 to b
                600   send 1 to c
                600   send 2 to c
                600   send 3 to c
                700 end 1@c committed
                700   cancel 1@b
                700   done 1
                """);
    }

    /** Connecting takes time, and the conditions of the decision may no longer hold once the connection is ready. */
    @Test
    void anAttemptIsDispatchedOnlyWhileTheConditionsOfItsDecisionHold() {
        StringBuilder traces = new StringBuilder();
        traces.append(Script.warm()
                .advanceTo(400)
                .request(1, BOUNDED, 0, 2000)
                .advanceTo(499)
                .checkDispatch(1)
                .advanceTo(501)
                .checkDispatch(1)
                .trace());
        traces.append(Script.warm()
                .request(1, ANY, 0, 2000)
                .request(2, WRITE, 0, 900)
                .advanceTo(100)
                .checkDispatch(1)
                .checkDispatch(2)
                .list("a", false, Host.State.DRAINING, 0)
                .list("b", false, Host.State.DRAINING, 0)
                .list("c", false, Host.State.GONE, 0)
                .checkDispatch(1)
                .checkDispatch(2)
                .trace());
        traces.append(Script.warm()
                .request(1, WRITE, 0, 900)
                .advanceTo(20)
                .probed("b", Role.PRIMARY, 20)
                .checkDispatch(1)
                .trace());
        traces.append(Script.warm()
                .request(1, ANY, 0, 900)
                .disconnect(1)
                .checkDispatch(1)
                .trace());
        assertThat(traces.toString()).isEqualTo("""
                400 request 1 bounded
                400   send 1 to c
                499 dispatch 1@c true
                501 dispatch 1@c false
                0 request 1 any
                0   send 1 to c
                0 request 2 write
                0   send 2 to a
                100 dispatch 1@c true
                100 dispatch 2@a true
                100 dispatch 1@c false
                100 dispatch 2@a false
                0 request 1 write
                0   send 1 to a
                20 dispatch 1@a false
                0 request 1 any
                0   send 1 to c
                0 disconnect 1
                0   cancel 1@c
                0   done 1
                0 dispatch 1@c false
                """);
    }

    /** Timeouts end two ticks before the expiry, so that the response is sent in time even on a busy core. */
    @Test
    void anAttemptMayTakeUntilTwoTicksBeforeTheExpiry() {
        Script script = Script.warm()
                .traceTimeouts()
                .request(1, WRITE, 0, 900)
                .request(2, ANY, 0, 2000)
                .request(3, ANY, 0, 300);
        assertThat(script.trace()).isEqualTo("""
                0 request 1 write
                0   send 1 to a for 890
                0 request 2 any
                0   send 2 to c for 800
                0 request 3 any
                0   send 3 to b for 290
                """);
    }

    /**
     * The primary is lost at 100 ms. A write that arrived just before waits for almost its whole time, as the outage
     * may end soon; one that arrives four seconds later is rejected after half of its time.
     */
    @Test
    void aWriteInALongOutageIsRejectedAfterHalfOfItsTime() {
        Script script = Script.warm()
                .request(1, WRITE, 0, 2000)
                .advanceTo(90)
                .end(1, Outcome.COMMITTED, Role.PRIMARY, 90)
                .request(2, WRITE, 0, 2000)
                .advanceTo(100)
                .end(2, Outcome.UNREACHABLE)
                .clearTrace()
                .advanceTo(4100)
                .request(3, WRITE, 0, 2000)
                .advanceTo(6100);
        assertThat(script.trace().replaceAll(".*probe.*\n", "")).isEqualTo("""
                1940   reject 2
                4100 request 3 write
                5095   reject 3
                """);
    }
}
