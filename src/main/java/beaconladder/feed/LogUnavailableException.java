package beaconladder.feed;

import java.io.IOException;

/** No leader with a quorum answered. A proposal may or may not be committed; the same one can be retried. */
public final class LogUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    /** One whose message names the cause. */
    public LogUnavailableException(String message) {
        super(message);
    }

    /** One that another exception led to. */
    public LogUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
