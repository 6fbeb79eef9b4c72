package beaconladder.serve;

import beaconladder.api.Router.Role;
import beaconladder.api.Router.Word;
import beaconladder.pg.Inbox;
import beaconladder.pg.Inbox.Got;
import beaconladder.pg.Outbox;
import beaconladder.serve.Ending.Reach;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** A connection to a host: one exchange at a time. */
final class Line {
    private final SocketChannel channel;
    private Inbox in;
    private boolean greeted;
    /** When it was last used, on System.nanoTime's clock. */
    long usedAt = System.nanoTime();
    final InetSocketAddress address;

    Line(InetSocketAddress address) throws IOException {
        this.address = address;
        this.channel = SocketChannel.open();
    }

    /** Connects and greets; false when the host did not take the connection by then (a nanoTime). */
    boolean open(long until) {
        try {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return false;
            }
            channel.socket().setTcpNoDelay(true);
            channel.socket().connect(address, (int) Math.min(left, Integer.MAX_VALUE));
            in = new Inbox(channel.socket());
            write(Outbox.startup("app", "shop"));
            while (true) {
                if (in.next(until) != Got.MESSAGE) {
                    return false;
                }
                switch (in.type()) {
                    case 'Z' -> {
                        greeted = true;
                        return true;
                    }
                    case 'R' -> {
                        if (in.end() - in.at() < 4 || in.int32(in.at()) != 0) {
                            return false;
                        }
                    }
                    case 'S', 'K', 'N', 'v' -> { }
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
        try {
            channel.configureBlocking(false);
            int n = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return n == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a query and waits for all of its answer, until this nanoTime. */
    Ending exchange(Outbox query, long until) {
        try {
            write(query);
        } catch (IOException e) {
            return Ending.early(Reach.PART_WRITTEN);
        }
        Reach reach = Reach.WRITTEN;
        Outbox messages = new Outbox();
        Role role = Role.UNKNOWN;
        long position = Word.NONE;
        String load = null;
        String code = null;
        int rows = 0;
        boolean complete = false;
        boolean ready = false;
        Got got = Got.MESSAGE;
        while (!ready) {
            got = in.next(until);
            if (got != Got.MESSAGE) {
                break;
            }
            reach = Reach.ANSWER_BEGUN;
            switch (in.type()) {
                case 'S' -> {
                    String name = in.text(in.at());
                    String value = in.text(in.after(in.at()));
                    switch (name) {
                        case "node_role" -> role = value.equals("leader") ? Role.PRIMARY
                                : value.equals("follower") ? Role.REPLICA : Role.UNKNOWN;
                        case "replay_position" -> position = Ending.nanos(value, 6);
                        case "server_load" -> load = value;
                        default -> { }
                    }
                }
                case 'N' -> { }
                case 'T' -> in.copyTo(messages);
                case 'D' -> {
                    rows++;
                    in.copyTo(messages);
                }
                case 'C' -> {
                    complete = true;
                    in.copyTo(messages);
                }
                case 'E' -> {
                    code = String.valueOf(in.errorField('C'));
                    // After a fatal error no more comes.
                    if (!"ERROR".equals(in.errorField('S'))) {
                        return new Ending(reach, code, false, false, role, position, load, null, false);
                    }
                }
                case 'Z' -> ready = true;
                default -> got = Got.MALFORMED;
            }
            if (got != Got.MESSAGE) {
                break;
            }
        }
        boolean row = complete && rows == 1 && code == null;
        usedAt = System.nanoTime();
        return new Ending(reach, code, row, got == Got.TIMED_OUT, role, position, load, messages, ready);
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    private void write(Outbox out) throws IOException {
        ByteBuffer bytes = out.bytes();
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }
}
