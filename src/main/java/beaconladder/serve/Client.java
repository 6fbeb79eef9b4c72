package beaconladder.serve;

import beaconladder.api.Router.Word;
import beaconladder.cells.Gate;
import beaconladder.cells.Pass;
import beaconladder.fleet.Group;
import beaconladder.pg.Inbox;
import beaconladder.pg.Inbox.Got;
import beaconladder.pg.Outbox;
import beaconladder.pg.Statement;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A client's connection: the reader sees its messages and it leave, its task sees each txn through. */
final class Client {
    private static final Logger LOG = LoggerFactory.getLogger(Client.class);
    private static final int VERSION_3 = 3 << 16;
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSSENC = 80877104;
    /** So many queries written ahead are read; further ones wait in the socket. */
    private static final int AHEAD = 64;
    /** And no more of them than a query of the longest kind takes. */
    private static final int AHEAD_CHARS = Inbox.BOUND / 2;
    /** A startup message is due so long after the connection, the rest of a message after its first byte. */
    private static final long OPENING = 2_000_000_000L;
    private static final long WHOLE = 2_000_000_000L;
    /** A client that takes in nothing of what is written to it for so long is given up. */
    private static final long STUCK = 5_000_000_000L;
    /** So much of what a client still sends is read after its end was told, so that it sees the message. */
    private static final int WASTE = 64 * 1024;
    /** Ids are short, and no client waits ten minutes; what is beyond is no id and no deadline. */
    private static final int LONGEST_ID = 128;
    private static final int LONGEST_MILLIS = 600_000;
    /** What a client still sends after its end was told is read so long; networks need far less. */
    static final long LINGER = 500_000_000L;

    /** Work for the task: messages to write, or, without, a query (null where it was no UTF-8). */
    private record Work(String query, long arrived, Outbox messages, boolean last) {
        int length() {
            return query == null ? 0 : query.length();
        }
    }

    private final Clients clients;
    private final Desk desk;
    private final Lines lines;
    private final Wire wire;
    private final Inbox in;
    private boolean greeted;
    private boolean skipping;
    private int wasted;
    private final ArrayDeque<Work> work = new ArrayDeque<>();
    private int ahead;
    /** Whether its reader waits for the task to get on. */
    private boolean paused;
    private boolean busy;
    private boolean over;
    private Hand hand;
    /** The leave by which its connection counts among those of a tenant, or null. */
    private Pass counted;
    /** Whether its large messages count as those of its tenant's cell yet; for the reader. */
    private boolean charged;
    /** When it last did something, on System.nanoTime's clock. */
    private volatile long usedAt = System.nanoTime();
    /** Whether it has asked for something that is served here. */
    private volatile boolean known;
    /** When its end was told, or 0. */
    private volatile long endedAt;

    Client(Clients clients, Desk desk, Lines lines, Wire wire) {
        this.clients = clients;
        this.desk = desk;
        this.lines = lines;
        this.wire = wire;
        this.in = new Inbox(clients.room());
    }

    Wire wire() {
        return wire;
    }

    long usedAt() {
        return usedAt;
    }

    // ---- The reader: one thread for all clients, which never waits for any of them ------------------------

