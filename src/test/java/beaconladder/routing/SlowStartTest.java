package beaconladder.routing;

import static beaconladder.routing.Script.ANY;
import static beaconladder.routing.Script.WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Host;
import org.junit.jupiter.api.Test;

/** How many requests a host in slow start receives. */
class SlowStartTest {
    /**
     * Guards against a fault seen when six in ten hosts were replaced. Reads waited for replicas in slow start without
     * tickets and were rejected although the warm primary had capacity, and hosts in slow start received a third of
     * what they could serve: the share of a member was computed over all members, including those in slow start, and
     * over the requests that were rejected for this reason.
     */
    @Test
    void aHostInSlowStartReceivesItsShareOfAWarmMembersLoad() {
        Script script = Script.warm("rules.cold_share=0.5", "rules.warm_within_us=600000000", "rules.fall_multiple=3")
                .advanceTo(10)
                .list("b", false, Host.State.READY, 10)
                .list("c", false, Host.State.READY, 10)
                .advanceTo(20)
                .probed("b", Role.REPLICA, 20)
                .probed("c", Role.REPLICA, 20)
                .clearTrace();
        int slowStartSends = 0;
        long timeMillis = 20;
        for (int i = 1; i <= 200; i++) {
            timeMillis += 50;
            script.advanceTo(timeMillis)
                    .probed("b", Role.REPLICA, timeMillis)
                    .probed("c", Role.REPLICA, timeMillis)
                    .request(i, ANY, 0, 2000);
            while (!script.trace().contains("send " + i + " ")
                    && !script.trace().contains("reject " + i)) {
                script.advanceTo(++timeMillis);
            }
            boolean sent = script.trace().contains("send " + i + " ");
            slowStartSends += sent && !script.trace().contains("send " + i + " to a") ? 1 : 0;
            if (sent) {
                script.end(i, Outcome.COMMITTED, Role.REPLICA, timeMillis);
            }
            script.clearTrace();
        }
        // Each replica in slow start may receive half of what the primary serves: both together half of the reads at
        // most.
        assertThat(slowStartSends).isBetween(85, 115);
    }

    /**
     * Guards against a fault seen in a rolling release. A router with one request of the group every second or two held
     * each write for three seconds for a primary in slow start and rejected it, while the tickets that reads had drawn
     * expired unused.
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
        int sentWrites = 0;
        long timeMillis = 20;
        for (int i = 1; i <= 500; i++) {
            timeMillis += 1_200;
            script.advanceTo(timeMillis).probed("c", Role.REPLICA, timeMillis).probed("b", Role.REPLICA, timeMillis);
            script.probed("a", Role.PRIMARY, timeMillis).request(i, i % 5 == 0 ? WRITE : ANY, 0, 2000);
            if (script.trace().contains("send " + i + " ")) {
                sentWrites += i % 5 == 0 ? 1 : 0;
                script.end(i, Outcome.COMMITTED, i % 5 == 0 ? Role.PRIMARY : Role.REPLICA, timeMillis);
            }
            script.clearTrace();
        }
        // A warm replica serves two fifths of the requests, and the primary in slow start may receive a fifth of that:
        // one in twelve, which is two in five of the hundred writes. When reads drew the tickets, no write was sent.
        assertThat(sentWrites).isBetween(30, 55);
    }

    @Test
    void aHostInSlowStartReceivesRequestsOnTicketsOnly() {
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
