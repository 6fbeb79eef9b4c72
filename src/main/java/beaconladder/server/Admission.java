package beaconladder.server;

import beaconladder.cells.AdmissionDecision;
import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import java.util.function.BooleanSupplier;

/** Where there are cells: admits a client's requests, and counts its connection towards its tenant's quota. */
final class Admission {
    /**
     * Whether a request is admitted.
     *
     * @param permit null where it is not
     * @param answer the answer to the client where it is not admitted
     * @param closesConnection whether its connection closes after that answer
     */
    record Result(AdmissionPermit permit, MessageWriter answer, boolean closesConnection) {
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
    /** The permit by which the connection counts towards a tenant's quota, or null; guarded by this. */
    private AdmissionPermit connectionPermit;

    Admission(RequestDispatcher dispatcher, ClientChannel channel, PipelineQueue queue) {
        this.dispatcher = dispatcher;
        this.channel = channel;
        this.queue = queue;
    }

    /** Asks the cell to admit a request, and waits for its decision until the request is abandoned. */
    Result admit(ParsedQuery query, int size, long arrivedNanos, long expiryNanos, BooleanSupplier isAbandoned)
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
                        size,
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
                return new Result(
                        null,
                        ErrorResponse.fatal(
                                ErrorResponse.TOO_MANY_CONNECTIONS,
                                "too many connections of this tenant; it has not run"),
                        true);
            }
        }
    }

    /** The first request shows the connection's tenant; false when the tenant has no quota for one more connection. */
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

    /** The connection has closed: it no longer counts towards its tenant's quota. */
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
