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

/**
 * Well-behaved clients that write and read at any router. Each session records what it has committed, so that the
 * checker can compare each answer with it.
 */
final class ClientLoad implements AutoCloseable {
    /** The time that a request has, sent as its {@code d} parameter. */
    static final int BUDGET_MILLIS = 1_000;
    /** How old the data of a bounded read ({@code fresh}) may be. */
    static final int BOUND_MILLIS = 500;
    /** How long after the end of a request's time a client waits before it records that no answer came. */
    private static final int ANSWER_GRACE_MILLIS = 700;

    /** A request is excused if its router was impaired or restored after it was sent, or at most this long before. */
    private static final int IMPAIRMENT_MARGIN_MILLIS = 100;

    private static final int READ_TIMEOUT_MILLIS = 3_000;
    private static final int JOIN_MILLIS = 5_000;

    /** The routers that the clients connect to, and when each was last impaired. */
    interface Routers {
        int count();

        int port(int router);

        /**
         * Returns when the router was last started, stopped or cut off from the coordinator, in Unix milliseconds;
         * {@code Long.MAX_VALUE} while it is impaired.
         */
        long impairedSinceMillis(int router);
    }

    /** A session on one key of a tenant, with the versions that its client has written. */
    private static final class Session {
        private static final int MAX_COMMITS = 64;

        private final String tenant;
        private final String key;
        private final int cell;
        private final int group;
        /** The newest version that the client has tried to write. */
        private long lastAttempted;
        /** The newest version that is known to be committed. */
        private long committed;

        private String committedId;
        /** The position that the session's own reads require, in Unix milliseconds, or 0 before the first commit. */
        private long afterMillis;
        /** The last {@link #MAX_COMMITS} commits, oldest first, to check bounded reads. */
        private final ArrayDeque<Commit> commits = new ArrayDeque<>();

        Session(String tenant, String key, int cell, int group) {
            this.tenant = tenant;
            this.key = key;
            this.cell = cell;
            this.group = group;
        }

        /** Returns the newest version that was committed by a Unix time in milliseconds; version 0 if there is none. */
        Commit committedBy(long millis) {
            Commit newest = new Commit(0, 0, null);
            for (Commit commit : commits) {
                newest = commit.atMillis() <= millis && commit.version() > newest.version() ? commit : newest;
            }
            return newest;
        }
    }

    private record Commit(long atMillis, long version, String id) {}

    /** A connection to a router, with the result of the last request on it. */
    static final class Line implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;
        final int router;
        /** The SQLSTATE of the last answer, or null if it was no error. */
        private String code;
        /** The column value of the last answer, or null if it had no row. */
        private byte[] value;
        /** The text of the last error. */
        String message = "";

        /** Connects to a router and reads its greeting. */
        Line(int port, int router) throws IOException {
            this.router = router;
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
            answer();
        }

        void send(String query) throws IOException {
            MessageWriter.query(query).writeTo(socket.getOutputStream());
        }

