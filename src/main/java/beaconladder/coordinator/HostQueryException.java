package beaconladder.coordinator;

import beaconladder.pg.MessageReader.ReadStatus;
import java.io.IOException;

/** Thrown if a host does not respond to a query as expected. The connection must not be used again. */
final class HostQueryException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Why a query failed. */
    enum Reason {
        /** No complete response: the host was too slow, closed the connection, or sent a message too large. */
        NO_RESPONSE,
        /** A message that this client can't parse. */
        MALFORMED_RESPONSE,
        /** The host reported an error. */
        HOST_ERROR
    }

    private final Reason reason;

    private HostQueryException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    static HostQueryException noResponse(ReadStatus status) {
        return new HostQueryException(Reason.NO_RESPONSE, "no complete response: " + status);
    }

    static HostQueryException malformed(String what) {
        return new HostQueryException(Reason.MALFORMED_RESPONSE, what);
    }

    static HostQueryException hostError(String codeAndMessage) {
        return new HostQueryException(Reason.HOST_ERROR, codeAndMessage);
    }

    /** Returns why the query failed. */
    Reason reason() {
        return reason;
    }
}
