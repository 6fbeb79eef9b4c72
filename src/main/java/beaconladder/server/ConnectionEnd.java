package beaconladder.server;

import beaconladder.pg.MessageReader;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends one client's connection. Each query that was read has its answer before an orderly end; a client some of whose
 * bytes were not handled is informed by a reset, after it has received the answers. Methods must be called by the
 * reader's thread unless stated otherwise.
 */
final class ConnectionEnd {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionEnd.class);

    private final ClientConnection client;
    private final ClientServer clientServer;
    private final RequestDispatcher dispatcher;
    private final MessageReader in;
    private final PipelineQueue queue;
    private final RequestTask task;
    private final ClientChannel channel;
    private final ClientActivity activity;
    private final LingeringClose lingeringClose = new LingeringClose();
    /** Why the connection closes once its last answer has been written. */
    private volatile CloseCause cause = CloseCause.TOLD_TO_GO;
    /** The queries that have no answer as the connection failed. */
    private volatile int droppedQueries;

    ConnectionEnd(
            ClientConnection client,
            ClientServer clientServer,
            RequestDispatcher dispatcher,
            MessageReader in,
            PipelineQueue queue,
            RequestTask task) {
        this.client = client;
        this.clientServer = clientServer;
        this.dispatcher = dispatcher;
        this.in = in;
        this.queue = queue;
        this.task = task;
        this.channel = client.channel();
        this.activity = client.activity();
    }

    /** Whether a closing connection is to be read although none of its queries waits for an answer. */
    boolean wantsRead() {
        return lingeringClose.wantsRead();
    }

    /** Whether what arrives is left unread. */
    boolean leavesUnread() {
        return lingeringClose.leavesUnread();
    }

    /** Whether the selector has to report when the client has received all answers. */
    boolean awaitsFlush() {
        return lingeringClose.awaitsFlush();
    }

    /** Records that the selector has reported that the client can receive more. */
    void onWritable() {
        lingeringClose.onWritable();
    }

    /** Records that bytes have arrived; returns false if they are left unread. */
    boolean onReadReady() {
        if (leavesUnread()) {
            lingeringClose.onUnhandledBytes();
            clientServer.requestAttention(client);
            return false;
        }
        return true;
    }

    /** Records that the client has sent Terminate: the connection closes after the answers to the queries before it. */
    void onTerminate() {
        cause = CloseCause.CLIENT_TERMINATED;
        lingeringClose.onClientEnd();
        activity.markClosing();
    }

    /** Closes the connection as soon as its answers are received, as its client has let a time limit pass. */
    void skipLinger() {
        lingeringClose.skipLinger();
    }

    /** Records that the connection closes after the error that informs its client of an internal error. */
    void onFault() {
        cause = CloseCause.FAULT;
    }

    /**
     * Ends a connection that failed, without further answers. May be called by any thread.
     *
     * @param unanswered the number of queries that have no answer
     */
    synchronized void fail(CloseCause failure, int unanswered) {
        cause = failure;
        droppedQueries += unanswered;
        activity.markClosing();
        clientServer.requestAttention(client);
    }

    /**
     * Ends a connection after the answers to what has been read. What arrives from now on stays unread; the selector
     * reports whether anything has, so that a reset informs the client of that.
     */
    void endWithoutReading(CloseCause endCause) {
        cause = endCause;
        lingeringClose.leaveUnread(
                endCause == CloseCause.IDLE ? LingeringClose.LINGER_NANOS : LingeringClose.FLUSH_TIMEOUT_NANOS);
        activity.markClosing();
        closeIfLingered(System.nanoTime());
    }

    /** Discards what has been read, and reads and discards once more; returns whether more may have arrived. */
    boolean discardOnce() throws IOException {
        noteUnhandledBytes();
        in.release();
        int bytesRead = clientServer.discardFrom(channel);
        if (bytesRead < 0) {
            onClientEnd();
            return false;
        }
        if (bytesRead > 0) {
            lingeringClose.onUnhandledBytes();
        }
        lingeringClose.onDiscarded(queue.hasUnansweredQuery() ? 0 : bytesRead);
        return bytesRead > 0;
    }

    private void noteUnhandledBytes() {
        if (in.hasUnread() || droppedQueries > 0) {
            lingeringClose.onUnhandledBytes();
        }
    }

    private void onClientEnd() {
        if (queue.unansweredQueries() > 0) {
            close(CloseCause.CLIENT_CLOSED);
            return;
        }
        lingeringClose.onClientEnd();
        closeIfLingered(System.nanoTime());
    }

    /**
     * Closes a connection once its last answer has been written and the client has had time to receive it; returns
     * whether it is closed.
     */
    boolean closeIfLingered(long nowNanoTime) {
        if (!activity.isClosing() || queue.hasEntries()) {
            return false;
        }
        noteUnhandledBytes();
        if (lingeringClose.needsFlushReport()) {
            requestFlushReport();
        }
        if (!lingeringClose.isDue(nowNanoTime - activity.closingSinceNanoTime())) {
            return false;
        }
        close(cause);
        return true;
    }

    private void requestFlushReport() {
        lingeringClose.onFlushReportRequested();
        clientServer.requestAttention(client);
        try {
            channel.reportWhenFlushed();
        } catch (IOException e) {
            LOG.debug("the report of received answers can't be requested: {}", e.toString());
        }
    }

    /** Closes the connection now. */
    void close(CloseCause closeCause) {
        int unanswered = queue.unansweredQueries() + droppedQueries;
        // First, so that what the client sends from here on stays unread and a reset informs it of that.
        closeChannel(needsReset(closeCause, unanswered));
        dispatcher.monitor().counters().add("closed", closeCause);
        EventTrace.clientClosed(client.cancelKey(), closeCause, unanswered, in.unreadBytes());
        if (!closeCause.isByClient()) {
            dispatcher.monitor().invariants().checkClosedConnection(closeCause.name(), unanswered);
        }
        task.onDisconnected();
        clientServer.onClosed(client);
        in.release();
    }

    /**
     * Whether the client has to be informed by a reset that some of what it sent was not handled. Not needed where the
     * client has ended the connection, or can tell by an answer that is not whole.
     */
    private boolean needsReset(CloseCause closeCause, int unanswered) {
        boolean informed = closeCause == CloseCause.CLIENT_CLOSED
                || closeCause == CloseCause.CLIENT_TERMINATED
                || queue.isAnswerCut();
        return !informed && (unanswered > 0 || in.hasUnread() || lingeringClose.isReset());
    }

    private void closeChannel(boolean byReset) {
        try {
            if (byReset) {
                channel.reset();
            } else {
                channel.close();
            }
        } catch (IOException e) {
            LOG.debug("closing a client connection failed: {}", e.toString());
        }
    }
}
