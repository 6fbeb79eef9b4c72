package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.InvariantChecker.Asked;
import beaconladder.testbed.InvariantChecker.End;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** Usual clients: sessions that write and read what they wrote, at any router; each keeps its own truth. */
final class ClientLoad implements AutoCloseable {
    static final int BUDGET_MILLIS = 1_000;
    static final int BOUND_MILLIS = 500;
    /** A client counts on an answer so long after its time at the latest; then none comes. */
    private static final int PATIENCE_MILLIS = 700;

    /** Where clients find a router, and whether it is well. */
    interface Routers {
        int count();

        int port(int router);

        /** When the router was last started, stopped or cut off from its life, in Unix milliseconds. */
        long impairedSinceMillis(int router);
    }

    /** A session: a tenant's key, with the versions its client knows of. */
    private static final class Session {
        private final String tenant;
        private final String key;
        private final int cell;
        private final int group;
        private long tried;
        private long committed;
        private String committedId;
        private long after;
        /** Commits by time, for bounded reads. */
        private final ArrayDeque<Commit> commits = new ArrayDeque<>();

        Session(String tenant, String key, int cell, int group) {
            this.tenant = tenant;
            this.key = key;
            this.cell = cell;
            this.group = group;
        }

        /** The newest version that was committed by then. */
        Commit committedBy(long millis) {
            Commit newest = new Commit(0, 0, null);
            for (Commit commit : commits) {
                newest = commit.at() <= millis && commit.version() > newest.version() ? commit : newest;
            }
            return newest;
        }
    }

    private record Commit(long at, long version, String id) {}

    /** One connection to one router. */
    static final class Line implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;
        final int router;
        private String code;
        private byte[] cell;
        String message = "";

        Line(int port, int router) throws IOException {
            this.router = router;
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            socket.setSoTimeout(3_000);
            MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
            answer();
        }

        void send(String query) throws IOException {
            MessageWriter.query(query).writeTo(socket.getOutputStream());
        }

        /** Reads up to the next ready; false at the end of the connection. */
        boolean answer() throws IOException {
            code = null;
            cell = null;
            try {
                while (true) {
                    char type = (char) in.readUnsignedByte();
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    switch (type) {
                        case 'D' -> cell = java.util.Arrays.copyOfRange(body, 6, body.length);
                        case 'E' -> {
                            String text = new String(body, StandardCharsets.UTF_8);
                            code = text.replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
                            message = text.replaceAll("(?s).*\0M([^\0]*)\0.*", "$1");
                        }
                        case 'Z' -> {
                            return true;
                        }
                        default -> {}
                    }
                }
            } catch (EOFException e) {
                return false;
            }
        }

        void timeout(int millis) throws IOException {
            socket.setSoTimeout(Math.max(1, millis));
        }

        boolean more() throws IOException {
            return in.available() > 0;
        }

