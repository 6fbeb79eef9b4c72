package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;

/**
 * The decisions of one router, asked like a client library: three questions and a few plain notices.
 *
 * <p>Every call carries the clock, in nanoseconds, which never runs backwards. An instance belongs to one router and
 * one thread.
 */
public interface Router {

    /** What is known of a host's role from an answer or a report. */
    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        COMMITTED,
        ERROR,
        FULL,
        TIMED_OUT,
        UNREACHABLE,
        RESET,
        CANCELLED,
        MOOT,
        MISS,
        /** The router's own machine gave no connection, whatever the host. */
        LOCAL_FAULT;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean provesNotRun() {
            return this == FULL || this == UNREACHABLE || this == MOOT || this == MISS || this == LOCAL_FAULT;
        }

        /** Whether the host itself spoke. */
        public boolean isFromHost() {
            return this == COMMITTED || this == ERROR || this == FULL || this == MISS;
        }
    }

    /**
     * What a host said of itself.
     *
     * @param role its role, or {@link Role#UNKNOWN}
     * @param position the log position it has applied, in nanoseconds on the routers' clock, or {@link #NONE}
     * @param holds how many requests of all routers it holds, or less than 0 when it did not say
     */
    record HostReport(Role role, long position, double inFlight) {
        public static final long NO_POSITION = Long.MIN_VALUE;
        public static final HostReport EMPTY = new HostReport(Role.UNKNOWN, NO_POSITION, -1);
    }

    /** The request class at this place of the list handed over at start. */
    RequestClass requestClass(int index);

    /** First question: where to send this request, now; or not yet, or never. */
    RoutingDecision route(Request request, long now);

    /** Whether this attempt may still go: asked right before its bytes, as connecting takes time. */
    DispatchCheck checkDispatch(Attempt attempt, long now);

    /** How long a host is told that its answer is waited for, where so much is left of the attempt's time. */
    long advertisedTimeoutNanos(long remainingNanos);

    /** How long a connection to a host may have been idle and still be used. */
    long maxIdleNanos();

    /**
     * Second question: what to do after this outcome.
     *
     * @param answer what the answer itself says (exact when it was given)
     * @param report a report that came along, of some age
     */
    RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now);

    /** Third question: how long to wait; names the members to probe and the requests to ask about again. */
    NextWakeup nextWakeup(long now);

    /** The endpoint list lists a host (or no longer does: then its state is gone). */
    void updateHost(Host host, boolean listedAsPrimary, Host.State state, long launchedNanos, long now);

    /** Lets go of a host that is gone; false while something that was sent to it may still matter. */
    boolean removeHost(Host host, long now);

    /** A probe came back. */
    void onHealthCheckEnded(Host host, Outcome outcome, HostReport report, long now);

    /** The client of this request has left: the decision names what to call off. */
    RoutingDecision onClientDisconnected(Request request, long now);

    /**
     * This request may no longer go where it was let in (its tenant has moved, or the leave has run out): the decision
     * ends it, or waits for what is out. Nothing more is sent for it.
     */
    RoutingDecision onAdmissionLost(Request request, long now);
}
