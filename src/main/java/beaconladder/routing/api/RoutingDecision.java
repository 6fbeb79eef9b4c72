package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.SlowStartTicket;
import java.util.List;

/**
 * What happens to a request now.
 *
 * @param step the step to take
 * @param host for {@link Step#SEND}: the host to send to
 * @param timeoutNanos for {@link Step#SEND}: how long this attempt may take
 * @param retryAfterNanos for {@link Step#REJECT}: how long the client should wait before a retry; 0 for no advice
 * @param attemptsToCancel attempts in flight to cancel
 * @param slowStartTicket for {@link Step#SEND}: whether the host's slow start requires a ticket, and one was used
 * @param reason for {@link Step#REJECT} and {@link Step#ROLL_BACK}: why there is no commit
 */
public record RoutingDecision(
        Step step,
        Host host,
        long timeoutNanos,
        long retryAfterNanos,
        List<Attempt> attemptsToCancel,
        SlowStartTicket slowStartTicket,
        Reason reason) {

    /** Why a request ends without a commit. */
    public enum Reason {
        NONE,
        ATTEMPTS_USED,
        NO_TIME,
        PRIMARY_LOST,
        MAY_HAVE_RUN,
        NOT_ADMITTED
    }

    /** The possible steps of a request. */
    public enum Step {
        SEND,
        WAIT,
        REJECT,
        ROLL_BACK,
        DONE
    }

    private static final RoutingDecision WAITING = withoutHost(Step.WAIT, 0, List.of(), Reason.NONE);

    public static RoutingDecision send(Host host, long timeoutNanos) {
        return new RoutingDecision(
                Step.SEND, host, timeoutNanos, 0, List.of(), SlowStartTicket.NOT_NEEDED, Reason.NONE);
    }

    public static RoutingDecision waiting() {
        return WAITING;
    }

    /** The same decision with this state of the slow-start ticket. */
    public RoutingDecision withTicket(SlowStartTicket slowStartTicket) {
        return new RoutingDecision(
                step, host, timeoutNanos, retryAfterNanos, attemptsToCancel, slowStartTicket, reason);
    }

    public static RoutingDecision reject(long retryAfterNanos, Reason reason) {
        return withoutHost(Step.REJECT, retryAfterNanos, List.of(), reason);
    }

    public static RoutingDecision rollBack(Reason reason) {
        return withoutHost(Step.ROLL_BACK, 0, List.of(), reason);
    }

    public static RoutingDecision done(List<Attempt> attemptsToCancel) {
        return withoutHost(Step.DONE, 0, attemptsToCancel, Reason.NONE);
    }

    private static RoutingDecision withoutHost(
            Step step, long retryAfterNanos, List<Attempt> attemptsToCancel, Reason reason) {
        return new RoutingDecision(
                step, null, 0, retryAfterNanos, attemptsToCancel, SlowStartTicket.NOT_NEEDED, reason);
    }
}
