package beaconladder.discovery;

/** When discovery is asked next, and how long each call may take: of a pushed list, or of one asked for. */
interface DiscoverySchedule {
    /** The protocol's figure: what could be reached counts as told so long after discovery had it. */
    int TOLD_MILLIS = 6_000;
    /** With tries of over half the time in which news count, those behind a snapshot come too late. */
    int LONGEST_MILLIS = 2_500;

    /**
     * A call.
     *
     * @param waits how long discovery may wait for news, in milliseconds; 0 asks for an answer at once
     * @param all after how many milliseconds it is given up, quiet or silent; tail counts from the first byte of its
     *     answer
     */
    record Call(int waits, int all, int tail) {}

    /** Another address: nothing is known of it. */
    void moved();

    /** The next call, of a watch that goes on or has to begin anew. */
    Call call(boolean goesOn);

    /** A call was answered after so many nanoseconds, with news or not; milliseconds to rest then. */
    int answered(Call call, long took, boolean news);

    /** A call brought nothing in its time; milliseconds to rest before the next. */
    int silent(Call call);

    /** A call was cut off or answered with nonsense, or nobody was there; milliseconds to rest. */
    int failed();

    /** Discovery was there and turned the call away; milliseconds to rest before the next. */
    int refused(Call call);
}
