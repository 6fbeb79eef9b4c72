package beaconladder.routing;

import static beaconladder.routing.Script.ANY;
import static beaconladder.routing.Script.WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Host;
import org.junit.jupiter.api.Test;

/** What a host in slow start is sent. */
class SlowStartTest {
    /**
     * Seen at full size when six in ten hosts were replaced: reads waited for warming-up replicas without tickets and
     * were rejected while the warm primary had room, and warming-up hosts got a third of what they could, as the part
     * of a member was reckoned over all members, warming-up ones too, and over the requests rejected so.
     */
    @Test
    void aHostInSlowStartGetsItsShareOfAWarmMembersLoad() {
        Script script = Script.warm("rules.cold_share=0.5", "rules.warm_within_us=600000000", "rules.fall_multiple=3")
                .advanceTo(10)
                .list("b", false, Host.State.READY, 10)
                .list("c", false, Host.State.READY, 10)
                .advanceTo(20)
                .probed("b", Role.REPLICA, 20)
                .probed("c", Role.REPLICA, 20)
                .clearTrace();
        int cold = 0;
        long t = 20;
        for (int i = 1; i <= 200; i++) {
            t += 50;
            script.advanceTo(t)
                    .probed("b", Role.REPLICA, t)
                    .probed("c", Role.REPLICA, t)
                    .request(i, ANY, 0, 2000);
            while (!script.trace().contains("send " + i + " ")
                    && !script.trace().contains("reject " + i)) {
                script.advanceTo(++t);
            }
            boolean sent = script.trace().contains("send " + i + " ");
            cold += sent && !script.trace().contains("send " + i + " to a") ? 1 : 0;
            if (sent) {
                script.end(i, Outcome.COMMITTED, Role.REPLICA, t);
            }
            script.clearTrace();
        }
        // Each warming-up replica may have half of what the primary bears: half of the reads, at the most.
        assertThat(cold).isBetween(85, 115);
    }

    /**
     * Seen at full size in a rolling release: a router with a request of the group every second or two held each write
     * for three seconds before a warming-up primary and rejected it, while the tickets of the reads that came by lapsed
     * unused.
     */
    @Test
    void theTicketsOfAPrimaryInSlowStartGoToTheRequestsThatNeedIt() {
        Script script = Script.warm(
                        "rules.cold_share=0.2", "rules.warm_within_us=360000000000", "rules.fall_multiple=3")
                .advanceTo(10)
                .list("a", true, Host.State.READY, 10)
                .advanceTo(20)
                .probed("a", Role.PRIMARY, 20)
                .clearTrace();
        int sent = 0;
        long t = 20;
        for (int i = 1; i <= 500; i++) {
            t += 1_200;
            script.advanceTo(t).probed("c", Role.REPLICA, t).probed("b", Role.REPLICA, t);
            script.probed("a", Role.PRIMARY, t).request(i, i % 5 == 0 ? WRITE : ANY, 0, 2000);
            if (script.trace().contains("send " + i + " ")) {
                sent += i % 5 == 0 ? 1 : 0;
                script.end(i, Outcome.COMMITTED, i % 5 == 0 ? Role.PRIMARY : Role.REPLICA, t);
            }
            script.clearTrace();
        }
        // A warm replica bears two fifths of the requests and the warming-up primary may have a fifth of that: one in
        // twelve, which is two in five of the hundred writes. With tickets that reads drew it was none.
        assertThat(sent).isBetween(30, 55);
    }

    @Test
    void aHostInSlowStartIsSentToOnlyWithTickets() {
        Script script = Script.warm()
                .advanceTo(10)
                .list("b", false, Host.State.READY, 10)
                .advanceTo(11)
                .probed("b", Role.REPLICA, 10)
                .clearTrace();
        for (int i = 0; i < 8; i++) {
            script.request(i, ANY, 0, 2000).end(i, Outcome.COMMITTED, Role.REPLICA, 11);
        }
        assertThat(script.trace()).isEqualTo("""
                11 request 0 any
                11   send 0 to c
                11 end 0@c committed
                11   done 0
                11 request 1 any
                11   send 1 to b
                11 end 1@b committed
                11   done 1
                11 request 2 any
                11   send 2 to c
                11 end 2@c committed
                11   done 2
                11 request 3 any
                11   send 3 to c
                11 end 3@c committed
                11   done 3
                11 request 4 any
                11   send 4 to c
                11 end 4@c committed
                11   done 4
                11 request 5 any
                11   send 5 to c
                11 end 5@c committed
                11   done 5
                11 request 6 any
                11   send 6 to c
                11 end 6@c committed
                11   done 6
                11 request 7 any
                11   send 7 to c
                11 end 7@c committed
                11   done 7
                """);
    }
}
