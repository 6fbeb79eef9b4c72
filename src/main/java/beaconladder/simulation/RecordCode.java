package beaconladder.simulation;

/** The codes of the records on the simulator's wire; those to the simulator and from it are numbered separately. */
final class RecordCode {
    /** Records from the simulator. */
    static final int START = 1000;

    static final int ENDPOINT_VIEW = 1010;
    static final int REQUEST = 1020;
    static final int ATTEMPT_SENT = 1030;
    static final int ATTEMPT_ENDED = 1040;
    static final int CLIENT_DISCONNECTED = 1050;
    static final int TIMER = 1060;
    static final int HEALTH_CHECK_ENDED = 1070;
    static final int MESSAGE = 1080;
    static final int SHUTDOWN = 1090;
    static final int ENDPOINT_LIST = 1100;
    /** Names the instance that the following records are for. */
    static final int INSTANCE = 1110;

    /** Records to the simulator. */
    static final int SEND_ATTEMPT = 1000;

    static final int REJECT = 1010;
    static final int ROLL_BACK = 1020;
    static final int CANCEL_ATTEMPT = 1030;
    static final int SET_TIMER = 1040;
    static final int HEALTH_CHECK = 1050;
    static final int CLOSE_IDLE_CONNECTIONS = 1060;
    static final int FAIL = 1090;
    static final int POLL_ENDPOINTS = 1100;
    /** Names the instance that the following actions are of. */
    static final int ACTIONS_OF_INSTANCE = 1120;

    private RecordCode() {}
}
