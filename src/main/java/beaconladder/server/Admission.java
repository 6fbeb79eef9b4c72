package beaconladder.server;

import beaconladder.cells.AdmissionDecision;
import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import java.util.function.BooleanSupplier;

/** Admits a client's requests to cells, and counts the client's connection towards its tenant's quota. */
final class Admission {
    /**
     * The result of admission.
     *
     * @param permit the permit of an admitted request, or null where the request is not admitted
     * @param answer the answer to the client, or null where the request is admitted
     * @param refusesConnection whether the connection exceeds its tenant's quota, so that none of its queries is
     *     admitted
     */
    record Result(AdmissionPermit permit, MessageWriter answer, boolean refusesConnection) {
        static Result admitted(AdmissionPermit permit) {
            return new Result(permit, null, false);
        }

        static Result rejected(MessageWriter answer) {
            return new Result(null, answer, false);
        }
    }

    private final RequestDispatcher dispatcher;
    private final ClientChannel channel;
    private final PipelineQueue queue;
    /**
     * The permit by which the connection counts towards its tenant's quota, or null; guarded by this object's monitor.
     */
    private AdmissionPermit connectionPermit;

    Admission(RequestDispatcher dispatcher, ClientChannel channel, PipelineQueue queue) {
        this.dispatcher = dispatcher;
        this.channel = channel;
        this.queue = queue;
    }

    /** Admits or rejects a request; waits while it is queued, unless it is abandoned. */
    Result admit(ParsedQuery query, int bytes, long arrivedNanos, long expiryNanos, BooleanSupplier isAbandoned)
            throws InterruptedException {
        String tenant = query.statement().parameter("t");
        AdmissionDecision decision = dispatcher
                .cells()
                .admit(
                        tenant == null ? "" : tenant,
                        query.statement().sessionId(),
                        query.groupNumber(),
                        query.writes(dispatcher),
                        query.classIndex(),
                        bytes,
                        channel.remoteAddress(),
                        arrivedNanos,
                        expiryNanos,
                        isAbandoned);
        if (decision == null) {
            return Result.rejected(new MessageWriter());
        }
        switch (decision.kind()) {
            case REJECT -> {
                return Result.rejected(ErrorResponse.rejected(decision.reason(), decision.retryAfterNanos()));
            }
            case INVALID -> {
                return Result.rejected(ErrorResponse.error(ErrorResponse.INVALID_PARAMETER_VALUE, decision.reason()));
            }
            default -> {
                if (admitConnection(decision.permit())) {
                    return Result.admitted(decision.permit());
                }
                dispatcher.cells().releasePermit(decision.permit());
                return new Result(null, connectionRefused(), true);
            }
        }
    }

    /** The answer to each query of a connection that exceeds its tenant's quota. */
    static MessageWriter connectionRefused() {
        return ErrorResponse.error(
                ErrorResponse.TOO_MANY_CONNECTIONS, "too many connections of this tenant; it has not run");
    }

    /**
     * Counts the connection towards the quota of the tenant that its first request names; returns false where the quota
     * does not allow one more connection.
     */
    private boolean admitConnection(AdmissionPermit permit) {
        if (connectionPermit() != null || queue.isClosed()) {
            return true;
        }
        if (!dispatcher.cells().admitConnection(permit)) {
            return false;
        }
        synchronized (this) {
            if (!queue.isClosed()) {
                connectionPermit = permit;
                return true;
            }
        }
        dispatcher.cells().releaseConnection(permit);
        return true;
    }

    /** The permit by which the connection counts towards its tenant's quota, or null. */
    synchronized AdmissionPermit connectionPermit() {
        return connectionPermit;
    }

    /** Removes a closed connection from its tenant's quota. */
    void releaseConnection() {
        AdmissionPermit released;
        synchronized (this) {
            released = connectionPermit;
            connectionPermit = null;
        }
        if (released != null) {
            dispatcher.cells().releaseConnection(released);
        }
    }
}