        /** Reads up to the next ReadyForQuery; returns false if the connection ends before it. */
        boolean answer() throws IOException {
            code = null;
            value = null;
            try {
                while (true) {
                    char type = (char) in.readUnsignedByte();
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    switch (type) {
                        case 'D' -> value = java.util.Arrays.copyOfRange(body, 6, body.length);
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

        /** Sets how long a read waits, at least 1 ms. */
        void timeout(int millis) throws IOException {
            socket.setSoTimeout(Math.max(1, millis));
        }

        /** Returns whether bytes have arrived that are not yet read. */
        boolean hasUnreadBytes() throws IOException {
            return in.available() > 0;
        }

        /** Returns the SQLSTATE of the last answer, or null if it was no error. */
        String code() {
            return code;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is of no further use in either case.
            }
        }
    }

    private final InvariantChecker checker;
    private final Routers routers;
    private final String keyPrefix;
    private final AtomicLong ids = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Starts the clients.
     *
     * @param tenants the names of the tenants
     * @param cellsOfTenants the number of each tenant's cell
     * @param groupsOfTenants the number of the group that each tenant's requests name
     * @param keyPrefix the prefix of the names of keys and of request ids
     * @param clients the number of threads, each with its own sessions
     * @param meanPauseMillis the mean pause before a client's next requests, in milliseconds
     * @param seed the seed of the clients' random choices
     */
    ClientLoad(
            InvariantChecker checker,
            Routers routers,
            List<String> tenants,
            int[] cellsOfTenants,
            int[] groupsOfTenants,
            String keyPrefix,
            int clients,
            int meanPauseMillis,
            long seed) {
        this.checker = checker;
        this.keyPrefix = keyPrefix;
        this.routers = routers;
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < clients; i++) {
            List<Session> ownSessions = new ArrayList<>();
            for (int t = i; t < tenants.size(); t += clients) {
                ownSessions.add(new Session(tenants.get(t), keyPrefix + i, cellsOfTenants[t], groupsOfTenants[t]));
            }
            if (ownSessions.isEmpty()) {
                int t = i % tenants.size();
                ownSessions.add(new Session(tenants.get(t), keyPrefix + i, cellsOfTenants[t], groupsOfTenants[t]));
            }
            SplittableRandom clientRandom = random.split();
            threads.add(StandInThreads.spawn(() -> runClient(ownSessions, clientRandom, meanPauseMillis)));
        }
    }

    private void runClient(List<Session> sessions, SplittableRandom random, int meanPauseMillis) {
        Line line = null;
        while (!stopped) {
            StandInThreads.sleep(random.nextInt(2 * meanPauseMillis + 1));
            Session session = sessions.get(random.nextInt(sessions.size()));
            int percentile = random.nextInt(100);
            // A session reads soon after its write and often at another router, where a stale read would show.
            List<String> requestTypes = percentile < 45
                    ? List.of("write", "own")
                    : percentile < 55
                            ? List.of("token", "own")
                            : percentile < 75 ? List.of("fresh") : percentile < 90 ? List.of("any") : List.of("own");
            for (String type : requestTypes) {
                int router = random.nextInt(routers.count());
                if (line == null || random.nextInt(3) == 0) {
                    close(line);
                    line = open(router, random);
                }
                if (line == null || !request(line, session, type)) {
                    close(line);
                    line = null;
                }
            }
        }
        close(line);
    }

    /** Connects to a router, or to the next ones if that fails; returns null after two rounds without success. */
    private Line open(int firstRouter, SplittableRandom random) {
        for (int i = 0; i < 2 * routers.count() && !stopped; i++) {
            int router = (firstRouter + i) % routers.count();
            try {
                return new Line(routers.port(router), router);
            } catch (IOException e) {
                StandInThreads.sleep(random.nextInt(20));
            }
        }
        return null;
    }

    private static void close(Line line) {
        if (line != null) {
            line.close();
        }
    }

    /** Returns the statement of a request, with its parameters in a comment. */
    static String query(
            String id,
            String type,
            String tenant,
            String key,
            int group,
            long version,
            long afterMillis,
            int budgetMillis) {
        String comment = " /* id=" + id + ",c=" + type + ",t=" + tenant + ",d=" + budgetMillis + ",cluster=" + group
                + (afterMillis > 0 ? ",after=" + afterMillis : "") + " */";
        return type.equals("write") || type.equals("token")
                ? "INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x" + String.format("%016x", version)
                        + "') RETURNING doc" + comment
                : "SELECT doc FROM items WHERE id = '" + key + "'" + comment;
    }

    /** Sends a request and records its result; returns false if the connection is of no further use. */
    private boolean request(Line line, Session session, String type) {
        String id = keyPrefix + "x" + Long.toHexString(ids.incrementAndGet());
        boolean write = type.equals("write") || type.equals("token");
        long version = write ? ++session.lastAttempted : 0;
        long sentAtMillis = System.currentTimeMillis();
        Commit oldestAllowed = type.equals("own")
                ? new Commit(0, session.committed, session.committedId)
                : session.committedBy(type.equals("fresh") ? sentAtMillis - BOUND_MILLIS : 0);
        End end;
        boolean answerComplete = false;
        boolean extraAnswer = false;
        try {
            line.timeout(BUDGET_MILLIS + ANSWER_GRACE_MILLIS);
            line.send(query(
                    id,
                    type,
                    session.tenant,
                    session.key,
                    session.group,
                    version,
                    type.equals("own") ? session.afterMillis : 0,
                    BUDGET_MILLIS));
            answerComplete = line.answer();
            end = !answerComplete && line.code() == null ? End.CUT : outcome(line.code());
            extraAnswer = answerComplete && line.hasUnreadBytes();
        } catch (SocketTimeoutException e) {
            end = End.NONE;
        } catch (IOException e) {
            end = End.CUT;
        }
        long answeredAtMillis = System.currentTimeMillis();
        if (end == End.COMMITTED) {
            version = line.value != null && line.value.length >= 8
                    ? ByteBuffer.wrap(line.value).getLong()
                    : -1;
            if (write) {
                session.committed = version;
                session.committedId = id;
                // The write committed before its answer arrived, so the current time is a position that covers it.
                session.afterMillis = answeredAtMillis;
                session.commits.add(new Commit(answeredAtMillis, version, id));
                while (session.commits.size() > Session.MAX_COMMITS) {
                    session.commits.poll();
                }
            }
        }
        boolean excused = routers.impairedSinceMillis(line.router) >= sentAtMillis - IMPAIRMENT_MARGIN_MILLIS;
        checker.asked.add(new Asked(
                id,
                session.tenant,
                session.key,
                type,
                session.cell,
                line.router,
                sentAtMillis,
                answeredAtMillis,
                BUDGET_MILLIS,
                end,
                end == End.COMMITTED ? version : write ? session.lastAttempted : -1,
                oldestAllowed.version(),
                oldestAllowed.id(),
                session.lastAttempted,
                excused,
                extraAnswer,
                line.message));
        return answerComplete && end != End.NONE;
    }

    /** Returns the outcome that an answer with this SQLSTATE, or null for none, reports. */
    private static End outcome(String code) {
        return code == null
                ? End.COMMITTED
                : switch (code) {
                    case "53300", "57P03" -> End.DECLINED;
                    case "40003" -> End.ROLLED_BACK;
                    default -> End.ERROR;
                };
    }

    /** Lets the clients run for a time. */
    void await(long millis) {
        StandInThreads.sleep(millis);
    }

    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            StandInThreads.join(thread, JOIN_MILLIS);
        }
    }
}
