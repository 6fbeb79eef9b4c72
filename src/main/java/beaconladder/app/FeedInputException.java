package beaconladder.app;

/** The operator's input is invalid; the message, of one line, names what and where. */
final class FeedInputException extends Exception {
    private static final long serialVersionUID = 1L;

    FeedInputException(String message) {
        super(message);
    }
}
