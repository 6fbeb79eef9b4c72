package beaconladder.routing.state;

import java.util.LinkedHashSet;
import java.util.Set;

/** A session whose writes went through this router. */
public final class Session {
    /** The newest position that one of its writes may have committed at, of those that are over. */
    public long commitPosition = Long.MIN_VALUE;
    /** Its writes that may be out. */
    public final Set<Request> openWrites = new LinkedHashSet<>();

    public Group group;

    /** This session, with one more write that goes out. */
    public Session addWrite(Request write) {
        openWrites.add(write);
        return this;
    }
}
