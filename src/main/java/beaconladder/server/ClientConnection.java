package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageReader;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client's connection: reads its messages and decides when to close it. Methods must be called by the reader's thread
 * unless stated otherwise.
 */
final class ClientConnection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /** The time for the startup message after the accept, and for a complete message after its first byte. */
    private static final long MESSAGE_TIMEOUT_NANOS = 2_000_000_000L;
    /** How much is still read and discarded after the final error, so that the client receives the error. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    /** How much is read while the pipeline is full, some hundred queries, to notice a close that follows them. */
    private static final int MAX_BYTES_BEHIND_FULL_QUEUE = 128 * 1024;
    /** How long a client's bytes are still read after the final error. */
    static final long LINGER_NANOS = 500_000_000L;

    private final ClientServer clientServer;
    private final RequestDispatcher dispatcher;
    private final ClientChannel channel;
    private final MessageReader in;
    private final PipelineQueue queue = new PipelineQueue();
    private final ClientActivity activity = new ClientActivity();
    private final RequestTask task;
    private final ClientReader reader;
    private final long cancelKey;
    private int discardedBytes;
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
        this.task = new RequestTask(this, clientServer, dispatcher, serverConnections, queue);
        this.reader = new ClientReader(this, clientServer, dispatcher, in, queue, task);
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

    /** Returns when the bytes being handled were read, in Unix nanoseconds of the dispatcher's clock. */
    long readNanos() {
        return readNanos;
    }

    /** Whether the cell of the client's tenant uses more connections than its quota. */
    boolean exceedsCellQuota() {
        AdmissionPermit permit = task.connectionPermit();
        return permit != null && dispatcher.cells().borrowsConnections(permit);
    }

    /** Reads and handles what has arrived; returns false if the connection is closed. */
    boolean onReadable() {
        try {
            chargeCell();
            int bytesRead = in.readFrom(channel);
            if (!queue.isFull()) {
                readNanos = dispatcher.nowNanos();
            }
            if (activity.isClosing()) {
                in.discard();
                discardedBytes += Math.max(0, bytesRead);
                if (bytesRead < 0) {
                    close(CloseCause.TOLD_TO_GO);
                }
            } else if (bytesRead >= 0) {
                reader.handleMessages();
            } else if (in.hasUnread() && queue.isIdle()) {
                reader.closeWithError("a message that is cut off");
            } else {
                // Also closed with a request in flight, as a half-close can't be distinguished from a full close.
                close(CloseCause.CLIENT_CLOSED);
            }
        } catch (IOException e) {
            LOG.debug("a client connection failed: {}", e.toString());
            close(CloseCause.CLIENT_BROKEN);
        } catch (RuntimeException | Error e) {
            LOG.error("closing a client connection after an internal error", e);
            close(CloseCause.FAULT);
        }
        return channel.isOpen();
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
     * Whether the selector should report readable bytes: not for a client that has pipelined too much or keeps sending
     * after the final error, nor after the final read, when only the sweep reads.
     */
    boolean wantsRead() {
        return discardedBytes < MAX_DISCARDED_BYTES
                && !(queue.isFull() && in.hasUnreadAtLeast(MAX_BYTES_BEHIND_FULL_QUEUE))
                && !(finalReadDone && !activity.isClosing() && in.messageStartNanos() == 0);
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

    /** Handles messages again once the pipeline has space; returns false if the connection is closed. */
    boolean resume() {
        try {
            reader.handleMessages();
        } catch (IOException e) {
            close(CloseCause.CLIENT_BROKEN);
        }
        return channel.isOpen();
    }

    void close(CloseCause cause) {
        // First, so that what the client sends from here on stays unread and a reset informs it of that.
        closeChannel();
        int unanswered = queue.unansweredQueries();
        dispatcher.monitor().counters().add("closed", cause);
        EventTrace.clientClosed(cancelKey, cause, unanswered, in.unreadBytes());
        if (!cause.isByClient()) {
            dispatcher.monitor().invariants().checkClosedConnection(cause.name(), unanswered);
        }
        task.onDisconnected();
        clientServer.onClosed(this);
        in.release();
    }

    /** Closes only the channel; the sweep completes the close. May be called by any thread. */
    void closeChannel() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.debug("closing a client connection failed: {}", e.toString());
        }
    }

    /** Closes the connection if a timeout has passed; returns false if it is closed. */
    boolean sweep(long nowNanoTime) {
        long closingSinceNanoTime = activity.closingSinceNanoTime();
        if (!channel.isOpen()
                || closingSinceNanoTime != 0
                        && nowNanoTime - closingSinceNanoTime > LINGER_NANOS
                        && !queue.hasEntries()) {
            close(closingSinceNanoTime != 0 ? CloseCause.TOLD_TO_GO : CloseCause.CLIENT_BROKEN);
            return false;
        }
        if (finalReadDone && closingSinceNanoTime == 0 && queue.hasUnwritten() && !onReadable()) {
            return false;
        }
        try {
            if (closingSinceNanoTime == 0
                    && !reader.isStarted()
                    && nowNanoTime - activity.lastUsedNanoTime() > MESSAGE_TIMEOUT_NANOS) {
                reader.respond(StartupResponse.fatal(ErrorResponse.PROTOCOL_VIOLATION, "no startup message in time"));
            } else if (closingSinceNanoTime == 0
                    && in.messageStartNanos() != 0
                    && nowNanoTime - in.messageStartNanos() > MESSAGE_TIMEOUT_NANOS) {
                reader.closeWithError("a message whose rest did not come in time");
            }
        } catch (IOException e) {
            close(CloseCause.CLIENT_BROKEN);
        }
        return channel.isOpen();
    }

    /**
     * Closes the connection if it has been idle since before this {@code System.nanoTime}, after reading what has
     * arrived. Returns whether it has been closed.
     */
    boolean closeIfIdle(long idleBeforeNanoTime) {
        if (activity.isClosing()
                || !finalReadDone && !onReadable()
                || activity.lastUsedNanoTime() >= idleBeforeNanoTime
                || !isIdle(idleBeforeNanoTime)) {
            return false;
        }
        // Closed, not half-closed: a query that crosses the close is answered by a reset, which tells the client that
        // it was not read. The connection is read once more right before the close, as this thread may have been
        // suspended since the check above.
        try {
            if (!finalReadDone && in.readFrom(channel) > 0) {
                readNanos = dispatcher.nowNanos();
                reader.handleMessages();
                return false;
            }
        } catch (IOException e) {
            LOG.debug("a client connection failed: {}", e.toString());
        }
        close(finalReadDone || clientServer.shutdown() != null ? CloseCause.DRAINED : CloseCause.IDLE);
        return true;
    }

    /**
     * Reads the connection for the last time during a shutdown, and closes it now or after the answers to what has
     * arrived by then. Without this limit a client that keeps sending would keep it open until the process is killed.
     * While answers are due, the sweep still reads to notice a close by the client, and queries that it finds are
     * rejected. What arrives after the last answer stays unread.
     */
    void readForLastTime() {
        closeIfIdle(Long.MAX_VALUE);
        finalReadDone = true;
        partialMessagePending = in.messageStartNanos() != 0;
    }

    private boolean isIdle(long idleBeforeNanoTime) {
        return queue.isIdle()
                && !activity.isClosing()
                && (in.messageStartNanos() == 0
                        || !activity.hasSentRequest() && in.messageStartNanos() < idleBeforeNanoTime);
    }
}
