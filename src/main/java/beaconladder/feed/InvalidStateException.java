package beaconladder.feed;

import java.io.IOException;

/**
 * A state or an update violates an invariant: a size limit, the order of versions, or the digest. Nothing of it is
 * applied.
 */
public final class InvalidStateException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidStateException(String message) {
        super(message);
    }
}
