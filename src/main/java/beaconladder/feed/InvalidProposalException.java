package beaconladder.feed;

import java.io.IOException;

/** A proposal is malformed or too large; retrying it unchanged can't succeed. */
public final class InvalidProposalException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidProposalException(String message) {
        super(message);
    }
}
