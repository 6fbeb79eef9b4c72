package beaconladder.feed;

import java.io.IOException;

/** Puts states in force in a router. */
public interface Applier {
    /**
     * Checks whether a state could be in force here; has no effect.
     *
     * @throws IOException the reason to reject it
     */
    void validate(VersionedState next) throws IOException;

    /**
     * Puts a state in force that was validated and is stored already.
     *
     * @throws IOException the reason to reject it after all; the state before is in force then
     */
    void apply(VersionedState next) throws IOException;
}
