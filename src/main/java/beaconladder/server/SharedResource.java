package beaconladder.server;

/** The resources that all clients share; the names are the kinds of the counters. */
enum SharedResource {
    /** The memory of the queries that wait. */
    QUERY_MEMORY,
    /** The memory of the large answers that are not written. */
    ANSWER_MEMORY,
    /** The threads that complete requests. */
    THREADS
}
