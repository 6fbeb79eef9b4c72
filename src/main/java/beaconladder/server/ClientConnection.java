package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageWriter;
import beaconladder.routing.state.ClientRequests;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client's connection: reads its messages and decides when to close it. Methods must be called by the reader's thread
 * unless stated otherwise.
 */
final class ClientConnection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private final ClientServer clientServer;
    private final RequestDispatcher dispatcher;
    private final ClientChannel channel;
    private final MessageReader in;
    private final PipelineQueue queue;
    private final ClientActivity activity = new ClientActivity();
    /** Guarded by the dispatcher's lock. */
    private final ClientRequests requests = new ClientRequests();

    private final RequestTask task;
    private final ClientReader reader;
    private final ConnectionEnd end;
    private final ClientTimeouts timeouts;
    private final long cancelKey;
    private final AtomicBoolean attentionRequested = new AtomicBoolean();
    /** Whether messages that have arrived completely are left to the next turn. */
    private boolean messagesLeft;
    /** Whether the final read has been done; afterwards only a message that had begun by then is completed. */
    private boolean finalReadDone;
    /** Whether a message that had begun by the final read is still incomplete. */
    private boolean partialMessagePending;
    /** Whether the client's large messages count towards the memory limit of its tenant's cell. */
    private boolean chargedToCell;
    /** When the bytes being handled were read, in Unix nanoseconds of the dispatcher's clock. */
    private long readNanos;

    ClientConnection(
            ClientServer clientServer,
            RequestDispatcher dispatcher,
            ServerConnectionPool serverConnections,
            ClientChannel channel) {
        this.clientServer = clientServer;
        this.dispatcher = dispatcher;
        this.channel = channel;
        this.cancelKey = clientServer.connectionTable().newCancelKey();
        this.in = new MessageReader(clientServer.memoryLimit());
        this.queue = new PipelineQueue(clientServer.queryMemory(), clientServer.answerMemory(), this::localAnswer);
        this.task = new RequestTask(this, clientServer, dispatcher, serverConnections, queue);
        this.reader = new ClientReader(this, clientServer, dispatcher, in, queue, task);
        this.end = new ConnectionEnd(this, clientServer, dispatcher, in, queue, task);
        this.timeouts = new ClientTimeouts(this, in, queue, reader);
    }

    private MessageWriter localAnswer(PipelineEntry entry) {
        return task.localAnswer(entry);
    }

    ClientChannel channel() {
        return channel;
    }

    /** Returns the key by which a CancelRequest identifies this connection. */
    long cancelKey() {
        return cancelKey;
    }

    /** Returns when the client was last active and whether its connection is closing. May be called by any thread. */
    ClientActivity activity() {
        return activity;
    }

    /** Returns what ends this connection. */
    ConnectionEnd end() {
        return end;
    }

    /** Returns when the bytes being handled were read, in Unix nanoseconds of the dispatcher's clock. */
    long readNanos() {
        return readNanos;
    }

    /** The number of the client's requests in flight, which the dispatcher counts. */
    ClientRequests requests() {
        return requests;
    }

    /** Whether the cell of the client's tenant uses more connections than its quota. */
    boolean exceedsCellQuota() {
        AdmissionPermit permit = task.connectionPermit();
        return permit != null && dispatcher.cells().borrowsConnections(permit);
    }

    /**
     * Reads once and handles all that has been read, for a look outside of the client's turns, after which nobody comes
     * back to what is left; returns false if the connection is closed.
     */
    boolean onReadable() {
        return read(() -> {
            readOnce(Long.MAX_VALUE);
        });
    }

    /**
     * Reads and handles what has arrived; returns false if the connection is closed.
     *
     * @param turnNanos after which time the rest is left to the next turn
     */
    boolean onReadable(long turnNanos) {
        long endNanoTime = System.nanoTime() + turnNanos;
        return read(() -> {
            boolean moreExpected = true;
            while (moreExpected && channel.isOpen()) {
                moreExpected = readOnce(endNanoTime) && System.nanoTime() < endNanoTime;
            }
        });
    }

    /** Reads of the connection that may fail. */
    private interface Reads {
        void perform() throws IOException;
    }

    /** Performs reads, and closes the connection if they fail; returns false if it is closed. */
    private boolean read(Reads reads) {
        try {
            chargeCell();
            reads.perform();
        } catch (IOException e) {
            LOG.debug("a client connection failed: {}", e.toString());
            close(CloseCause.CLIENT_BROKEN);
        } catch (RuntimeException | Error e) {
            LOG.error("ending a client connection after an internal error", e);
            endAfterFault();
        }
        return channel.isOpen();
    }

    /**
     * Sends an error in the order of the answers, after which the connection closes, or closes it if that fails too.
     */
    private void endAfterFault() {
        if (activity.isClosing()) {
            close(CloseCause.FAULT);
            return;
        }
        try {
            end.onFault();
            reader.closeWithError(ErrorResponse.INTERNAL_ERROR, "an internal error of the router");
        } catch (IOException | RuntimeException | Error e) {
            LOG.error("closing a client connection after an internal error", e);
            close(CloseCause.FAULT);
        }
    }

    /** Handles the messages that were left, or reads once; returns whether more is known to have arrived. */
    private boolean readOnce(long endNanoTime) throws IOException {
        if (messagesLeft) {
            messagesLeft = !reader.handleMessages(endNanoTime);
            return !messagesLeft;
        }
        // The selector may have reported bytes that came behind the last answer.
        if (!wantsRead()) {
            return false;
        }
        if (activity.isClosing()) {
            return !end.leavesUnread() && end.discardOnce();
        }
        int bytesRead = in.readFrom(channel);
        readNanos = dispatcher.nowNanos();
        if (bytesRead >= 0) {
            messagesLeft = !reader.handleMessages(endNanoTime);
            return in.mayHaveMore();
        }
        if (in.hasUnread() && queue.isIdle()) {
            reader.closeWithError("a message that is cut off");
        } else {
            // Also closed with a request in flight, as a half-close can't be distinguished from a full close.
            close(CloseCause.CLIENT_CLOSED);
        }
        return false;
    }

    /** Whether the rest of what has arrived waits for the next turn. */
    boolean hasMessagesLeft() {
        return messagesLeft;
    }

    /** Charges the client's large messages to its cell's memory limit from its first admitted request on. */
    private void chargeCell() {
        AdmissionPermit permit = chargedToCell || !dispatcher.hasCells() ? null : task.connectionPermit();
        if (permit != null) {
            in.chargeTo(clientServer.memoryLimit(permit.cellIndex()));
            chargedToCell = true;
        }
    }

    /**
     * Whether the connection is to be read: always while a host may still have to run a query, as the end of the
     * connection has to be noticed behind all that arrives before it. Otherwise not for a client that keeps sending
     * after the final error, nor after the final read.
     */
    boolean wantsRead() {
        if (!activity.isClosing() && !finalReadDone) {
            return true;
        }
        boolean lingers = activity.isClosing() ? end.wantsRead() : in.messageStartNanos() != 0;
        return lingers || queue.hasUnansweredQuery();
    }

    /** Whether the selector should report when the client can receive more. */
    boolean wantsWrite() {
        return queue.isWriteBlocked() || end.awaitsFlush();
    }

    /** Marks the connection as one that the reader has to look at; returns false if it is marked already. */
    boolean requestAttention() {
        return attentionRequested.compareAndSet(false, true);
    }

    /**
     * Writes the answers that are due, for the time of one turn, at the request of a task or as the client can receive
     * more; returns false if the connection is closed.
     */
    boolean writeAnswers(long turnNanos) {
        attentionRequested.set(false);
        try {
            task.writeAnswers(System.nanoTime() + turnNanos);
        } catch (IOException e) {
            LOG.debug("a client connection failed: {}", e.toString());
            task.failConnection(CloseCause.CLIENT_BROKEN);
        } catch (RuntimeException | Error e) {
            LOG.error("ending a client connection after an internal error", e);
            task.failConnection(CloseCause.FAULT);
        }
        return channel.isOpen() && !end.closeIfLingered(System.nanoTime());
    }

    /** Whether the query that has just arrived must be rejected because its first byte came after the final read. */
    boolean isTooLate() {
        boolean late = finalReadDone && !partialMessagePending;
        partialMessagePending = false;
        return late;
    }

    /** Cancels the query whose answer is due next. */
    void cancel() {
        task.cancel();
    }

    void close(CloseCause cause) {
        end.close(cause);
    }

    /** Closes the connection if a timeout has passed; returns false if it is closed. */
    boolean sweep(long nowNanoTime) {
        return timeouts.check(nowNanoTime);
    }

    /** Ends a connection beyond its tenant's quota between two queries, or after the answers to what has been read. */
    void endRefusedConnection() {
        if (closeIfIdle(Long.MAX_VALUE)) {
            return;
        }
        handleMessagesLeft();
        if (channel.isOpen()) {
            end.endWithoutReading(CloseCause.TOLD_TO_GO);
        }
    }

    /**
     * Ends the connection if it has been idle since before this {@code System.nanoTime}, after reading what has
     * arrived. Returns whether it ends; it is closed once the client has received the answers before.
     */
    boolean closeIfIdle(long idleBeforeNanoTime) {
        // Most are not idle, and are not read for this check.
        if (activity.isClosing()
                || !isIdle(idleBeforeNanoTime)
                || !finalReadDone && !onReadable()
                || activity.lastUsedNanoTime() >= idleBeforeNanoTime
                || !isIdle(idleBeforeNanoTime)) {
            return false;
        }
        // The connection is read once more right before its end, as this thread may have been suspended since the
        // check above.
        try {
            if (!finalReadDone && in.readFrom(channel) > 0) {
                readNanos = dispatcher.nowNanos();
                reader.handleMessages(Long.MAX_VALUE);
                return false;
            }
        } catch (IOException e) {
            LOG.debug("a client connection failed: {}", e.toString());
        }
        end.endWithoutReading(finalReadDone || clientServer.shutdown() != null ? CloseCause.DRAINED : CloseCause.IDLE);
        return true;
    }

    /**
     * Reads the connection for the last time during a shutdown, and closes it now or after the answers to what has
     * arrived by then. Without this limit a client that keeps sending would keep it open until the process is killed.
     * While a host may still have to run a query, the connection is read to notice a close by the client, and queries
     * that are found are rejected. What arrives after the last answer stays unread.
     */
    void readForLastTime() {
        if (!activity.isClosing() && onReadable()) {
            closeIfIdle(Long.MAX_VALUE);
        }
        handleMessagesLeft();
        finalReadDone = true;
        partialMessagePending = in.messageStartNanos() != 0;
    }

    /** Handles all messages that have been read, so that only later ones count as too late. */
    private void handleMessagesLeft() {
        try {
            messagesLeft = messagesLeft && channel.isOpen() && !reader.handleMessages(Long.MAX_VALUE);
        } catch (IOException e) {
            close(CloseCause.CLIENT_BROKEN);
        }
    }

    private boolean isIdle(long idleBeforeNanoTime) {
        return queue.isIdle()
                && !messagesLeft
                && !activity.isClosing()
                && (in.messageStartNanos() == 0
                        || !activity.hasSentRequest() && in.messageStartNanos() < idleBeforeNanoTime);
    }
}
