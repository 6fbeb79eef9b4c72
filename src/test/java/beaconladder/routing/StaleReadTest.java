package beaconladder.routing;

import static beaconladder.routing.Script.ANY;
import static beaconladder.routing.Script.BOUNDED;
import static beaconladder.routing.Script.CURRENT;
import static beaconladder.routing.Script.SESSION;
import static beaconladder.routing.Script.WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Host.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Cases in which a read could be answered from data older than its request class permits. */
class StaleReadTest {
    /**
     * Guards against a fault that was seen: a primary that had hung became a replica, as the error of a write in flight
     * there stated. The load report in the same answer was older and still stated the role of primary, so the next read
     * was sent there.
     */
    @Test
    void aReportOlderThanItsAnswerDoesNotRestoreAPrimary() {
        Script script = Script.warm()
                .advanceTo(100)
                .request(1, WRITE, 0, 2000)
                .advanceTo(2_600)
                .end(1, Outcome.ERROR, Role.REPLICA, 90, Role.PRIMARY, 90)
                .clearTrace()
                .request(2, BOUNDED, 0, 900)
                .request(3, WRITE, 0, 900)
                .advanceTo(2_700);
        assertThat(script.trace()).doesNotContain("to a").contains("request 2 bounded", "request 3 write", "probe");
        // A later probe finds that it is the primary again.
        script.probed("a", Role.PRIMARY, 2_690);
        assertThat(script.trace()).contains("send 3 to a");
    }

    @Test
    void aReportOlderThanItsAnswerDoesNotMakeAnotherMemberThePrimary() {
        Script script = Script.warm()
                .advanceTo(100)
                .probed("b", Role.PRIMARY, 99)
                .request(1, ANY, 0, 2000)
                .advanceTo(110);
        String host = script.trace().replaceAll("(?s).*send 1 to (.).*", "$1");
        script.probed("b", Role.REPLICA, 109)
                .end(1, Outcome.COMMITTED, Role.REPLICA, 105, Role.PRIMARY, 105)
                .clearTrace()
                .request(2, WRITE, 0, 900);
        assertThat(host).isIn("a", "c");
        assertThat(script.trace()).doesNotContain("send 2 to " + host);
    }

    /** Endpoint lists may name a host as primary seconds after it has lost that role. */
    @Test
    void aLateEndpointListDoesNotRestoreAPrimaryThatReportedToBeAReplica() {
        for (String probes : new String[] {"true", "false"}) {
            Script script = Script.warm("limits.probes=" + probes)
                    .advanceTo(100)
                    .request(1, WRITE, 0, 2000)
                    .advanceTo(110)
                    .end(1, Outcome.MISS, Role.REPLICA, 90)
                    .list("b", true, State.READY, 0)
                    .probed("b", Role.REPLICA, 109)
                    .list("a", true, State.READY, 0)
                    .clearTrace()
                    .request(2, WRITE, 0, 900)
                    .advanceTo(120);
            assertThat(script.trace()).as(probes).contains("request 2").doesNotContain("to a");
            assertThat(script.trace().contains("probe a")).as(probes).isEqualTo(probes.equals("true"));
        }
    }

    /** The lost answer may have stated that the host is no longer the primary, and counts as known to the client. */
    @Test
    void aPrimaryWithALostAnswerIsProbedBeforeAReadIsSentThere() {
        for (Outcome outcome : new Outcome[] {Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED}) {
            Script script = Script.warm()
                    .advanceTo(400)
                    .request(1, WRITE, 0, 2000)
                    .advanceTo(430)
                    .end(1, outcome)
                    .clearTrace()
                    .request(2, CURRENT, 0, 900)
                    .advanceTo(431);
            assertThat(script.trace()).as(outcome.name()).contains("probe").doesNotContain("send 2");
            // After the other outcomes the host is suspect as well, and a random draw decides on the send.
            script.advanceTo(440).probed("a", Role.PRIMARY, 439);
            assertThat(script.trace().contains("send 2 to a")).isEqualTo(outcome == Outcome.CANCELLED);
        }
        // An attempt that was certainly not sent can't have been answered.
        assertThat(Script.warm()
                        .advanceTo(100)
                        .request(1, WRITE, 0, 2000)
                        .advanceTo(130)
                        .end(1, Outcome.MOOT)
                        .clearTrace()
                        .request(2, CURRENT, 0, 900)
                        .trace())
                .contains("send 2 to a");
    }

    /**
     * Guards against a fault seen where the router keeps the sessions. The connection of a write went silent, so the
     * answer to its commit was lost, and a later read of the session was answered from a position before the commit.
     */
    @Test
    void whileAWriteIsInFlightReadsOfItsSessionRequireThePositionItMayHaveCommittedAt() {
        Script script = Script.warm("family_info.session_marks=router")
                .request(1, WRITE, 0, 2000)
                .advanceTo(30)
                .request(2, SESSION, 0, 2000)
                .advanceTo(31)
                .end(2, Outcome.COMMITTED, Role.REPLICA, 20)
                .advanceTo(400)
                .clearTrace()
                .request(3, SESSION, 0, 1600)
                .probed("b", Role.REPLICA, 330);
        assertThat(script.trace()).contains("request 3 session").doesNotContain("send 3");
        script.advanceTo(410).probed("b", Role.REPLICA, 370);
        assertThat(script.trace()).contains("send 3 to b");
    }

    @Test
    void aLostAnswerCountsAsACommitUpToTheEndOfTheWrite() {
        for (Outcome outcome : List.of(Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.ERROR)) {
            Script script = Script.warm("family_info.session_marks=router")
                    .request(1, WRITE, 0, 2000)
                    .advanceTo(300)
                    .end(1, outcome)
                    .advanceTo(1_000)
                    .clearTrace()
                    .request(2, SESSION, 0, 1600)
                    .probed("b", Role.REPLICA, 299);
            assertThat(script.trace()).as(outcome.name()).doesNotContain("send 2");
            script.probed("c", Role.REPLICA, 300);
            assertThat(script.trace()).as(outcome.name()).contains("send 2 to c");
        }
    }

    /** Outcomes that prove that a write did not run raise no position. */
    @Test
    void aWriteThatDidNotRunDelaysNoRead() {
        for (Outcome outcome : new Outcome[] {Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT}) {
            Script script = Script.warm("family_info.session_marks=router", "limits.max_attempts=1")
                    .request(1, WRITE, 0, 2000)
                    .advanceTo(10)
                    .end(1, outcome)
                    .advanceTo(100)
                    .clearTrace()
                    .request(2, SESSION, 0, 1600)
                    .probed("b", Role.REPLICA, 5);
            assertThat(script.trace()).as(outcome.name()).contains("send 2");
        }
    }
}
