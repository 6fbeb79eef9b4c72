package beaconladder.feed;

import java.io.IOException;

/** The state on the local disk can't be read or fails its checks. The message contains the folder. */
public final class CorruptStateException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states the cause. */
    CorruptStateException(String message) {
        super(message);
    }

    /** Creates an exception that was caused by another one. */
    CorruptStateException(String message, Throwable cause) {
        super(message, cause);
    }
}
