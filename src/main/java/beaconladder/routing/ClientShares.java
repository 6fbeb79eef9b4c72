package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

/**
 * Decides how much one client may use of what all clients share: threads, memory and the time of the thread that reads.
 *
 * <p>The limits follow what is free: a client may hold at most a fixed fraction of it (the dynamic thresholds of
 * shared-memory switches). So a few clients never exhaust a resource, the largest holder is refused first, and a client
 * that holds nothing gets something as long as anything is left.
 */
public final class ClientShares {
    /** The most requests of one client that are in flight at once. */
    public static final int MAX_CONCURRENT_REQUESTS = 16;

    /** The part of the free memory that one client may hold, as a divisor. */
    private static final int FREE_MEMORY_DIVISOR = 4;
    /** The part of the memory, as a divisor, that only clients get that hold none of it. */
    private static final int RESERVE_DIVISOR = 4;
    /** The part of a share, as a divisor, beyond which nothing is started whose answer would have to be kept, too. */
    private static final int START_DIVISOR = 4;
    /** The part of the free threads that one client may use, as a divisor. */
    private static final int FREE_THREADS_DIVISOR = 8;
    /** The most memory of one client's queries that wait: one of the maximum length, or some thousand short ones. */
    private static final long MAX_QUEUED_BYTES = 768 * 1024;
    /** A client with this many bytes of answers that it has not read gets no further request started. */
    private static final long MAX_UNREAD_ANSWER_BYTES = 256 * 1024;
    /** The time within which the reader gives each client that has sent something a turn. */
    private static final long READER_PASS_NANOS = 3 * MILLISECOND;

    private static final long MIN_TURN_NANOS = MILLISECOND / 20;

    private ClientShares() {}

    /** Whether one more query is queued for a client, or is rejected. */
    public static boolean mayQueue(long heldBytes, long bytes, long freeBytes, long poolBytes) {
        return mayHold(heldBytes, bytes, freeBytes, poolBytes)
                && (heldBytes == 0 || heldBytes + bytes <= MAX_QUEUED_BYTES);
    }

    /** Whether a complete answer is kept for a client until it reads it, or is replaced by an error. */
    public static boolean mayKeepAnswer(long heldBytes, long bytes, long freeBytes, long poolBytes) {
        return mayHold(heldBytes, bytes, freeBytes, poolBytes);
    }

    private static boolean mayHold(long heldBytes, long bytes, long freeBytes, long poolBytes) {
        return heldBytes == 0 ? bytes <= freeBytes : heldBytes + bytes <= shareOf(freeBytes, poolBytes);
    }

    private static long shareOf(long freeBytes, long poolBytes) {
        return (freeBytes - poolBytes / RESERVE_DIVISOR) / FREE_MEMORY_DIVISOR;
    }

    /** Whether a further request of a client with these unread answers is started; its first one always is. */
    public static boolean mayStartRequest(long unreadAnswerBytes, long freeBytes, long poolBytes) {
        return unreadAnswerBytes == 0
                || unreadAnswerBytes
                        <= Math.min(MAX_UNREAD_ANSWER_BYTES, shareOf(freeBytes, poolBytes) / START_DIVISOR);
    }

    /** Whether a client that uses this many threads gets one more. */
    public static boolean mayUseThread(int usedThreads, int freeThreads) {
        return usedThreads == 0 ? freeThreads > 0 : usedThreads < freeThreads / FREE_THREADS_DIVISOR;
    }

    /** How long the reader handles what one client sent before it turns to the next of this many clients. */
    public static long turnNanos(int clients) {
        return Math.max(MIN_TURN_NANOS, READER_PASS_NANOS / Math.max(1, clients));
    }
}
