package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageReader;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client's connection: reads its messages, and decides when it is closed. For the reader's thread but where noted.
 */
final class ClientConnection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /** The startup message is due this long after the connection, the rest of a message after its first byte. */
    private static final long MESSAGE_TIMEOUT_NANOS = 2_000_000_000L;
    /** This much is still read and discarded after the final error, so that the client receives the error. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    /** This much is read behind a full pipeline, as the client's close may follow it: some hundred queries. */
    private static final int MAX_BYTES_BEHIND_FULL_QUEUE = 128 * 1024;
    /** What a client still sends after the final error is read for this long. */
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
    /** Whether the final read has been done: afterwards only a message that had begun is completed. */
    private boolean finalReadDone;
    /** Whether the message that had begun at the final read is still incomplete. */
    private boolean restExpected;
    /** Whether its large messages count towards the memory of its tenant's cell. */
    private boolean chargedToCell;
    /** When the bytes that the reader handles were read, on the dispatcher's clock. */
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

    /** The key by which a CancelRequest names this connection. */
    long cancelKey() {
        return cancelKey;
    }

    /** When the client was last active and whether the connection is closing; for any thread. */
    ClientActivity activity() {
        return activity;
    }

    /** When the bytes that the reader handles were read, on the dispatcher's clock. */
    long readNanos() {
        return readNanos;
    }

    /** Whether its tenant's cell uses more connections than its quota. */
    boolean exceedsCellQuota() {
        AdmissionPermit permit = task.connectionPermit();
        return permit != null && dispatcher.cells().borrowsConnections(permit);
    }

    /** Reads what has arrived and handles it; false when the connection is closed. */
    boolean onReadable() {
        try {
            chargeCell();
            int n = in.readFrom(channel);
            if (!queue.isFull()) {
                readNanos = dispatcher.nowNanos();
            }
            if (activity.isClosing()) {
                in.discard();
                discardedBytes += Math.max(0, n);
                if (n < 0) {
                    close(CloseCause.TOLD_TO_GO);
                }
            } else if (n >= 0) {
                reader.handleMessages();
            } else if (in.hasUnread() && queue.isIdle()) {
                reader.closeWithError("a message that is cut off");
            } else {
                // Also with a request in flight: a half-close can't be distinguished from a full one.
                close(CloseCause.CLIENT_CLOSED);
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
            close(CloseCause.CLIENT_BROKEN);
        } catch (RuntimeException | Error e) {
            LOG.error("a client's connection ends", e);
            close(CloseCause.FAULT);
        }
        return channel.isOpen();
    }

    /** From the first admitted request on, its large messages count towards its cell's memory limit. */
    private void chargeCell() {
        AdmissionPermit permit = chargedToCell || !dispatcher.hasCells() ? null : task.connectionPermit();
        if (permit != null) {
            in.chargeTo(clientServer.memoryLimit(permit.cellIndex()));
            chargedToCell = true;
        }
    }

    /**
     * Whether more is to be read now: not from a client that has pipelined too much, or continues after the final
     * error. After the final read only the sweep reads.
     */
    boolean wantsRead() {
        return discardedBytes < MAX_DISCARDED_BYTES
                && !(queue.isFull() && in.hasUnreadAtLeast(MAX_BYTES_BEHIND_FULL_QUEUE))
                && !(finalReadDone && !activity.isClosing() && in.messageStartNanos() == 0);
    }

    /** Whether a query that has arrived now is rejected, as its first byte came after the final read. */
    boolean isTooLate() {
        boolean late = finalReadDone && !restExpected;
        restExpected = false;
        return late;
    }

    /** Cancels the query whose answer is due next. */
    void cancel() {
        task.cancel();
    }

    /** Handles messages again once the tasks have made progress; false when the connection is closed. */
    boolean resume() {
        try {
            reader.handleMessages();
        } catch (IOException e) {
            close(CloseCause.CLIENT_BROKEN);
        }
        return channel.isOpen();
    }

    void close(CloseCause cause) {
        // Before anything else: what a client sends from here on stays unread, and a reset informs it of that.
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

    /** Closes the channel alone; for any thread. The reader's sweep does the rest. */
    void closeChannel() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.debug("a client's connection: {}", e.toString());
        }
    }

    /** Closes the connection if a time-out has passed; false when it is closed. */
    boolean sweep(long nowNanoTime) {
        long closingSince = activity.closingSinceNanoTime();
        if (!channel.isOpen()
                || closingSince != 0 && nowNanoTime - closingSince > LINGER_NANOS && !queue.hasEntries()) {
            close(closingSince != 0 ? CloseCause.TOLD_TO_GO : CloseCause.CLIENT_BROKEN);
            return false;
        }
        if (finalReadDone && closingSince == 0 && queue.hasUnwritten() && !onReadable()) {
            return false;
        }
        try {
            if (closingSince == 0
                    && !reader.isStarted()
                    && nowNanoTime - activity.lastUsedNanoTime() > MESSAGE_TIMEOUT_NANOS) {
                reader.respond(StartupResponse.fatal(ErrorResponse.PROTOCOL_VIOLATION, "no startup message in time"));
            } else if (closingSince == 0
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
     * Closes the connection if it has been idle since before this nanoTime, after a last read of what has arrived; the
     * client sees the close.
     */
    boolean closeIfIdle(long sinceNanoTime) {
        if (activity.isClosing()
                || !finalReadDone && !onReadable()
                || activity.lastUsedNanoTime() >= sinceNanoTime
                || !isIdle(sinceNanoTime)) {
            return false;
        }
        // Closed, not half-closed: a query that crosses the close is answered by a reset, so the client knows that
        // it was not read. The last read comes right before the close, as this thread may be suspended between
        // any two steps.
        try {
            if (!finalReadDone && in.readFrom(channel) > 0) {
                readNanos = dispatcher.nowNanos();
                reader.handleMessages();
                return false;
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
        }
        close(finalReadDone || clientServer.shutdown() != null ? CloseCause.DRAINED : CloseCause.IDLE);
        return true;
    }

    /**
     * The router shuts down: reads the connection for the last time, and closes it now or after the answers to what has
     * arrived by then; otherwise a client that keeps sending would keep it open until the process is killed. While the
     * last answers are due the sweep still reads, as the client's close may follow, and rejects the queries it finds;
     * what crosses the last answer stays unread.
     */
    void readForLastTime() {
        closeIfIdle(Long.MAX_VALUE);
        finalReadDone = true;
        restExpected = in.messageStartNanos() != 0;
    }

    private boolean isIdle(long sinceNanoTime) {
        return queue.isIdle()
                && !activity.isClosing()
                && (in.messageStartNanos() == 0
                        || !activity.hasSentRequest() && in.messageStartNanos() < sinceNanoTime);
    }
}
