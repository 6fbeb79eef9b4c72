package beaconladder.cells;

/**
 * The most that one router holds at once, over all cells.
 *
 * @param requests in flight or queued
 * @param connections of clients
 * @param bytes of the statements of those requests
 */
public record RouterCapacity(long requests, long connections, long bytes) {
    /** A quarter of the threads is reserved for hedges, probes, and clients that are only rejected. */
    private static final double REQUEST_THREADS = 0.75;

    /**
     * The capacity of a router with these limits.
     *
     * @param threads that the router may start
     * @param connections that clients may hold
     * @param bytes of memory for messages
     */
    public static RouterCapacity ofThreads(int threads, int connections, long bytes) {
        return new RouterCapacity(Math.max(1, (long) (REQUEST_THREADS * threads)), connections, bytes);
    }
}
