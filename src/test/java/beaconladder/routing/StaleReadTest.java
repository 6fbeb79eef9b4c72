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
        Script s = Script.warm()
                .tick(100)
                .ask(1, WRITE, 0, 2000)
                .tick(2_600)
                .end(1, Outcome.ERROR, Role.REPLICA, 90, Role.PRIMARY, 90)
                .quiet()
                .ask(2, BOUNDED, 0, 900)
                .ask(3, WRITE, 0, 900)
                .tick(2_700);
        assertThat(s.trace()).doesNotContain("to a").contains("ask 2 bounded", "ask 3 write", "probe");
        // It is asked, and says itself, later on, that it is the primary again.
        s.probed("a", Role.PRIMARY, 2_690);
        assertThat(s.trace()).contains("send 3 to a");
    }

    @Test
    void norDoesOneThatComesWithTheAnswerOfAMemberThatNobodyTookForThePrimary() {
        Script s = Script.warm()
                .tick(100)
                .probed("b", Role.PRIMARY, 99)
                .ask(1, ANY, 0, 2000)
                .tick(110);
        String host = s.trace().replaceAll("(?s).*send 1 to (.).*", "$1");
        s.probed("b", Role.REPLICA, 109)
                .end(1, Outcome.COMMITTED, Role.REPLICA, 105, Role.PRIMARY, 105)
                .quiet()
                .ask(2, WRITE, 0, 900);
        assertThat(host).isIn("a", "c");
        assertThat(s.trace()).doesNotContain("send 2 to " + host);
    }

    /** Lists name a primary seconds after it was one. */
    @Test
    void aLateListDoesNotBringAPrimaryBackThatHasDeniedIt() {
        for (String probes : new String[] {"true", "false"}) {
            Script s = Script.warm("limits.probes=" + probes)
                    .tick(100)
                    .ask(1, WRITE, 0, 2000)
                    .tick(110)
                    .end(1, Outcome.MISS, Role.REPLICA, 90)
                    .list("b", true, State.READY, 0)
                    .probed("b", Role.REPLICA, 109)
                    .list("a", true, State.READY, 0)
                    .quiet()
                    .ask(2, WRITE, 0, 900)
                    .tick(120);
            assertThat(s.trace()).as(probes).contains("ask 2").doesNotContain("to a");
            assertThat(s.trace().contains("probe a")).as(probes).isEqualTo(probes.equals("true"));
        }
    }

    /** The answer that was not heard may have said so, and counts as known all the same. */
    @Test
    void aPrimaryWhoseAnswerWasNotHeardIsAskedBeforeAReadGoesThere() {
        for (Outcome outcome : new Outcome[] {Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED}) {
            Script s = Script.warm()
                    .tick(400)
                    .ask(1, WRITE, 0, 2000)
                    .tick(430)
                    .end(1, outcome)
                    .quiet()
                    .ask(2, CURRENT, 0, 900)
                    .tick(431);
            assertThat(s.trace()).as(outcome.name()).contains("probe").doesNotContain("send 2");
            // Where the host is suspect beside it, a draw decides what comes then.
            s.tick(440).probed("a", Role.PRIMARY, 439);
            assertThat(s.trace().contains("send 2 to a")).isEqualTo(outcome == Outcome.CANCELLED);
        }
        // What surely did not reach it can't have been answered.
        assertThat(Script.warm()
                        .tick(100)
                        .ask(1, WRITE, 0, 2000)
                        .tick(130)
                        .end(1, Outcome.MOOT)
                        .quiet()
                        .ask(2, CURRENT, 0, 900)
                        .trace())
                .contains("send 2 to a");
    }

    /**
     * Seen where this router remembers the writes: the connection of a write fell silent, so its commit was answered
     * and never heard of; a read of the session was answered from before it.
     */
    @Test
    void whileAWriteIsOutItsSessionsReadsNeedWhatItMayHaveCommittedAMomentAgo() {
        Script s = Script.warm("family_info.session_marks=router")
                .ask(1, WRITE, 0, 2000)
                .tick(30)
                .ask(2, SESSION, 0, 2000)
                .tick(31)
                .end(2, Outcome.COMMITTED, Role.REPLICA, 20)
                .tick(400)
                .quiet()
                .ask(3, SESSION, 0, 1600)
                .probed("b", Role.REPLICA, 330);
        assertThat(s.trace()).contains("ask 3 session").doesNotContain("send 3");
        s.tick(410).probed("b", Role.REPLICA, 370);
        assertThat(s.trace()).contains("send 3 to b");
    }

    @Test
    void anAnswerThatNeverCameCountsAsACommitUpToTheWritesEnd() {
        for (Outcome outcome : List.of(Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.ERROR)) {
            Script s = Script.warm("family_info.session_marks=router")
                    .ask(1, WRITE, 0, 2000)
                    .tick(300)
                    .end(1, outcome)
                    .tick(1_000)
                    .quiet()
                    .ask(2, SESSION, 0, 1600)
                    .probed("b", Role.REPLICA, 299);
            assertThat(s.trace()).as(outcome.name()).doesNotContain("send 2");
            s.probed("c", Role.REPLICA, 300);
            assertThat(s.trace()).as(outcome.name()).contains("send 2 to c");
        }
    }

    /** What is known not to have run holds nothing up. */
    @Test
    void aWriteThatDidNotRunBindsNoRead() {
        for (Outcome outcome : new Outcome[] {Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT}) {
            Script s = Script.warm("family_info.session_marks=router", "limits.max_attempts=1")
                    .ask(1, WRITE, 0, 2000)
                    .tick(10)
                    .end(1, outcome)
                    .tick(100)
                    .quiet()
                    .ask(2, SESSION, 0, 1600)
                    .probed("b", Role.REPLICA, 5);
            assertThat(s.trace()).as(outcome.name()).contains("send 2");
        }
    }
}
