package beaconladder.routing.state;

import java.util.LinkedHashSet;
import java.util.Set;

/** A session with writes through this router. */
public final class Session {
    /** The newest position that an ended write of the session may have committed at; Long.MIN_VALUE for none. */
    public long commitPosition = Long.MIN_VALUE;
    /** Writes of the session that may have attempts in flight. */
    public final Set<Request> openWrites = new LinkedHashSet<>();

    /** The group of its last write. */
    public Group group;

    /** Adds a write that is being sent, and returns this session. */
    public Session addWrite(Request write) {
        openWrites.add(write);
        return this;
    }
}