        String code() {
            return code;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone either way.
            }
        }
    }

    private final InvariantChecker judge;
    private final Routers doors;
    private final String keys;
    private final AtomicLong ids = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Clients that start at once.
     *
     * @param tenants names; tenant i lives in cell homes[i] and names group groups[i]
     * @param keys what the names of their keys begin with
     * @param clients threads, each with sessions of its own
     * @param restMillis between two txns of a client, on average
     */
    ClientLoad(
            InvariantChecker judge,
            Routers doors,
            List<String> tenants,
            int[] homes,
            int[] groups,
            String keys,
            int clients,
            int restMillis,
            long seed) {
        this.judge = judge;
        this.keys = keys;
        this.doors = doors;
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < clients; i++) {
            List<Session> own = new ArrayList<>();
            for (int t = i; t < tenants.size(); t += clients) {
                own.add(new Session(tenants.get(t), keys + i, homes[t], groups[t]));
            }
            if (own.isEmpty()) {
                int t = i % tenants.size();
                own.add(new Session(tenants.get(t), keys + i, homes[t], groups[t]));
            }
            SplittableRandom mine = chance.split();
            threads.add(StandInThreads.spawn(() -> live(own, mine, restMillis)));
        }
    }

    private void live(List<Session> sessions, SplittableRandom chance, int restMillis) {
        Line line = null;
        while (!stopped) {
            StandInThreads.sleep(chance.nextInt(2 * restMillis + 1));
            Session session = sessions.get(chance.nextInt(sessions.size()));
            int dice = chance.nextInt(100);
            // A session's read comes soon after its write, and often at another router.
            List<String> steps = dice < 45
                    ? List.of("write", "own")
                    : dice < 55
                            ? List.of("token", "own")
                            : dice < 75 ? List.of("fresh") : dice < 90 ? List.of("any") : List.of("own");
            for (String type : steps) {
                int router = chance.nextInt(doors.count());
                if (line == null || chance.nextInt(3) == 0) {
                    close(line);
                    line = open(router, chance);
                }
                if (line == null || !ask(line, session, type)) {
                    close(line);
                    line = null;
                }
            }
        }
        close(line);
    }

    private Line open(int first, SplittableRandom chance) {
        for (int i = 0; i < 2 * doors.count() && !stopped; i++) {
            int router = (first + i) % doors.count();
            try {
                return new Line(doors.port(router), router);
            } catch (IOException e) {
                StandInThreads.sleep(chance.nextInt(20));
            }
        }
        return null;
    }

    private static void close(Line line) {
        if (line != null) {
            line.close();
        }
    }

    static String query(
            String id, String type, String tenant, String key, int group, long version, long after, int budget) {
        String comment = " /* id=" + id + ",c=" + type + ",t=" + tenant + ",d=" + budget + ",cluster=" + group
                + (after > 0 ? ",after=" + after : "") + " */";
        return type.equals("write") || type.equals("token")
                ? "INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x" + String.format("%016x", version)
                        + "') RETURNING doc" + comment
                : "SELECT doc FROM items WHERE id = '" + key + "'" + comment;
    }

    /** Asks one txn and notes what came of it; false when the connection is of no further use. */
    private boolean ask(Line line, Session session, String type) {
        String id = keys + "x" + Long.toHexString(ids.incrementAndGet());
        boolean write = type.equals("write") || type.equals("token");
        long version = write ? ++session.tried : 0;
        long sent = System.currentTimeMillis();
        Commit least = type.equals("own")
                ? new Commit(0, session.committed, session.committedId)
                : session.committedBy(type.equals("fresh") ? sent - BOUND_MILLIS : 0);
        End end;
        boolean good = false;
        boolean extra = false;
        try {
            line.timeout(BUDGET_MILLIS + PATIENCE_MILLIS);
            line.send(query(
                    id,
                    type,
                    session.tenant,
                    session.key,
                    session.group,
                    version,
                    type.equals("own") ? session.after : 0,
                    BUDGET_MILLIS));
            good = line.answer();
            end = !good && line.code() == null ? End.CUT : end(line.code());
            extra = good && line.more();
        } catch (SocketTimeoutException e) {
            end = End.NONE;
        } catch (IOException e) {
            end = End.CUT;
        }
        long answered = System.currentTimeMillis();
        if (end == End.COMMITTED) {
            version = line.cell != null && line.cell.length >= 8
                    ? ByteBuffer.wrap(line.cell).getLong()
                    : -1;
            if (write) {
                session.committed = version;
                session.committedId = id;
                // The commit lies before its answer: a mark of this moment covers it.
                session.after = answered;
                session.commits.add(new Commit(answered, version, id));
                while (session.commits.size() > 64) {
                    session.commits.poll();
                }
            }
        }
        boolean excused = doors.impairedSinceMillis(line.router) >= sent - 100;
        judge.asked.add(new Asked(
                id,
                session.tenant,
                session.key,
                type,
                session.cell,
                line.router,
                sent,
                answered,
                BUDGET_MILLIS,
                end,
                end == End.COMMITTED ? version : write ? session.tried : -1,
                least.version(),
                least.id(),
                session.tried,
                excused,
                extra,
                line.message));
        return good && end != End.NONE;
    }

    private static End end(String code) {
        return code == null
                ? End.COMMITTED
                : switch (code) {
                    case "53300", "57P03" -> End.DECLINED;
                    case "40003" -> End.ROLLED_BACK;
                    default -> End.ERROR;
                };
    }

    /** Lets it run on by itself for so long. */
    void await(long millis) {
        StandInThreads.sleep(millis);
    }

    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            StandInThreads.join(thread, 5_000);
        }
    }
}
