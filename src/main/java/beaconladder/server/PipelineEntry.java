package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;

/**
 * One place in a client's pipeline: a query (null where it was not valid UTF-8), or ready messages that take the place
 * of an answer. The package-private fields are guarded by the {@link PipelineQueue}'s lock.
 */
final class PipelineEntry {
    private final String query;
    long startNanos;
    boolean started;
    MessageWriter answer;
    boolean closesConnection;
    private Statement statement;
    private InFlightRequest inFlight;
    private boolean cancelled;

    /** A query whose last byte arrived at this moment of the dispatcher's clock. */
    PipelineEntry(String query, long arrivedNanos) {
        this.query = query;
        this.startNanos = arrivedNanos;
    }

    /** Messages for the client; the connection closes after them if that is asked for. */
    PipelineEntry(MessageWriter messages, boolean closesConnection) {
        this(null, 0);
        this.answer = messages;
        this.started = true;
        this.closesConnection = closesConnection;
    }

    String query() {
        return query;
    }

    /** When its time budget began to run: with its last byte, or with the answer that it had to wait for. */
    long startNanos() {
        return startNanos;
    }

    MessageWriter answer() {
        return answer;
    }

    /** Whether the connection closes once the answer is written. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** The parsed query; parsed once, by the first thread that needs it. */
    synchronized Statement statement() {
        if (statement == null) {
            statement = Statement.parse(query);
        }
        return statement;
    }

    /** The request in flight for this query, or null. */
    synchronized InFlightRequest inFlight() {
        return inFlight;
    }

    synchronized void setInFlight(InFlightRequest request) {
        inFlight = request;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    synchronized void cancel() {
        cancelled = true;
    }

    int queryLength() {
        return query == null ? 0 : query.length();
    }

    /** Whether both name one row and one of them writes: the later one has to see the effect of the earlier one. */
    boolean conflictsWith(PipelineEntry other) {
        return query != null
                && other.query != null
                && (statement().isWrite() || other.statement().isWrite())
                && statement().sessionId() == other.statement().sessionId();
    }
}
