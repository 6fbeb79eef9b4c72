package beaconladder.server;

import beaconladder.routing.ClientShares;

/**
 * The memory that one client's queries and unread answers hold of what all clients share. Guarded by the client's
 * {@link PipelineQueue}.
 */
final class ClientMemory {
    /** Answers up to this size are not counted. */
    private static final int SMALL_ANSWER_BYTES = 2_048;

    private final MemoryPool queryMemory;
    private final MemoryPool answerMemory;
    private long queryBytes;
    private long answerBytes;

    ClientMemory(MemoryPool queryMemory, MemoryPool answerMemory) {
        this.queryMemory = queryMemory;
        this.answerMemory = answerMemory;
    }

    /** Reserves memory for an entry's query; returns false, with nothing reserved, if the client may hold no more. */
    boolean reserveQuery(PipelineEntry entry, int bytes) {
        if (!queryMemory.tryReserve(queryBytes, bytes)) {
            return false;
        }
        entry.queryBytes += bytes;
        queryBytes += bytes;
        return true;
    }

    /**
     * Reserves memory for an entry's answer, or replaces the answer by an error.
     *
     * @param waits whether the answer can't be written at once
     */
    void keepAnswer(PipelineEntry entry, boolean waits) {
        if (entry.answer.size() <= SMALL_ANSWER_BYTES) {
            return;
        }
        int size = entry.answer.size();
        if (!answerMemory.tryReserve(answerBytes, size)) {
            entry.answer = ErrorResponse.error(
                    ErrorResponse.STATEMENT_COMPLETION_UNKNOWN,
                    "it has run, and there is no memory for its answer, as earlier answers are not read");
            return;
        }
        entry.answerBytes = size;
        answerBytes += size;
        if (waits) {
            entry.answer.trimToSize();
        }
    }

    /** Whether the answer to one more request could be kept. */
    boolean mayStartRequest() {
        return ClientShares.mayStartRequest(answerBytes, answerMemory.freeBytes(), answerMemory.poolBytes());
    }

    /** Releases what is reserved for an entry. */
    void release(PipelineEntry entry) {
        queryMemory.release(entry.queryBytes);
        queryBytes -= entry.queryBytes;
        answerMemory.release(entry.answerBytes);
        answerBytes -= entry.answerBytes;
    }
}
