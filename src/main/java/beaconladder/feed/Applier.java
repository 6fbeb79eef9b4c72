package beaconladder.feed;

import java.io.IOException;

/** What a router does with a state. */
public interface Applier {
    /**
     * Looks whether this could be in force here; changes nothing.
     *
     * @throws IOException what is wrong with it; then it is refused
     */
    void validate(VersionedState next) throws IOException;

    /**
     * Puts it in force. It was checked, and is on the disk already.
     *
     * @throws IOException what is wrong with it after all; then all is as before, and it is refused
     */
    void apply(VersionedState next) throws IOException;
}
