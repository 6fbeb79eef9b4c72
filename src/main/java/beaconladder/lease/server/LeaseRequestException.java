package beaconladder.lease.server;

import java.io.IOException;

/** A request to the lease servers has failed; the subclass says how. */
public abstract class LeaseRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    LeaseRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
