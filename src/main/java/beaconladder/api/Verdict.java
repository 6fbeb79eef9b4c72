package beaconladder.api;

import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import java.util.List;

/**
 * What to do with a txn now.
 *
 * @param step     the step to take
 * @param host     for {@link Step#SEND}: the member to send to
 * @param timeout  for {@link Step#SEND}: how long this submission may take
 * @param comeBack for {@link Step#DECLINE}: how long the client should stay away; 0 says nothing
 * @param cancel   submissions to call off
 */
public record Verdict(Step step, Host host, long timeout, long comeBack, List<Submission> cancel) {

    /** The steps that a txn can take. */
    public enum Step { SEND, WAIT, DECLINE, ROLL_BACK, DONE }

    private static final Verdict WAITING = new Verdict(Step.WAIT, null, 0, 0, List.of());

    public static Verdict send(Host host, long timeout) {
        return new Verdict(Step.SEND, host, timeout, 0, List.of());
    }

    public static Verdict waiting() {
        return WAITING;
    }

    public static Verdict decline(long comeBack, List<Submission> cancel) {
        return new Verdict(Step.DECLINE, null, 0, comeBack, cancel);
    }

    public static Verdict rollBack(List<Submission> cancel) {
        return new Verdict(Step.ROLL_BACK, null, 0, 0, cancel);
    }

    public static Verdict done(List<Submission> cancel) {
        return new Verdict(Step.DONE, null, 0, 0, cancel);
    }
}
