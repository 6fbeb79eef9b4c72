package beaconladder.feed;

import java.io.IOException;

/** A request or a response is malformed: not the expected JSON, or a query parameter is missing or out of range. */
public final class InvalidMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states the cause. */
    InvalidMessageException(String message) {
        super(message);
    }

    /** Creates an exception that was caused by another one. */
    InvalidMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
