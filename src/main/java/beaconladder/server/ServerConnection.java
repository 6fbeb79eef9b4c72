package beaconladder.server;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.Got;
import beaconladder.pg.MessageWriter;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Role;
import beaconladder.server.ExchangeResult.Reach;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Set;

/** A connection to a host: one exchange at a time. */
final class ServerConnection {
    /** Hosts write an answer in one go; one that has begun and takes longer has broken off. */
    private static final long WHOLE = 150_000_000;
    /** All of an answer: its value, and as much again for all that goes with it. */
    private static final int MOST = 2 * MessageReader.BOUND;
    /** What a statement of one row ends with. */
    private static final Set<String> TAGS = Set.of("SELECT 1", "INSERT 0 1", "SHOW");

    private final Socket socket;
    private final SocketChannel channel;
    private final MemoryLimit room;
    private MessageReader in;
    private boolean greeted;
    /** When it was last used, on System.nanoTime's clock. */
    long usedAt = System.nanoTime();

    final InetSocketAddress address;

    ServerConnection(InetSocketAddress address, MemoryLimit room) throws IOException {
        this.address = address;
        this.room = room;
        this.channel = SocketChannel.open();
        this.socket = channel.socket();
    }

    /** On a socket that is no channel's; it is never found to have been closed while it lay idle. */
    ServerConnection(InetSocketAddress address, MemoryLimit room, Socket socket) {
        this.address = address;
        this.room = room;
        this.socket = socket;
        this.channel = null;
    }

    /** What became of a connection that was to be opened. */
    enum Opening {
        OPEN,
        HOST_FAILED,
        LOCAL_FAULT
    }

    /** Connects and greets; the host fails when it did not take the connection by then (a nanoTime). */
    Opening open(long until) {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            return Opening.HOST_FAILED;
        }
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) Math.min(left, Integer.MAX_VALUE));
        } catch (ConnectException | NoRouteToHostException | SocketTimeoutException e) {
            return Opening.HOST_FAILED;
        } catch (IOException e) {
            // No port, no buffer, no route out: the host was never asked.
            return Opening.LOCAL_FAULT;
        }
        return greet(until) ? Opening.OPEN : Opening.HOST_FAILED;
    }

    private boolean greet(long until) {
        try {
            in = new MessageReader(socket, room);
            write(MessageWriter.startup("app", "shop"));
            while (true) {
                if (in.next(until, WHOLE) != Got.MESSAGE) {
                    return false;
                }
                switch (in.type()) {
                    case 'Z' -> {
                        greeted = !in.more();
                        return greeted;
                    }
                    case 'R' -> {
                        if (in.end() - in.at() < 4 || in.int32(in.at()) != 0) {
                            return false;
                        }
                    }
                    case 'S', 'K', 'N', 'v' -> {}
                    default -> {
                        return false;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Whether the host has taken this connection. */
    boolean greeted() {
        return greeted;
    }

    /** Whether a connection that lay idle is still of use: open, with nothing unasked in it. */
    boolean alive() {
        if (in.more()) {
            return false;
        }
        if (channel == null) {
            return true;
        }
        try {
            channel.configureBlocking(false);
            int n = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return n == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a query; false where its last byte did not go. */
    boolean send(MessageWriter query) {
        try {
            write(query);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits for all of the answer, until this nanoTime. */
    ExchangeResult receive(long until) {
        ExchangeResult ending = answer(until);
        usedAt = System.nanoTime();
        return ending;
    }

    /**
     * The answer, judged whole: a description of one column, one row, a tag, or an error; then ready. Any other order,
     * count or length makes it spoilt, and then nothing that it said counts.
     */
    private ExchangeResult answer(long until) {
        Reach reach = Reach.WRITTEN;
        MessageWriter messages = new MessageWriter();
        Role role = Role.UNKNOWN;
        long position = HostReport.NO_POSITION;
        String load = null;
        String code = null;
        // What may come next: T, D, C in turn, or E in place of T; Z after C or E.
        char due = 'T';
        int read = 0;
        long end = until;
        while (true) {
            Got got = in.next(end, WHOLE);
            if (got != Got.MESSAGE) {
                if (got == Got.CLOSED) {
                    // A whole error may be a host's last word.
                    return new ExchangeResult(reach, code, false, false, role, position, load, null, false);
                }
                boolean silent = got == Got.TIMED_OUT && reach == Reach.WRITTEN && !in.more();
                return silent || got == Got.CUT ? ExchangeResult.broken(reach, silent) : ExchangeResult.spoilt();
            }
            if (reach == Reach.WRITTEN) {
                reach = Reach.ANSWER_BEGUN;
                end = Math.min(until, System.nanoTime() + WHOLE);
            }
            read += in.end() - in.at();
            char type = in.type();
            boolean good = read <= MOST
                    && switch (type) {
                        case 'S' -> in.texts(2);
                        case 'N' -> in.isError();
                        case 'T' -> due == 'T' && in.describesOneColumn();
                        case 'D' -> due == 'D' && in.isRowOfOne();
                        case 'C' -> due == 'C' && in.texts(1) && TAGS.contains(in.text(in.at()));
                        case 'E' -> due == 'T' && in.isError();
                        case 'Z' -> due == 'Z' && in.end() - in.at() == 1 && "ITE".indexOf(in.int8(in.at())) >= 0;
                        default -> false;
                    };
            if (!good) {
                return ExchangeResult.spoilt();
            }
            switch (type) {
                case 'S' -> {
                    String value = in.text(in.after(in.at()));
                    switch (in.text(in.at())) {
                        case "node_role" ->
                            role = value.equals("leader")
                                    ? Role.PRIMARY
                                    : value.equals("follower") ? Role.REPLICA : Role.UNKNOWN;
                        case "replay_position" -> position = LoadReportParser.parsePositionNanos(value, 6);
                        case "server_load" -> load = value;
                        default -> {}
                    }
                }
                case 'T', 'D', 'C' -> {
                    in.copyTo(messages);
                    due = type == 'T' ? 'D' : type == 'D' ? 'C' : 'Z';
                }
                case 'E' -> {
                    code = in.errorField('C');
                    due = 'Z';
                    // After a fatal error no more comes.
                    if (!"ERROR".equals(in.errorField('S'))) {
                        return new ExchangeResult(reach, code, false, false, role, position, load, null, false);
                    }
                }
                case 'Z' -> {
                    return new ExchangeResult(
                            reach, code, code == null, false, role, position, load, messages, !in.more());
                }
                default -> {}
            }
        }
    }

    /** To be called by the thread that reads, or once none does. */
    void release() {
        close();
        if (in != null) {
            in.release();
        }
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    private void write(MessageWriter out) throws IOException {
        out.writeTo(socket.getOutputStream());
    }
}
