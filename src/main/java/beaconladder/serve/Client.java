package beaconladder.serve;

import beaconladder.api.Router.Word;
import beaconladder.fleet.Group;
import beaconladder.pg.Inbox;
import beaconladder.pg.Inbox.Got;
import beaconladder.pg.Outbox;
import beaconladder.pg.Statement;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A client's connection: its reader sees the frames and the client leave, its task sees each txn through. */
final class Client implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Client.class);
    private static final int VERSION_3 = 3 << 16;
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSSENC = 80877104;
    /** So many queries written ahead are read; further ones wait in the socket. */
    private static final int AHEAD = 64;
    /** And no more of them than a query of the longest kind takes. */
    private static final int AHEAD_CHARS = Inbox.BOUND / 2;
    /** A startup message is due so long after the connection, and the rest of a message after its first byte. */
    private static final long OPENING = 2_000_000_000L;
    private static final long WHOLE = 2_000_000_000L;
    /** A client that takes in nothing of what is written to it for so long is given up. */
    private static final long STUCK = 5_000_000_000L;
    /** So much of what a client still sends is read after its end was told, so that it sees the message. */
    private static final int WASTE = 64 * 1024;
    /** Ids are short, and no client waits ten minutes; what is beyond is no id and no deadline. */
    private static final int LONGEST_ID = 128;
    private static final int LONGEST_MILLIS = 600_000;
    private static final int LAST_LOOK_MILLIS = 50;
    /** What a client still sends after its end was told is read so long; networks need far less. */
    static final long LINGER = 500_000_000L;

    /** A piece of work for the task: messages to write, or, without, a query (null where it was no UTF-8). */
    private record Work(String query, long arrived, Outbox messages, boolean last) {
        int length() {
            return query == null ? 0 : query.length();
        }
    }

    private final Clients clients;
    private final Desk desk;
    private final Lines lines;
    private final Socket socket;
    private final ArrayDeque<Work> work = new ArrayDeque<>();
    private int ahead;
    private boolean busy;
    private boolean over;
    private Hand hand;
    /** When it last did something, on System.nanoTime's clock. */
    private volatile long usedAt = System.nanoTime();
    /** When the write that is going on began, or 0. */
    private volatile long writesSince;
    /** Whether it has asked for something that is served here. */
    private volatile boolean known;
    /** When its end was told, or 0. */
    private volatile long endedAt;

    Client(Clients clients, Desk desk, Lines lines, Socket socket) {
        this.clients = clients;
        this.desk = desk;
        this.lines = lines;
        this.socket = socket;
    }

    long usedAt() {
        return usedAt;
    }

    // ---- The reader ---------------------------------------------------------------------------------------

    @Override
    public void run() {
        Inbox in = null;
        try {
            socket.setTcpNoDelay(true);
            in = new Inbox(socket, clients.room());
            if (!greet(in) || !read(in)) {
                linger();
            }
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
        } catch (RuntimeException | Error e) {
            LOG.error("a client's connection ends", e);
        } finally {
            leave();
            if (in != null) {
                in.release();
            }
        }
    }

    /** The opening; false when the client is sent away. */
    private boolean greet(Inbox in) throws IOException {
        long until = usedAt + OPENING;
        while (true) {
            Got got = in.opening(until);
            if (got == Got.MALFORMED || got == Got.TIMED_OUT || got == Got.CUT || got == Got.NO_ROOM) {
                return fatal("08P01", got == Got.TIMED_OUT ? "no startup message in time"
                        : got == Got.CUT ? "a startup message that is cut off"
                        : "a startup message of impossible length");
            }
            if (got != Got.MESSAGE) {
                return true;
            }
            int length = in.end() - in.at();
            int version = length < 4 ? 0 : in.int32(in.at());
            if (version == SSL || version == GSSENC) {
                socket.getOutputStream().write('N');
            } else if (version == CANCEL) {
                close();
                return true;
            } else if (version >> 16 != 3) {
                return fatal("0A000", "protocol " + (version >> 16) + "." + (version & 0xffff)
                        + " is not spoken here, 3.0 is");
            } else if (length < 5 || in.int8(in.end() - 1) != 0) {
                return fatal("08P01", "a startup message without its end");
            } else {
                Outbox out = new Outbox();
                String[] unknown = unknownOptions(in);
                if (version != VERSION_3 || unknown.length > 0) {
                    out.negotiateVersion(unknown);
                }
                if (clients.full()) {
                    return fatal("53300", "too many connections");
                }
                send(out.authenticationOk().parameterStatus("server_version", "15.0")
                        .parameterStatus("client_encoding", "UTF8").parameterStatus("server_encoding", "UTF8")
                        .parameterStatus("standard_conforming_strings", "on").backendKey(0, 0).ready());
                usedAt = System.nanoTime();
                return true;
            }
        }
    }

    /** The options of the protocol that the client asks for; none is known here. */
    private static String[] unknownOptions(Inbox in) {
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

    /** Reads frames until the client leaves; false when it is sent away. */
    private boolean read(Inbox in) throws IOException {
        boolean skipping = false;
        while (true) {
            Got got = in.next(0, WHOLE);
            if (got == Got.CLOSED) {
                return true;
            }
            if (got != Got.MESSAGE) {
                return sendAway(got == Got.CUT ? "a message that is cut off"
                        : got == Got.TIMED_OUT ? "a message whose rest did not come in time"
                        : got == Got.NO_ROOM ? "a long message while there is no room for more of them"
                        : "a message of impossible length");
            }
            usedAt = System.nanoTime();
            switch (in.type()) {
                case 'Q' -> {
                    if (!in.texts(1)) {
                        return sendAway("a query that is not one text");
                    }
                    if (!skipping) {
                        add(new Work(in.onlyText(), desk.now(), null, false));
                    }
                }
                case 'X' -> {
                    return true;
                }
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
                default -> {
                    return sendAway("a message of an unknown type");
                }
            }
        }
    }

    private boolean sendAway(String cause) throws IOException {
        add(new Work(null, 0, new Outbox().error("FATAL", "08P01", cause, null), true));
        return false;
    }

    private void add(Work next) throws IOException {
        synchronized (this) {
            while ((work.size() >= AHEAD || ahead >= AHEAD_CHARS) && !over) {
                pause(0);
            }
            work.add(next);
            ahead += next.length();
            if (busy || over) {
                return;
            }
            busy = true;
        }
        if (!clients.execute(this::serve)) {
            synchronized (this) {
                work.clear();
                busy = false;
            }
            // No thread is left to see a txn through: it is declined here, before it is taken in hand.
            send(next.messages() != null ? next.messages() : new Outbox().error("ERROR", "53300",
                    "declined, as too many txns are in hand; it has not run", null).ready());
            if (next.last()) {
                socket.shutdownOutput();
            }
        }
    }

    /** Once the end has been told, reads on for a while, so that the message is not lost by a reset. */
    private void linger() throws IOException {
        synchronized (this) {
            while (busy && !socket.isOutputShutdown()) {
                pause(0);
            }
        }
        long until = System.nanoTime() + LINGER;
        byte[] waste = new byte[4096];
        int read = 0;
        for (long left = LINGER; left > 0 && read < WASTE; left = until - System.nanoTime()) {
            socket.setSoTimeout((int) (left / 1_000_000) + 1);
            int n = socket.getInputStream().read(waste);
            if (n < 0) {
                return;
            }
            read += n;
        }
        if (read >= WASTE) {
            // What comes on and on is not read; the sender has a moment to see why before it is reset.
            synchronized (this) {
                pause(LAST_LOOK_MILLIS);
            }
        }
    }

    private void pause(long millis) throws IOException {
        try {
            wait(millis);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }

    private void leave() {
        Hand current;
        synchronized (this) {
            over = true;
            work.clear();
            current = hand;
            notifyAll();
        }
        if (current != null) {
            desk.left(current);
        }
        close();
        clients.gone(this);
    }

    private boolean fatal(String code, String message) throws IOException {
        send(new Outbox().error("FATAL", code, message, null));
        socket.shutdownOutput();
        return false;
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    /** Whether its client has shown what it is here for. */
    boolean known() {
        return known;
    }

    /** Whether its client has been told to go. */
    boolean ending() {
        return endedAt != 0;
    }

    /** Closes what its client has not closed some time after its end. */
    void sweep(long now) {
        long writes = writesSince;
        if (endedAt != 0 && now - endedAt > LINGER || writes != 0 && now - writes > STUCK) {
            close();
        }
    }

    /** Ends the connection if nothing is in hand on it; the client sees its end. */
    synchronized boolean closeIfIdle() {
        if (busy || !work.isEmpty() || over) {
            return false;
        }
        over = true;
        endedAt = System.nanoTime();
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
        return true;
    }

    // ---- The task -----------------------------------------------------------------------------------------

    private void serve() {
        boolean well = true;
        while (true) {
            Work next;
            synchronized (this) {
                next = well ? work.poll() : null;
                ahead -= next == null ? 0 : next.length();
                notifyAll();
                if (next == null) {
                    busy = false;
                    break;
                }
            }
            try {
                if (next.messages() != null) {
                    send(next.messages());
                } else if (next.query() == null) {
                    send(new Outbox().error("ERROR", "22021", "a query that is not UTF-8", null).ready());
                } else {
                    answer(next.query(), next.arrived());
                }
                if (next.last()) {
                    socket.shutdownOutput();
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
            closeIfIdle();
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
        Group group = cluster < 0 || cluster > Integer.MAX_VALUE ? null : desk.group((int) cluster);
        long budget = number(statement.value("d"));
        String after = statement.value("after");
        long written = after == null ? Word.NONE : Ending.nanos(after, 6);
        String wrong = id == null || id.isEmpty() || id.length() > LONGEST_ID ? "id"
                : type == null ? "c" : group == null ? "cluster"
                : budget <= 0 || budget > LONGEST_MILLIS ? "d"
                : after != null && written == Word.NONE ? "after" : null;
        if (wrong != null) {
            String value = statement.value(wrong);
            send(new Outbox().error("ERROR", value == null ? "42601" : "22023", value == null
                    ? "the comment lacks " + wrong : "the comment has an impossible " + wrong, null).ready());
            return;
        }
        known = true;
        Hand taken = desk.take(id, type, group, statement, written, arrived, arrived + budget * 1_000_000);
        if (taken == null) {
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

    private void send(Outbox out) throws IOException {
        if (out.size() > 0) {
            writesSince = System.nanoTime();
            out.writeTo(socket.getOutputStream());
            writesSince = 0;
        }
    }
}
