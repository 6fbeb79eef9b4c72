package beaconladder.invariants;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.SlowStartTicket;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each check counts its violation, and nothing that the protocol allows. */
class InvariantsTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    private final Violations violations = new Violations();
    private final Invariants invariants = new Invariants(violations, SECOND);
    private final Group group = new Group(1);
    private final Host host = new Host(1, group, 0);

    private Request request(String idempotency) {
        Map<String, String> settings = new HashMap<>(Map.of(
                "request_classes.count",
                "1",
                "request_classes.0.effect",
                idempotency,
                "request_classes.0.key_ttl_us",
                "300000"));
        return new Request(1, RequestClass.parse(settings).get(0), group, 1, Long.MIN_VALUE, 0, false, 0, SECOND, 1);
    }

    private Attempt attempt(Request request, long decidedNanos, SlowStartTicket ticket) {
        Attempt attempt = new Attempt(request, request.attempts.size(), host, decidedNanos, 1, ticket);
        request.attempts.add(attempt);
        return attempt;
    }

    private Attempt attempt(Request request, long decidedNanos) {
        return attempt(request, decidedNanos, SlowStartTicket.NOT_NEEDED);
    }

    private long countAfter(Rule rule, Attempt attempt, long beganNanos, long timeoutNanos) {
        invariants.checkAttempt(new SentAttempt(attempt, beganNanos, beganNanos + MS, timeoutNanos));
        assertThat(violations.total()).as("other rules").isEqualTo(violations.count(rule));
        return violations.count(rule);
    }

    @Test
    void attemptWithinTheRulesIsNotCounted() {
        assertThat(countAfter(Rule.SENDING, attempt(request("side_effect"), 0), 10 * MS, 980 * MS))
                .isZero();
    }

    @Test
    void attemptToAHostDrainingLongerThanTheGracePeriod() {
        host.state = Host.State.DRAINING;
        host.stateSinceNanos = 0;
        Request request = request("pure");
        assertThat(countAfter(Rule.SENDING, attempt(request, 0), SECOND, MS)).isZero();
        assertThat(countAfter(Rule.SENDING, attempt(request, 0), SECOND + 51 * MS, MS))
                .isEqualTo(1);
    }

    @Test
    void attemptAfterTheClientDisconnected() {
        Request request = request("pure");
        request.disconnectedNanos = 100 * MS;
        assertThat(countAfter(Rule.SENDING, attempt(request, 0), 200 * MS, MS)).isZero();
        assertThat(countAfter(Rule.SENDING, attempt(request, 0), 201 * MS, MS)).isEqualTo(1);
    }

    @Test
    void timeoutLongerThanTheTimeLeft() {
        assertThat(countAfter(Rule.SENDING, attempt(request("pure"), 0), 500 * MS, 649 * MS))
                .isZero();
        assertThat(countAfter(Rule.SENDING, attempt(request("pure"), 0), 500 * MS, 651 * MS))
                .isEqualTo(1);
    }

    @Test
    void attemptToAHostInSlowStartWithoutATicket() {
        assertThat(countAfter(Rule.STARTING, attempt(request("pure"), 0, SlowStartTicket.USED), 0, MS))
                .isZero();
        assertThat(countAfter(Rule.STARTING, attempt(request("pure"), 0, SlowStartTicket.MISSING), 0, MS))
                .isEqualTo(1);
    }

    @Test
    void retryOfANonIdempotentRequestThatMayHaveRun() {
        Request nonIdempotent = request("side_effect");
        Attempt first = attempt(nonIdempotent, 0);
        first.neverRan = true;
        assertThat(countAfter(Rule.REPEATING, attempt(nonIdempotent, MS), MS, MS))
                .isZero();
        first.neverRan = false;
        assertThat(countAfter(Rule.REPEATING, attempt(nonIdempotent, MS), MS, MS))
                .isEqualTo(1);
    }

    @Test
    void retryAfterTheKeyTtl() {
        Request keyed = request("token");
        attempt(keyed, 0);
        assertThat(countAfter(Rule.REPEATING, attempt(keyed, 250 * MS), 299 * MS, MS))
                .isZero();
        assertThat(countAfter(Rule.REPEATING, attempt(keyed, 250 * MS), 501 * MS, MS))
                .isEqualTo(1);
    }

    @Test
    void rejectionOfARequestThatMayHaveRun() {
        Request nonIdempotent = request("side_effect");
        invariants.checkRejection(nonIdempotent);
        attempt(nonIdempotent, 0);
        Request idempotent = request("pure");
        attempt(idempotent, 0);
        invariants.checkRejection(idempotent);
        assertThat(violations.total()).isZero();
        invariants.checkRejection(nonIdempotent);
        assertThat(violations.count(Rule.REPEATING)).isEqualTo(1);
    }

    @Test
    void overdueResponsesAndQueriesWithoutResponseOnAClosedConnection() {
        Request request = request("pure");
        assertThat(invariants.countIfOverdue(request, SECOND + 500 * MS)).isFalse();
        assertThat(invariants.countIfOverdue(request, SECOND + 501 * MS)).isTrue();
        invariants.checkClosedConnection("IDLE", 0);
        invariants.checkClosedConnection("IDLE", 2);
        assertThat(violations.count(Rule.CLOSING)).isEqualTo(2);
        invariants.checkStartupTime(10 * SECOND);
        invariants.checkStartupTime(11 * SECOND);
        assertThat(violations.toString()).isEqualTo("sending=0 repeating=0 closing=2 starting=1");
    }
}
