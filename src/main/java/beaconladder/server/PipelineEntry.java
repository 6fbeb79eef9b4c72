package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.RowAccess;
import beaconladder.pg.Statement;
import java.nio.ByteBuffer;

/**
 * An entry of a client's pipeline: a query (null where it was not valid UTF-8), messages that the router sends in the
 * order of the answers, or a number of rejections in a row. The package-private fields are guarded by the
 * {@link PipelineQueue}'s monitor.
 */
final class PipelineEntry {
    /** The objects of an entry; the characters of its query come on top. */
    private static final int OVERHEAD_BYTES = 160;
    /** A text takes one byte a character in the queue, and as much again when it is sent. */
    private static final int BYTES_PER_CHARACTER = 2;

    /** Statements without a large value or key are shorter. */
    private static final int MAX_SHORT_QUERY_LENGTH = 4_096;

    private final String query;
    long startNanos;
    /** Its place in the order of arrival, once it is among the entries that may run. */
    long sequenceNumber;
    /** The number of unanswered entries before it that must run first. */
    int conflictsBefore;

    MessageWriter answer;
    boolean closesConnection;
    /** For rejections of queries that were not queued: how many are still to be written. */
    int rejections;

    private boolean answersRejection;
    /** The memory that is reserved for the query, and for the answer. */
    int queryBytes;

    int answerBytes;
    /** The rest of the answer, from the start of its writing on. */
    private ByteBuffer unwritten;

    private Statement statement;
    private RowAccess rowAccess;
    private boolean rowAccessRead;
    private InFlightRequest inFlight;
    private boolean cancelled;

    /** An entry for a query whose last byte arrived at this time of the dispatcher's clock. */
    PipelineEntry(String query, long arrivedNanos) {
        this.query = query;
        this.startNanos = arrivedNanos;
    }

    /**
     * An entry for messages to the client, after which the connection closes where {@code closesConnection} is true.
     */
    PipelineEntry(MessageWriter messages, boolean closesConnection) {
        this(null, 0);
        this.answer = messages;
        this.closesConnection = closesConnection;
    }

    /** An entry for one query that is rejected without being queued; more can be added to it. */
    static PipelineEntry rejection() {
        PipelineEntry entry = new PipelineEntry(null, 0);
        entry.rejections = 1;
        return entry;
    }

    /** An entry for the answer to one of the queries that were rejected without being queued. */
    static PipelineEntry rejected(MessageWriter answer) {
        PipelineEntry entry = new PipelineEntry(answer, false);
        entry.answersRejection = true;
        return entry;
    }

    String query() {
        return query;
    }

    /** Whether a client waits for its answer, other than for messages that the router sends by itself. */
    boolean isQuery() {
        return query != null || answersRejection;
    }

    /** Whether it is a query that the router has not answered itself, and for which no host's answer has come. */
    boolean isUnansweredQuery() {
        return query != null && answer == null;
    }

    /** When its time budget began to run: at its last byte, or at the answer to the conflicting query before it. */
    long startNanos() {
        return startNanos;
    }

    MessageWriter answer() {
        return answer;
    }

    /** Returns whether the connection closes once the answer is written. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** The rest of the answer that is to be written. Used by the thread that writes. */
    ByteBuffer unwritten() {
        if (unwritten == null) {
            unwritten = answer.asByteBuffer();
        }
        return unwritten;
    }

    /** Whether the writing of the answer has begun. */
    boolean isWriteBegun() {
        return unwritten != null;
    }

    /** The parsed query; the first call parses it. */
    synchronized Statement statement() {
        if (statement == null) {
            statement = Statement.parse(query);
        }
        return statement;
    }

    /** The request of this query, from its submission to its end for the client, or null. */
    synchronized InFlightRequest inFlight() {
        return inFlight;
    }

    synchronized void setInFlight(InFlightRequest request) {
        inFlight = request;
    }

    /** Returns the request and forgets it, so that its id is released once. */
    synchronized InFlightRequest takeInFlight() {
        InFlightRequest taken = inFlight;
        inFlight = null;
        return taken;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    synchronized void cancel() {
        cancelled = true;
    }

    /** The memory that the entry needs while it is queued. */
    int queuedBytes() {
        return OVERHEAD_BYTES
                + (query == null ? 0 : BYTES_PER_CHARACTER * query.length())
                + (answer == null ? 0 : answer.size());
    }

    /** Whether the query is so long that it is parsed by a task, as parsing it would keep the reader for too long. */
    boolean isLong() {
        return query != null && query.length() > MAX_SHORT_QUERY_LENGTH;
    }

    /** Returns whether both access the same row and one of them writes, so that they must run in their order. */
    boolean conflictsWith(PipelineEntry other) {
        RowAccess access = rowAccess();
        RowAccess otherAccess = other.rowAccess();
        return access != null && otherAccess != null && access.conflictsWith(otherAccess);
    }

    private synchronized RowAccess rowAccess() {
        if (!rowAccessRead) {
            rowAccessRead = true;
            rowAccess = query == null ? null : RowAccess.of(query);
        }
        return rowAccess;
    }
}
