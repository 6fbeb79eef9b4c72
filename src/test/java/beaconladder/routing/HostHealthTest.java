package beaconladder.routing;

import static beaconladder.routing.Script.ANY;
import static beaconladder.routing.Script.WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Host;
import org.junit.jupiter.api.Test;

/** Which hosts a router sends requests to, by their outcomes and reports. */
class HostHealthTest {
    /**
     * While only this router keeps a host busy, its response times show work, not queueing; the reported load shows
     * that.
     */
    @Test
    void aHostThatReportsLowLoadHasCapacityThoughItsScaledResponseTimesWouldBeTooLong() {
        Script script = Script.warm("replicas_of_me=3");
        for (int i = 1; i <= 12; i++) {
            script.request(i, ANY, 0, 2000).advanceTo(170 * i).end(i, Outcome.COMMITTED, Role.REPLICA, 170 * i);
        }
        script.probed("b", Role.REPLICA, 2040, 0)
                .probed("c", Role.REPLICA, 2040, 0)
                .clearTrace();
        script.request(21, ANY, 0, 2000)
                .request(22, ANY, 0, 2000)
                .request(23, ANY, 0, 2000)
                .request(24, ANY, 0, 2000)
                .request(25, ANY, 0, 2000);
        assertThat(script.trace()).isEqualTo("""
                2040 request 21 any
                2040   send 21 to b
                2040 request 22 any
                2040   send 22 to c
                2040 request 23 any
                2040   send 23 to b
                2040 request 24 any
                2040   send 24 to c
                2040 request 25 any
                """);
    }

    /** Such a host looks idle and fast, and would otherwise receive all reads. */
    @Test
    void aHostThatFailsAtOnceReceivesFewReads() {
        Script script = Script.warm();
        int readsAtB = 0;
        for (int i = 1; i <= 60; i++) {
            script.probed("b", Role.REPLICA, 40 * i - 40, 0)
                    .probed("c", Role.REPLICA, 40 * i - 40, 0)
                    .clearTrace()
                    .request(i, ANY, 0, 2000);
            boolean sentToB = script.trace().contains("to b");
            readsAtB += sentToB && i > 20 ? 1 : 0;
            script.advanceTo(40 * i).end(i, sentToB ? Outcome.ERROR : Outcome.COMMITTED, Role.REPLICA, 40 * i);
            if (sentToB) {
                script.advanceTo(40 * i + 20).end(i, Outcome.COMMITTED, Role.REPLICA, 40 * i);
            }
        }
        assertThat(readsAtB).isLessThan(5);
    }

    @Test
    void aFullHostReceivesNoRequestForAWhile() {
        Script script = Script.warm()
                .list("c", false, Host.State.GONE, 0)
                .request(1, ANY, 0, 2000)
                .end(1, Outcome.FULL, Role.REPLICA, 0)
                .advanceTo(150);
        assertThat(script.trace()).isEqualTo("""
                0 request 1 any
                0   send 1 to b
                0 end 1@b full
                120   send 1 to b
                """);
    }

    @Test
    void aRestartedRouterSendsToNoReplicaBeforeItsProbe() {
        Script script = new Script()
                .list("a*", "b", "c")
                .request(1, ANY, 0, 2000)
                .advanceTo(5)
                .probed("c", Role.REPLICA, -900);
        assertThat(script.trace()).isEqualTo("""
                0 request 1 any
                0 probe c
                0 probe b
                5   send 1 to c
                """);
    }

    @Test
    void afterAFailoverAMissRevealsTheLossAndProbesFindTheNewPrimary() {
        Script script = Script.warm()
                .advanceTo(200)
                .request(1, WRITE, 0, 2000)
                .advanceTo(205)
                .end(1, Outcome.MISS, Role.REPLICA, 4)
                .advanceTo(250)
                .probed("b", Role.REPLICA, 4)
                .probed("c", Role.PRIMARY, 240);
        assertThat(script.trace()).isEqualTo("""
                200 request 1 write
                200   send 1 to a
                205 end 1@a miss
                205 probe c
                205 probe b
                250   send 1 to c
                """);
    }

    @Test
    void anUnreachableHostReceivesRequestsAgainOnlyAfterAProbe() {
        Script script = Script.warm()
                .list("c", false, Host.State.GONE, 0)
                .advanceTo(500)
                .request(1, ANY, 0, 2000)
                .advanceTo(750)
                .end(1, Outcome.UNREACHABLE)
                .advanceTo(900)
                .probed("b", Role.REPLICA, 890);
        assertThat(script.trace()).isEqualTo("""
                500 request 1 any
                500   send 1 to b
                750 end 1@b unreachable
                750 probe b
                900   send 1 to b
                """);
    }

    @Test
    void aRouterWithoutARequestProbesNoHost() {
        Script script = new Script().list("a*", "b", "c").advanceTo(5000);
        assertThat(script.trace()).isEqualTo("");
    }

    @Test
    void whereProbesAreCheapHostsAreProbedBeforeTheSendAndTheLessLoadedIsSelected() {
        Script script = Script.warm("fees.probe=0.01")
                .advanceTo(1000)
                .request(1, ANY, 0, 2000)
                .advanceTo(1005)
                .probed("b", Role.REPLICA, 990, 6)
                .probed("c", Role.REPLICA, 990, 1);
        assertThat(script.trace()).isEqualTo("""
                1000 request 1 any
                1000 probe c
                1000 probe b
                1005   send 1 to c
                """);
    }

    @Test
    void aHostThatDoesNotAnswerItsProbeIsNotSelected() {
        Script script = Script.warm("fees.probe=0.01")
                .advanceTo(1000)
                .request(1, ANY, 0, 2000)
                .advanceTo(1005)
                .probed("b", Role.REPLICA, 990, 6)
                .advanceTo(1100);
        assertThat(script.trace()).isEqualTo("""
                1000 request 1 any
                1000 probe c
                1000 probe b
                1045   send 1 to b
                """);
    }

    @Test
    void aSilentHostThatReportsNoLoadIsRatedByItsOutcomes() {
        Script script = Script.warm("fees.probe=0.01");
        for (int i = 0; i < 8; i++) {
            script.advanceTo(1000 + 400 * i)
                    .probed("b", Role.REPLICA, 990 + 400 * i, 0)
                    .probed("c", Role.REPLICA, 990 + 400 * i, 4)
                    .request(i, ANY, 0, 2000)
                    .advanceTo(1150 + 400 * i);
            script.endAllTimingOutAt("b", i);
        }
        assertThat(script.trace().replaceAll("(?m)^(?!.*send).*\\n", "")).isEqualTo("""
                1000   send 0 to b
                1150   send 0 to c
                1400   send 1 to c
                1800   send 2 to c
                2200   send 3 to b
                2350   send 3 to c
                2600   send 4 to c
                3000   send 5 to c
                3400   send 6 to c
                3800   send 7 to c
                """);
    }

    @Test
    void aRarelyUsedConnectionIsClosedAfterUse() {
        Script script = Script.warm().traceClosedConnections();
        for (int i = 0; i < 4; i++) {
            script.advanceTo(10 + i).request(i, WRITE, 0, 2000).end(i, Outcome.COMMITTED, Role.PRIMARY, 10 + i);
        }
        assertThat(script.trace().replaceAll("(?m)^(?!.*(close|send)).*\\n", ""))
                .isEqualTo("""
                10   send 0 to a
                10 close a
                11   send 1 to a
                11 close a
                12   send 2 to a
                12 close a
                13   send 3 to a
                """);
    }
}