    /** Takes in what is there and does what it says; false when the connection is over. */
    boolean readable() {
        try {
            Pass tenant = charged || !desk.confined() ? null : counted();
            if (tenant != null) {
                in.charge(clients.room(tenant.cell()));
                charged = true;
            }
            int n = in.feed(wire);
            if (endedAt != 0) {
                in.drop();
                wasted += Math.max(0, n);
                if (n < 0) {
                    leave();
                }
            } else if (n >= 0) {
                pump();
            } else if (in.more()) {
                sendAway("a message that is cut off");
                endedAt = System.nanoTime();
            } else {
                leave();
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
            leave();
        } catch (RuntimeException | Error e) {
            LOG.error("a client's connection ends", e);
            leave();
        }
        return wire.isOpen();
    }

    /** Whether more is to be read now: not of who has too much ahead, or goes on after its end. */
    synchronized boolean reads() {
        paused = !over && (work.size() >= AHEAD || ahead >= AHEAD_CHARS);
        return !paused && wasted < WASTE;
    }

    /** Goes on with what is there, once its task has got on; false when the connection is over. */
    boolean resume() {
        try {
            pump();
        } catch (IOException e) {
            leave();
        }
        return wire.isOpen();
    }

    /** Handles all messages that are there whole. */
    private void pump() throws IOException {
        while (endedAt == 0 && reads()) {
            Got got = in.poll(!greeted);
            if (got == Got.NOTHING) {
                return;
            }
            if (got != Got.MESSAGE) {
                if (greeted) {
                    sendAway(got == Got.NO_ROOM ? "a long message while there is no room for more of them"
                            : "a message of impossible length");
                } else {
                    fatal("08P01", "a startup message of impossible length");
                }
            } else if (greeted) {
                usedAt = System.nanoTime();
                message();
            } else {
                greet();
            }
        }
    }

    /** The opening. */
    private void greet() throws IOException {
        int length = in.end() - in.at();
        int version = length < 4 ? 0 : in.int32(in.at());
        if (version == SSL || version == GSSENC) {
            sendNow(new Outbox().raw(new byte[] {'N'}, 0, 1));
        } else if (version == CANCEL) {
            leave();
        } else if (version >> 16 != 3) {
            fatal("0A000", "protocol " + (version >> 16) + "." + (version & 0xffff)
                    + " is not spoken here, 3.0 is");
        } else if (length < 5 || in.int8(in.end() - 1) != 0) {
            fatal("08P01", "a startup message without its end");
        } else if (clients.full()) {
            Trace.door("refused: no descriptor");
            fatal("53300", "too many connections");
        } else {
            Outbox out = new Outbox();
            String[] unknown = unknownOptions();
            if (version != VERSION_3 || unknown.length > 0) {
                out.negotiateVersion(unknown);
            }
            greeted = true;
            usedAt = System.nanoTime();
            sendNow(out.authenticationOk().parameterStatus("server_version", "15.0")
                    .parameterStatus("client_encoding", "UTF8").parameterStatus("server_encoding", "UTF8")
                    .parameterStatus("standard_conforming_strings", "on").backendKey(0, 0).ready());
        }
    }

    /** The options of the protocol that the client asks for; none is known here. */
    private String[] unknownOptions() {
        List<String> unknown = new ArrayList<>();
        for (int at = in.at() + 4; at < in.end() && in.int8(at) != 0;) {
            String name = in.text(at);
            if (name.startsWith("_pq_.")) {
                unknown.add(name);
            }
            at = in.after(in.after(at));
        }
        return unknown.toArray(String[]::new);
    }

    private void message() throws IOException {
        switch (in.type()) {
            case 'Q' -> {
                if (!in.texts(1)) {
                    sendAway("a query that is not one text");
                } else if (!skipping) {
                    add(new Work(in.onlyText(), desk.now(), null, false));
                }
            }
            case 'X' -> leave();
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f' -> {
                if (!skipping) {
                    skipping = true;
                    add(new Work(null, 0, new Outbox().error("ERROR", "0A000",
                            "only simple queries are spoken here", null), false));
                }
            }
            case 'S' -> {
                skipping = false;
                add(new Work(null, 0, new Outbox().ready(), false));
            }
            default -> sendAway("a message of an unknown type");
        }
    }

    private void sendAway(String cause) throws IOException {
        add(new Work(null, 0, new Outbox().error("FATAL", "08P01", cause, null), true));
        endedAt = System.nanoTime();
    }

    private void fatal(String code, String message) throws IOException {
        sendNow(new Outbox().error("FATAL", code, message, null));
        wire.endWriting();
        endedAt = System.nanoTime();
    }

    private void add(Work next) throws IOException {
        synchronized (this) {
            if (busy || over || next.messages() == null) {
                work.add(next);
                ahead += next.length();
                if (busy || over) {
                    return;
                }
                busy = true;
            }
        }
        // What needs no task is written here; nobody else writes while none is busy.
        if (next.messages() == null) {
            if (clients.execute(this::serve)) {
                return;
            }
            synchronized (this) {
                work.clear();
                ahead = 0;
                busy = false;
            }
            // No thread is left to see a txn through: it is declined here, before it is taken in hand.
            Trace.door("declined: no thread");
            sendNow(new Outbox().error("ERROR", "53300",
                    "declined, as too many txns are in hand; it has not run", null).ready());
        } else {
            sendNow(next.messages());
            if (next.last()) {
                wire.endWriting();
            }
        }
    }

    /** Writes a short message without waiting; who lets even that pile up is sent away. */
    private void sendNow(Outbox out) throws IOException {
        ByteBuffer bytes = out.bytes();
        wire.write(bytes);
        if (bytes.hasRemaining()) {
            throw new IOException("the client takes nothing in");
        }
    }

    void leave() {
        Hand current;
        Pass connection;
        synchronized (this) {
            over = true;
            work.clear();
            current = hand;
            connection = counted;
            counted = null;
        }
        if (connection != null) {
            desk.disconnected(connection);
        }
        if (current != null) {
            desk.left(current);
        }
        close();
        clients.gone(this);
        in.release();
    }

