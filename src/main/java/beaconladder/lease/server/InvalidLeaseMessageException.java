package beaconladder.lease.server;

/** Indicates a request, a response or a stored state that can't be parsed or is incomplete. */
public final class InvalidLeaseMessageException extends LeaseRequestException {
    private static final long serialVersionUID = 1L;

    InvalidLeaseMessageException(String message) {
        super(message, null);
    }

    InvalidLeaseMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
