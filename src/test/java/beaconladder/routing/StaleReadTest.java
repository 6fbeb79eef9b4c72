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

/** Ways to a read that is answered from data older than its type permits. */
class StaleReadTest {
    /**
     * Seen: a primary that had hung came back as a replica, and the error of a write that it still held said so; the
     * report in the same answer was older and still said primary. The next read was sent there.
     */
    @Test
    void aReportThatIsOlderThanItsAnswerDoesNotBringAPrimaryBack() {
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
        // It is asked, and says itself, later on, that it is the primary again.
        script.probed("a", Role.PRIMARY, 2_690);
        assertThat(script.trace()).contains("send 3 to a");
    }

    @Test
    void norDoesOneThatComesWithTheAnswerOfAMemberThatNobodyTookForThePrimary() {
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

    /** Lists name a primary seconds after it was one. */
    @Test
    void aLateListDoesNotBringAPrimaryBackThatHasDeniedIt() {
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

    /** The answer that was not heard may have said so, and counts as known all the same. */
    @Test
    void aPrimaryWhoseAnswerWasNotHeardIsAskedBeforeAReadGoesThere() {
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
            // Where the host is suspect beside it, a draw decides what comes then.
            script.advanceTo(440).probed("a", Role.PRIMARY, 439);
            assertThat(script.trace().contains("send 2 to a")).isEqualTo(outcome == Outcome.CANCELLED);
        }
        // What surely did not reach it can't have been answered.
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
     * Seen where this router remembers the writes: the connection of a write fell silent, so its commit was answered
     * and never heard of; a read of the session was answered from before it.
     */
    @Test
    void whileAWriteIsOutItsSessionsReadsNeedWhatItMayHaveCommittedAMomentAgo() {
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
    void anAnswerThatNeverCameCountsAsACommitUpToTheWritesEnd() {
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

    /** What is known not to have run holds nothing up. */
    @Test
    void aWriteThatDidNotRunBindsNoRead() {
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
