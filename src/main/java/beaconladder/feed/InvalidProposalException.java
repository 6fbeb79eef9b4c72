package beaconladder.feed;

import java.io.IOException;

/** A proposal violates a rule on its form or size; retrying it unchanged cannot succeed. */
public final class InvalidProposalException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidProposalException(String message) {
        super(message);
    }
}
