package beaconladder.feed;

import java.io.IOException;

/** The state on the own disk can't be read, or fails its checks. The message names the folder. */
public final class CorruptStateException extends IOException {
    private static final long serialVersionUID = 1L;

    /** One whose message names the cause. */
    CorruptStateException(String message) {
        super(message);
    }

    /** One that another exception led to. */
    CorruptStateException(String message, Throwable cause) {
        super(message, cause);
    }
}
