package beaconladder.feed;

import java.io.IOException;

/** No leader with a quorum responded. A proposal may have been committed; it can be retried unchanged. */
public final class LogUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states the cause. */
    public LogUnavailableException(String message) {
        super(message);
    }

    /** Creates an exception that was caused by another one. */
    public LogUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
