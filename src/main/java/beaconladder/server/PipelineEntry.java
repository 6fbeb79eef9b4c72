package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;

/**
 * An entry of a client's pipeline: a query (null where it was not valid UTF-8), or messages that the router sends in
 * the order of the answers. The package-private fields are guarded by the {@link PipelineQueue}'s monitor.
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
        this.started = true;
        this.closesConnection = closesConnection;
    }

    String query() {
        return query;
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

    /** The parsed query; the first call parses it. */
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

    /** Returns whether both access the same row and one of them writes, so that they must run in their order. */
    boolean conflictsWith(PipelineEntry other) {
        return query != null
                && other.query != null
                && (statement().isWrite() || other.statement().isWrite())
                && statement().sessionId() == other.statement().sessionId();
    }
}
