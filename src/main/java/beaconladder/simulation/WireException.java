package beaconladder.simulation;

/** Malformed input; the message names the byte position and the cause. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Malformed input.
     *
     * @param position in bytes from the start of the input
     */
    public WireException(long position, String cause) {
        super("bad input at byte " + position + ": " + cause);
    }
}
