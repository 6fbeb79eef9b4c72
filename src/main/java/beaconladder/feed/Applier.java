package beaconladder.feed;

import java.io.IOException;

/** Applies states to a router. */
public interface Applier {
    /**
     * Checks whether a state can be applied; has no effect.
     *
     * @throws IOException with the reason if the state must be rejected
     */
    void validate(VersionedState next) throws IOException;

    /**
     * Applies a state that was validated and is already stored.
     *
     * @throws IOException with the reason if the state must be rejected after all; the previous state then remains
     *     applied
     */
    void apply(VersionedState next) throws IOException;
}
