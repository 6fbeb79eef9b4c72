package beaconladder.lease.server;

import java.io.IOException;

/** Indicates that a request to the lease servers failed; the subclass states how. */
public abstract class LeaseRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    LeaseRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
