package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;

/**
 * Makes the routing decisions of one router. The caller reports events and executes the decisions that the methods
 * return ({@link #route}, {@link #onAttemptEnded}, {@link #nextWakeup}).
 *
 * <p>Every call carries the time in nanoseconds on the router's own clock, which never runs backwards. An instance
 * belongs to one router and is not thread-safe.
 */
public interface Router {

    /** A host's role as stated by an answer or a load report. */
    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        COMMITTED,
        /** The host answered with an error. */
        ERROR,
        /** The host rejected the request as its queue is full. */
        FULL,
        TIMED_OUT,
        /** The connect failed, or the request was not written in full. */
        UNREACHABLE,
        /** The connection broke, or the response was cut off, after the request was written. */
        RESET,
        /** The router cancelled the attempt after the send. */
        CANCELLED,
        /** The attempt or probe was withheld or cancelled before anything was sent. */
        MOOT,
        /** The host rejected the request as it does not have the required role or position. */
        MISS,
        /** The router's own machine could not open a connection; this says nothing about the host. */
        LOCAL_FAULT;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean provesNotRun() {
            return this == FULL || this == UNREACHABLE || this == MOOT || this == MISS || this == LOCAL_FAULT;
        }

        /** Whether the outcome is an answer of the host. */
        public boolean isFromHost() {
            return this == COMMITTED || this == ERROR || this == FULL || this == MISS;
        }
    }

    /**
     * What a host stated about itself, in an answer or in a load report.
     *
     * @param role its role, or {@link Role#UNKNOWN}
     * @param position the log position it has applied, in nanoseconds on the hosts' clock, or {@link #NO_POSITION}
     * @param inFlight how many requests of all routers are in flight at it; less than 0 if not stated
     */
    record HostReport(Role role, long position, double inFlight) {
        public static final long NO_POSITION = Long.MIN_VALUE;
        public static final HostReport EMPTY = new HostReport(Role.UNKNOWN, NO_POSITION, -1);
    }

    /** Returns the request class with this index in the settings. */
    RequestClass requestClass(int index);

    /** Decides to which host this request is sent now, or that it waits or ends. */
    RoutingDecision route(Request request, long now);

    /**
     * Whether this attempt may still be sent; called right before its bytes are written, since connecting takes time.
     */
    DispatchCheck checkDispatch(Attempt attempt, long now);

    /** Returns the timeout to state to a host, in nanoseconds, when an attempt has this much time left. */
    long advertisedTimeoutNanos(long remainingNanos);

    /**
     * Returns until when the id of a request that has ended for its client is not accepted for another request, or the
     * current time if it is accepted at once.
     */
    long idReservedUntilNanos(Request request, long now);

    /** Returns how long a connection may have been idle and still be reused, in nanoseconds. */
    long maxIdleNanos();

    /**
     * Updates the state of the host and decides what the request does after this outcome.
     *
     * @param settled whether this outcome is the request's final answer
     * @param answer what the answer itself states, exact at the time of the answer
     * @param report the load report sent with the answer, which may be some hundred milliseconds old
     */
    RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now);

    /** Returns when to call again, which hosts to probe or disconnect, and which requests to {@link #route} now. */
    NextWakeup nextWakeup(long now);

    /** Applies the listed state of a host; one that is no longer listed has the state {@link Host.State#GONE}. */
    void updateHost(Host host, boolean listedAsPrimary, Host.State state, long launchedNanos, long now);

    /** Removes a host that is gone; returns false while an attempt or a probe sent to it may still matter. */
    boolean removeHost(Host host, long now);

    /** Records how a probe ended. */
    void onHealthCheckEnded(Host host, Outcome outcome, HostReport report, long now);

    /** Records that the client of this request has disconnected; the decision contains the attempts to cancel. */
    RoutingDecision onClientDisconnected(Request request, long now);

    /**
     * Records that this request is no longer admitted to its cell, since its tenant has migrated or the admission has
     * expired. The decision ends the request or waits for its attempts in flight; no further attempt is sent.
     */
    RoutingDecision onAdmissionLost(Request request, long now);
}
