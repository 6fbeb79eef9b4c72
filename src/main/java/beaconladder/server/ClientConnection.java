package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageReader;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A client's connection as its reader sees it: messages come in, it is told to go, it leaves. */
final class ClientConnection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /** A startup message is due so long after the connection, and the rest of a message after its first byte. */
    private static final long OPENING = 2_000_000_000L;
    /** So much is read of a client after its end was told, so that it sees the message. */
    private static final int WASTE = 64 * 1024;
    /** So much is read of a client with too many queries ahead: its end stands behind it. Some hundred. */
    private static final int BEHIND = 128 * 1024;
    /** What a client still sends after its end was told is read so long. */
    static final long LINGER_NANOS = 500_000_000L;

    private final ClientServer clients;
    private final RequestDispatcher desk;
    private final ClientChannel wire;
    private final MessageReader in;
    private final PipelineQueue ahead = new PipelineQueue();
    private final RequestTask task;
    private final ClientReader reader;
    private int wasted;
    /** Whether the last look at it was taken: no txn is taken in but the rest of a query that has begun. */
    private boolean lastLook;

    private boolean restDue;
    /** What a request has to name to cancel what is in hand here. */
    private final long key;
    /** Whether its large messages count as those of its tenant's cell yet. */
    private boolean charged;
    /** When it last did something, on System.nanoTime's clock. */
    private volatile long usedAt = System.nanoTime();
    /** Whether it has asked for something that is served here. */
    private volatile boolean known;

    private long cameAt;
    /** When its end was told, or 0. */
    private volatile long endedAt;

    ClientConnection(ClientServer clients, RequestDispatcher desk, ServerConnectionPool lines, ClientChannel wire) {
        this.clients = clients;
        this.desk = desk;
        this.wire = wire;
        this.key = clients.crowd().newKey();
        this.in = new MessageReader(clients.room());
        this.task = new RequestTask(this, clients, desk, lines, ahead);
        this.reader = new ClientReader(this, clients, desk, in, ahead, task);
    }

    ClientChannel wire() {
        return wire;
    }

    long key() {
        return key;
    }

    long usedAt() {
        return usedAt;
    }

    void used() {
        usedAt = System.nanoTime();
    }

    /** Its end was told just now. */
    void told() {
        endedAt = System.nanoTime();
    }

    /** When what the reader looks at came in. */
    long cameAt() {
        return cameAt;
    }

    boolean known() {
        return known;
    }

    void known(boolean now) {
        known = now;
    }

    boolean ending() {
        return endedAt != 0;
    }

    /** Whether its tenant's cell holds more connections than its own. */
    boolean borrows() {
        AdmissionPermit of = task.counted();
        return of != null && desk.cells().borrowsConnections(of);
    }

    /** Takes in what is there and does what it says; false when the connection is over. */
    boolean onReadable() {
        try {
            AdmissionPermit tenant = charged || !desk.hasCells() ? null : task.counted();
            if (tenant != null) {
                in.charge(clients.room(tenant.cellIndex()));
                charged = true;
            }
            int n = in.feed(wire);
            if (!ahead.full()) {
                cameAt = desk.nowNanos();
            }
            if (endedAt != 0) {
                in.drop();
                wasted += Math.max(0, n);
                if (n < 0) {
                    leave(CloseCause.TOLD_TO_GO);
                }
            } else if (n >= 0) {
                reader.pump();
            } else if (in.more() && ahead.idle()) {
                reader.sendAway("a message that is cut off");
            } else {
                // With a txn in hand, too: a half-close can't be told from having gone.
                leave(CloseCause.CLIENT_CLOSED);
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
            leave(CloseCause.CLIENT_BROKEN);
        } catch (RuntimeException | Error e) {
            LOG.error("a client's connection ends", e);
            leave(CloseCause.FAULT);
        }
        return wire.isOpen();
    }

    /**
     * Whether more is to be read now: not of who has far too much ahead, or goes on after its end. Behind the last look
     * only the sweep reads on.
     */
    boolean reads() {
        return wasted < WASTE
                && !(ahead.full() && in.holds(BEHIND))
                && !(lastLook && endedAt == 0 && in.begunAt() == 0);
    }

    /** Whether a query that has come in now is refused, as it began behind the last look. */
    boolean tooLate() {
        boolean late = lastLook && !restDue;
        restDue = false;
        return late;
    }

    /** The client wants no answer any more to what is in hand here. */
    void cancel() {
        task.cancel();
    }

    /** Goes on once its task has got on; false when the connection is over. */
    boolean resume() {
        try {
            reader.pump();
        } catch (IOException e) {
            leave(CloseCause.CLIENT_BROKEN);
        }
        return wire.isOpen();
    }

    void leave(CloseCause cause) {
        // Before anything else: what a client writes from here on stays unread, and it is told so by a reset.
        close();
        int unanswered = ahead.unanswered();
        desk.monitor().counters().add("closed", cause);
        EventTrace.clientClosed(key, cause, unanswered, in.unread());
        if (!cause.byClient()) {
            desk.monitor().invariants().checkClosedConnection(cause.name(), unanswered);
        }
        task.left();
        clients.gone(this);
        in.release();
    }

    void close() {
        try {
            wire.close();
        } catch (IOException e) {
            LOG.debug("a client's connection: {}", e.toString());
        }
    }

    /** Sends those away that are late with what they began; false when the connection is over. */
    boolean sweep(long now) {
        long ended = endedAt;
        if (!wire.isOpen() || ended != 0 && now - ended > LINGER_NANOS && !ahead.busy()) {
            leave(ended != 0 ? CloseCause.TOLD_TO_GO : CloseCause.CLIENT_BROKEN);
            return false;
        }
        if (lastLook && ended == 0 && ahead.owes() && !onReadable()) {
            return false;
        }
        try {
            if (ended == 0 && !reader.greeted() && now - usedAt > OPENING) {
                reader.greet(StartupResponse.fatal("08P01", "no startup message in time"));
            } else if (ended == 0 && in.begunAt() != 0 && now - in.begunAt() > OPENING) {
                reader.sendAway("a message whose rest did not come in time");
            }
        } catch (IOException e) {
            leave(CloseCause.CLIENT_BROKEN);
        }
        return wire.isOpen();
    }

    /**
     * Ends the connection if it has lain idle since before this nanoTime, with what has come in unread looked at first;
     * the client sees its end. For the reader alone.
     */
    boolean closeIfIdle(long since) {
        if (endedAt != 0 || !lastLook && !onReadable() || usedAt >= since || !idle(since)) {
            return false;
        }
        // Closed, not half-closed: a query that crosses this is answered by a reset, so it is known not to
        // have been read. The last look comes right before the close, as this thread may stand still between
        // any two steps.
        try {
            if (!lastLook && in.feed(wire) > 0) {
                cameAt = desk.nowNanos();
                reader.pump();
                return false;
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
        }
        leave(lastLook || clients.draining() != null ? CloseCause.DRAINED : CloseCause.IDLE);
        return true;
    }

    /**
     * The router ends: this connection is looked at for the last time, and closed now or after the answers to what has
     * come in by then; else a client that writes on and on would keep it open until the kill. While the last answers
     * are due the sweep still reads what comes, for the client's end may stand behind it, and declines it; what crosses
     * the last is unread.
     */
    void lastLook() {
        closeIfIdle(Long.MAX_VALUE);
        lastLook = true;
        restDue = in.begunAt() != 0;
    }

    private boolean idle(long since) {
        return ahead.idle() && endedAt == 0 && (in.begunAt() == 0 || !known && in.begunAt() < since);
    }
}
