package beaconladder.lease.server;

/**
 * No lease server has responded in time, or none of them can reach a leader. Whether a request was applied is not
 * known; the next one goes to another server.
 */
public final class LeaseServersUnavailableException extends LeaseRequestException {
    private static final long serialVersionUID = 1L;

    LeaseServersUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
