package beaconladder.lease.server;

/**
 * Indicates that no lease server responded in time, or that none can reach a leader. The request may or may not have
 * been applied; the next one is sent to another server.
 */
public final class LeaseServersUnavailableException extends LeaseRequestException {
    private static final long serialVersionUID = 1L;

    LeaseServersUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