    void close() {
        try {
            wire.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    /** Whether its client has shown what it is here for. */
    boolean known() {
        return known;
    }

    /** Whether its tenant's cell holds more connections than its own. */
    boolean borrows() {
        Pass of = counted();
        return of != null && desk.borrows(of);
    }

    /** Whether its client has been told to go. */
    boolean ending() {
        return endedAt != 0;
    }

    /** Sends those away that are late with what they began; false when the connection is over. */
    boolean sweep(long now) {
        long ended = endedAt;
        if (!wire.isOpen() || ended != 0 && now - ended > LINGER && !busy()) {
            leave();
            return false;
        }
        try {
            if (ended == 0 && !greeted && now - usedAt > OPENING) {
                fatal("08P01", "no startup message in time");
            } else if (ended == 0 && in.begunAt() != 0 && now - in.begunAt() > WHOLE) {
                sendAway("a message whose rest did not come in time");
            }
        } catch (IOException e) {
            leave();
        }
        return wire.isOpen();
    }

    private synchronized Pass counted() {
        return counted;
    }

    private synchronized boolean busy() {
        return busy;
    }

    /**
     * Ends the connection if it has lain idle since before this nanoTime, with what has come in unread looked
     * at first; the client sees its end. For the reader alone.
     */
    boolean closeIfIdle(long since) {
        if (endedAt != 0 || !readable() || usedAt >= since || !idle(since)) {
            return false;
        }
        // Closed, not half-closed: a query that crosses this is answered by a reset, so that it is known not
        // to have been read. One read after a half-close would be a txn taken and never answered. The last
        // look comes right before the close: on a part of a core this thread may stand still between any two
        // steps, and what came meanwhile would be ended with no answer.
        try {
            if (in.feed(wire) > 0) {
                pump();
                return false;
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
        }
        close();
        leave();
        return true;
    }

    private synchronized boolean idle(long since) {
        long begun = in.begunAt();
        return !busy && work.isEmpty() && !over && endedAt == 0 && (begun == 0 || !known && begun < since);
    }

    // ---- The task -----------------------------------------------------------------------------------------

    private void serve() {
        boolean well = true;
        long answered = 0;
        while (true) {
            Work next;
            boolean resume;
            synchronized (this) {
                next = well ? work.poll() : null;
                ahead -= next == null ? 0 : next.length();
                if (next == null) {
                    busy = false;
                    break;
                }
                resume = paused;
                paused = false;
            }
            if (resume) {
                clients.resume(this);
            }
            try {
                if (next.messages() != null) {
                    send(next.messages());
                } else if (next.query() == null) {
                    send(new Outbox().error("ERROR", "22021", "a query that is not UTF-8", null).ready());
                } else {
                    // Its time begins once the answer before it has gone: until then nobody waits for it.
                    answer(next.query(), Math.max(next.arrived(), answered));
                }
                answered = desk.now();
                if (next.last()) {
                    wire.endWriting();
                    endedAt = System.nanoTime();
                    well = false;
                }
            } catch (IOException e) {
                well = false;
                close();
            } catch (InterruptedException e) {
                well = false;
                close();
            } catch (RuntimeException | Error e) {
                LOG.error("a client's connection ends", e);
                well = false;
                close();
            }
            usedAt = System.nanoTime();
        }
        if (clients.draining()) {
            clients.resume(this);
        }
    }

    private static String firstWord(String text) {
        int end = 0;
        while (end < text.length() && Character.isLetter(text.charAt(end))) {
            end++;
        }
        return text.substring(0, end).toUpperCase(Locale.ROOT);
    }

    /** The life of one txn. */
    private void answer(String query, long arrived) throws IOException, InterruptedException {
        String plain = query.strip();
        String first = firstWord(plain);
        if (plain.isEmpty() || plain.equals(";")) {
            send(new Outbox().emptyQuery().ready());
            return;
        }
        if (first.equals("SET") || first.equals("RESET") || first.equals("DISCARD")) {
            send(new Outbox().commandComplete(first).ready());
            return;
        }
        Statement statement = Statement.read(query);
        String fault = statement.fault();
        if (fault != null) {
            send(new Outbox().error("ERROR", "42601", fault, null).ready());
            return;
        }
        String id = statement.value("id");
        Integer type = desk.typePlace(String.valueOf(statement.value("c")));
        long cluster = number(statement.value("cluster"));
        boolean confined = desk.confined();
        Group group = cluster < 0 || cluster > Integer.MAX_VALUE ? null : desk.group((int) cluster);
        boolean noGroup = confined ? cluster < 0 || cluster > Integer.MAX_VALUE : group == null;
        long budget = number(statement.value("d"));
        String after = statement.value("after");
        long written = after == null ? Word.NONE : Ending.nanos(after, 6);
        String wrong = id == null || id.isEmpty() || id.length() > LONGEST_ID ? "id"
                : type == null ? "c" : noGroup ? "cluster"
                : budget <= 0 || budget > LONGEST_MILLIS ? "d"
                : after != null && written == Word.NONE ? "after" : null;
        if (wrong != null) {
            String value = statement.value(wrong);
            send(new Outbox().error("ERROR", value == null ? "42601" : "22023", value == null
                    ? "the comment lacks " + wrong : "the comment has an impossible " + wrong, null).ready());
            return;
        }
        known = true;
        long expiry = arrived + Math.min(budget * 1_000_000, desk.longest());
        Pass pass = null;
        if (confined) {
            pass = enter(statement, (int) cluster, type, query.length(), arrived, expiry);
            group = pass == null ? null : desk.group(pass.group());
            if (pass == null) {
                return;
            } else if (group == null) {
                desk.leave(pass);
                send(declined("no host of the cell is known", 0));
                return;
            }
        }
        Hand taken = desk.take(id, type, group, statement, written, arrived, expiry, pass);
        if (taken == null) {
            if (pass != null) {
                desk.leave(pass);
            }
            send(new Outbox().error("ERROR", "22023", "the id of a txn that is in hand", null).ready());
            return;
        }
        synchronized (this) {
            hand = taken;
        }
        if (over()) {
            desk.left(taken);
        }
        try {
            send(finish(taken));
        } finally {
            synchronized (this) {
                hand = null;
            }
            desk.release(id);
        }
    }

    /** Asks for leave where there are cells; without it, null, and the client has been told. */
    private Pass enter(Statement statement, int cluster, int type, int size, long arrived, long expiry)
            throws IOException, InterruptedException {
        String tenant = statement.value("t");
        Gate.Answer leave = desk.enter(tenant == null ? "" : tenant, statement.session(), cluster,
                desk.writes(type) || statement.writes(), type, size, wire.from(), arrived, expiry,
                        this::over);
        if (leave == null) {
            return null;
        }
        switch (leave.kind()) {
            case DECLINE -> send(declined(leave.reason(), leave.comeBack()));
            case REFUSE -> send(new Outbox().error("ERROR", "22023", leave.reason(), null).ready());
            default -> {
                if (joined(leave.pass())) {
                    return leave.pass();
                }
                desk.leave(leave.pass());
                send(new Outbox().error("FATAL", "53300",
                        "too many connections of this tenant; it has not run",
                        null));
                wire.endWriting();
                endedAt = System.nanoTime();
            }
        }
        return null;
    }

    /** The first txn shows whose connection this is; false when its tenant may not have one more. */
    private boolean joined(Pass pass) {
        synchronized (this) {
            if (counted != null || over) {
                return true;
            }
        }
        if (!desk.connected(pass)) {
            return false;
        }
        synchronized (this) {
            if (!over) {
                counted = pass;
                return true;
            }
        }
        desk.disconnected(pass);
        return true;
    }

    private static Outbox declined(String reason, long comeBack) {
        return new Outbox().error("ERROR", "53300", "declined, as " + reason + "; it has not run",
                comeBack > 0 ? String.valueOf(comeBack / 1_000_000) : null).ready();
    }

    /** Does what the desk tells until the txn has its end; returns the final answer. */
    private Outbox finish(Hand taken) throws InterruptedException {
        while (true) {
            Hand.Order order = taken.take();
            switch (order.kind()) {
                case SEND -> lines.send(order, taken.statement);
                case COMMITTED -> {
                    return order.answer().ready();
                }
                case DECLINED -> {
                    String detail = order.nanos() > 0 ? String.valueOf(order.nanos() / 1_000_000) : null;
                    return new Outbox().error("ERROR", "53300", "declined; it has not run, try again", detail)
                            .ready();
                }
                case ROLLED_BACK -> {
                    return new Outbox().error("ERROR", "40003", "rolled back; it may have run", null).ready();
                }
                case LEFT -> {
                    return new Outbox();
                }
            }
        }
    }

    private synchronized boolean over() {
        return over;
    }

    private static long number(String digits) {
        if (digits == null || digits.isEmpty() || digits.length() > 15) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < digits.length(); i++) {
            int digit = digits.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            number = 10 * number + digit;
        }
        return number;
    }

    /** Writes all of it, and waits for who takes it in slowly. */
    private void send(Outbox out) throws IOException, InterruptedException {
        ByteBuffer bytes = out.bytes();
        long moved = System.nanoTime();
        while (bytes.hasRemaining()) {
            if (wire.write(bytes) > 0) {
                moved = System.nanoTime();
            } else if (System.nanoTime() - moved > STUCK) {
                throw new IOException("the client takes nothing in");
            } else {
                Thread.sleep(2);
            }
        }
    }
}
