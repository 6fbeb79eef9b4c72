package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.invariants.Violations;
import beaconladder.metrics.Counters;
import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.RoutingDecision.Reason;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The names of the counters in the log, which operators' tools read; they are independent of the names in the code. */
class CounterNamesTest {
    private static String kinds(Enum<?>[] kinds) {
        return Arrays.stream(kinds)
                .map(kind -> {
                    Counters counters = new Counters();
                    counters.add("x", kind);
                    return counters.toString().replace("x.", "").replace("=1", "");
                })
                .collect(Collectors.joining(" "));
    }

    @Test
    void causesOfClosedConnections() {
        assertThat(kinds(CloseCause.values()))
                .isEqualTo(
                        "client_closed client_terminated client_broken cancel_request told_to_go idle drained fault");
    }

    @Test
    void rejectionsBeforeTheRoutingPolicy() {
        assertThat(kinds(QueryRejection.values()))
                .isEqualTo("no_thread no_time draining duplicate_id not_admitted queue_full");
    }

    @Test
    void resourcesThatClientsShare() {
        assertThat(kinds(SharedResource.values())).isEqualTo("query_memory answer_memory threads");
        assertThat(kinds(ReaderDelay.values())).isEqualTo("long_pass");
    }

    @Test
    void faultsOfTheLocalNetwork() {
        assertThat(kinds(LocalNetworkFault.values())).isEqualTo("accept connect");
    }

    @Test
    void outcomesOfAttempts() {
        assertThat(kinds(Outcome.values()))
                .isEqualTo("committed error full timed_out unreachable reset cancelled moot miss local_fault");
    }

    @Test
    void reasonsOfRejections() {
        assertThat(kinds(Reason.values()))
                .isEqualTo("none attempts_used no_time primary_lost may_have_run not_admitted");
    }

    @Test
    void attemptsThatWereNotSent() {
        assertThat(kinds(DispatchCheck.values()))
                .isEqualTo("allowed request_ended expired not_admitted host_leaving host_restarted may_have_run"
                        + " not_primary position_behind");
    }

    @Test
    void violationsOfInvariants() {
        assertThat(Violations.unlogged()).hasToString("sending=0 repeating=0 closing=0 starting=0");
    }
}
