package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;

/**
 * The decisions of one router, called like a client library: the caller asks what to do ({@link #route},
 * {@link #onAttemptEnded}, {@link #nextWakeup}) and reports events.
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

        /** Whether the host itself responded. */
        public boolean isFromHost() {
            return this == COMMITTED || this == ERROR || this == FULL || this == MISS;
        }
    }

    /**
     * What a host stated about itself, in an answer or a load report.
     *
     * @param role its role, or {@link Role#UNKNOWN}
     * @param position the log position it has applied, in nanoseconds on the routers' clock, or {@link #NO_POSITION}
     * @param inFlight how many requests of all routers are in flight at it; less than 0 when it did not say
     */
    record HostReport(Role role, long position, double inFlight) {
        public static final long NO_POSITION = Long.MIN_VALUE;
        public static final HostReport EMPTY = new HostReport(Role.UNKNOWN, NO_POSITION, -1);
    }

    /** The request class with this index in the settings. */
    RequestClass requestClass(int index);

    /** Decides where to send this request now, or that it waits or ends. */
    RoutingDecision route(Request request, long now);

    /** Whether this attempt may still be sent; called right before its bytes, since connecting takes time. */
    DispatchCheck checkDispatch(Attempt attempt, long now);

    /** The timeout to state to a host, in nanoseconds, when an attempt has this much time left. */
    long advertisedTimeoutNanos(long remainingNanos);

    /** How long a connection may have been idle and still be reused, in nanoseconds. */
    long maxIdleNanos();

    /**
     * Updates the state of the host and decides what the request does after this outcome.
     *
     * @param settled whether this outcome is the request's final answer
     * @param answer what the answer itself says (exact when it was given)
     * @param report the load report sent along, which may be some hundred milliseconds old
     */
    RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now);

    /** When to call again, which hosts to probe or disconnect, and which requests to {@link #route} again now. */
    NextWakeup nextWakeup(long now);

    /** Takes over the listed state of a host; one that is no longer listed has the state {@link Host.State#GONE}. */
    void updateHost(Host host, boolean listedAsPrimary, Host.State state, long launchedNanos, long now);

    /** Removes a host that is gone; returns false while an attempt or a probe sent to it may still matter. */
    boolean removeHost(Host host, long now);

    /** Records how a probe ended. */
    void onHealthCheckEnded(Host host, Outcome outcome, HostReport report, long now);

    /** The client of this request has disconnected; the decision names the attempts to cancel. */
    RoutingDecision onClientDisconnected(Request request, long now);

    /**
     * This request is no longer admitted to its cell, since its tenant has migrated or the admission has expired. The
     * decision ends it, or waits for the attempts in flight; nothing more is sent for it.
     */
    RoutingDecision onAdmissionLost(Request request, long now);
}
