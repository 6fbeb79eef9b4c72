package beaconladder.cells;

/**
 * Upper bounds on the resources that one router uses at once, over all cells.
 *
 * @param requests the number of requests in flight or queued
 * @param connections the number of client connections
 * @param bytes the total length of the statements of those requests
 */
public record RouterCapacity(long requests, long connections, long bytes) {
    /** The fraction of threads for requests; a quarter is reserved for hedges, probes and rejected clients. */
    private static final double REQUEST_THREAD_FRACTION = 0.75;

    /**
     * Returns the capacity of a router with these limits.
     *
     * @param threads the number of threads that the router may start
     * @param connections the number of connections that clients may hold
     * @param bytes the memory for messages
     */
    public static RouterCapacity ofThreads(int threads, int connections, long bytes) {
        return new RouterCapacity(Math.max(1, (long) (REQUEST_THREAD_FRACTION * threads)), connections, bytes);
    }
}
