package beaconladder.simulation;

/** Input that is not as the wire prescribes; the message names the byte position and the cause. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    public WireException(long position, String cause) {
        super("bad input at byte " + position + ": " + cause);
    }
}
