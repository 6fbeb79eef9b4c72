package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.SlowStartTicket;
import java.util.List;

/**
 * What to do with a txn now.
 *
 * @param step the step to take
 * @param host for {@link Step#SEND}: the member to send to
 * @param timeout for {@link Step#SEND}: how long this submission may take
 * @param comeBack for {@link Step#DECLINE}: how long the client should stay away; 0 says nothing
 * @param cancel submissions to call off
 * @param ticket for {@link Step#SEND}: what the host's slow start asked for
 * @param reason for {@link Step#DECLINE} and {@link Step#ROLL_BACK}: why there is no commit
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

    /** The steps that a txn can take. */
    public enum Step {
        SEND,
        WAIT,
        REJECT,
        ROLL_BACK,
        DONE
    }

    private static final RoutingDecision WAITING = endWith(Step.WAIT, 0, List.of(), Reason.NONE);

    public static RoutingDecision send(Host host, long timeout) {
        return new RoutingDecision(Step.SEND, host, timeout, 0, List.of(), SlowStartTicket.NOT_NEEDED, Reason.NONE);
    }

    public static RoutingDecision waiting() {
        return WAITING;
    }

    /** The same send, with what its host's slow start asked for. */
    public RoutingDecision withTicket(SlowStartTicket now) {
        return new RoutingDecision(step, host, timeoutNanos, retryAfterNanos, attemptsToCancel, now, reason);
    }

    public static RoutingDecision reject(long comeBack, Reason reason) {
        return endWith(Step.REJECT, comeBack, List.of(), reason);
    }

    public static RoutingDecision rollBack(Reason reason) {
        return endWith(Step.ROLL_BACK, 0, List.of(), reason);
    }

    public static RoutingDecision done(List<Attempt> cancel) {
        return endWith(Step.DONE, 0, cancel, Reason.NONE);
    }

    private static RoutingDecision endWith(Step step, long comeBack, List<Attempt> cancel, Reason reason) {
        return new RoutingDecision(step, null, 0, comeBack, cancel, SlowStartTicket.NOT_NEEDED, reason);
    }
}
