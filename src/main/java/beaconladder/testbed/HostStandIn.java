package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a database host: accepts connections on a loopback port, speaks the hosts' side of the published
 * protocol and handles each statement in a configurable manner.
 */
public class HostStandIn implements AutoCloseable {
    /** How a host stand-in handles a statement. */
    public enum Manner {
        /** Runs the statement and answers it. */
        ANSWER,
        /** Rejects the statement because this host is not the primary (SQLSTATE 25006). */
        MISS,
        /** Rejects the statement because the host's log position is too old (SQLSTATE 72000). */
        BEHIND,
        /** Fails with an internal error (SQLSTATE XX000). */
        ERROR,
        /** Rejects the statement as full (SQLSTATE 53300). */
        FULL,
        /** Resets the connection without an answer. */
        RESET,
        /** Closes the connection in the middle of a row. */
        CUT,
        /** Answers with text of another protocol. */
        GARBAGE,
        /** Answers with two results in place of one. */
        TWO_ROWS,
        /** Announces a row of the greatest length that the protocol allows. */
        HUGE,
        /** Sends a message of a type that does not belong in an answer. */
        UNKNOWN,
        /** Reads the statement and sends nothing. */
        SILENT,
        /** Sends the row without its row description. */
        NO_DESCRIPTION,
        /** Announces two columns in place of one. */
        TWO_COLUMNS,
        /** Sends a row whose column length is one byte less than the length of the message implies. */
        INNER_LENGTH,
        /** Sends a row and then an error (SQLSTATE 53300). */
        ERROR_BEHIND_ROW,
        /** Sends an error message that ends in the middle of its first field. */
        HALF_AN_ERROR,
        /** Completes the statement with an unknown command tag. */
        ODD_TAG,
        /** Sends the beginning of a row description and nothing more. */
        STALL,
        /** Sends the whole answer twice. */
        TWICE
    }

    private static final int BACKLOG = 200;
    /** How long a vanished host keeps a connection open without a byte. */
    private static final int SILENCE_MILLIS = 60_000;

    private static final int REPLICA_LAG_MILLIS = 3;
    /** The length of the row description that precedes the row in a result with the one column {@code doc}. */
    private static final int ROW_DESCRIPTION_BYTES = 28;

    private volatile ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final int port = listener.getLocalPort();
    /** The statements received so far, in the order of their arrival. */
    public final List<String> queries = new CopyOnWriteArrayList<>();
    /** When each of {@link #queries} arrived, in Unix time in milliseconds. */
    private final List<Long> arrivalsMillis = new CopyOnWriteArrayList<>();
    /** The number of connections that ended from the other side. */
    public final AtomicInteger closed = new AtomicInteger();

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    /** The role in the protocol's words: {@code leader} for a primary, {@code follower} for a replica. */
    private volatile String role;

    public volatile Manner manner = Manner.ANSWER;

    /** The column value of each answer. */
    public volatile byte[] value = {0, (byte) 0xff, 0x27};
    /** How long each answer is delayed. */
    public volatile int delayMillis;
    /** How long the answer to a startup message is delayed. */
    public volatile int greetMillis;

    public volatile boolean closesAfterAnswer;
    /** Whether the host has stopped sending for good. */
    public volatile boolean vanished;
    /** The position at which replay has stopped, in Unix time in milliseconds, or 0 while the position advances. */
    public volatile long stoppedAt;

    /** Starts a host with the given role, {@code leader} or {@code follower}, on a free port. */
    public HostStandIn(String role) throws IOException {
        this.role = role;
        listen(listener);
    }

    private void listen(ServerSocket serverSocket) {
        StandInThreads.spawn(() -> {
            while (!vanished) {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                StandInThreads.spawn(() -> {
                    try {
                        serve(socket);
                    } finally {
                        sockets.remove(socket);
                    }
                });
            }
        });
    }

    public int port() {
        return port;
    }

    /** Returns the host's entry in the endpoint list, in group 1. */
    public String entry(String id, String state) {
        return entry("s-" + id, 1, state);
    }

    /** Returns the host's entry in the endpoint list, in the given group. */
    public String entry(String id, int group, String state) {
        return """
                {"id":"%s","addr":"127.0.0.1:%d","zone":"east","kind":"m2","cell":%d,"state":"%s",\
                "weight":1.0,"started_ms":0,"role":"%s"}""".formatted(id, port, group, state, role);
    }

    /** Changes the role that the host reports, {@code leader} or {@code follower}. */
    protected void role(String newRole) {
        role = newRole;
    }

    /** Simulates the end of the host's process: resets open connections and refuses new ones. */
    public void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
    }

    /** Simulates a new process at the same address: listens again on the same port. */
    public void restart() throws IOException {
        ServerSocket newListener = new ServerSocket();
        newListener.setReuseAddress(true);
        newListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listener = newListener;
        listen(newListener);
    }

    public List<String> queries() {
        return List.copyOf(queries);
    }

    /** Returns whether a statement that contains this text arrived before a Unix time in milliseconds. */
    public boolean sawBefore(String text, long beforeMillis) {
        for (int i = 0; i < queries.size(); i++) {
            if (queries.get(i).contains(text) && arrivalsMillis.get(i) < beforeMillis) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a statement with this text arrived at or after this Unix time in milliseconds. */
    public boolean sawAfter(String text, long afterMillis) {
        for (int i = 0; i < queries.size(); i++) {
            if (queries.get(i).contains(text) && arrivalsMillis.get(i) >= afterMillis) {
                return true;
            }
        }
        return false;
    }

    /** Stops sending for good, on open connections and on new ones, without closing any. */
    public void vanish() {
        vanished = true;
        manner = Manner.SILENT;
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readFully(new byte[in.readInt() - 4]);
            StandInThreads.sleep(greetMillis);
            if (vanished) {
                StandInThreads.sleep(SILENCE_MILLIS);
            }
            new MessageWriter().authenticationOk().readyForQuery().writeTo(socket.getOutputStream());
            while (in.readUnsignedByte() == 'Q') {
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                String text = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                if (vanished) {
                    StandInThreads.sleep(SILENCE_MILLIS);
                }
                halt();
                if (text.equals("SELECT 1") || text.equals("SHOW server_load")) {
                    byte[] cell =
                            text.equals("SELECT 1") ? new byte[] {'1'} : load().getBytes(StandardCharsets.US_ASCII);
                    new MessageWriter()
                            .singleColumnResult("x", cell)
                            .commandComplete("SELECT 1")
                            .readyForQuery()
                            .writeTo(socket.getOutputStream());
                    continue;
                }
                MessageWriter controlStatement = controlStatement(text);
                if (controlStatement != null) {
                    controlStatement.writeTo(socket.getOutputStream());
                    continue;
                }
                saw(text);
                StandInThreads.sleep(delayMillis);
                if (!answer(socket, text) || closesAfterAnswer) {
                    return;
                }
            }
        } catch (EOFException e) {
            closed.incrementAndGet();
        }
    }

    /** Blocks for as long as the host may not answer; called for each statement before it is handled. */
    protected void halt() {}

    /** Returns the number of requests in progress, as reported in the host's load. */
    protected int holds() {
        return 0;
    }

    /** Records a request that has arrived in full; probes and control statements are not reported here. */
    protected void saw(String text) {
        arrivalsMillis.add(System.currentTimeMillis());
        queries.add(text);
    }

    /** Returns the answer to a control statement, or null if the statement is a request. */
    protected MessageWriter controlStatement(String text) {
        return null;
    }

    /**
     * Runs a request. Returns its answer without the final ReadyForQuery, or null to close the connection without an
     * answer.
     */
    protected MessageWriter run(String text) {
        return said().singleColumnResult("doc", value).commandComplete("SELECT 1");
    }

    /** Handles a statement in the current manner; returns false if the connection is to be closed. */
    private boolean answer(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        switch (manner) {
            case ANSWER -> {
                MessageWriter answer = run(text);
                if (answer == null) {
                    return false;
                }
                answer.readyForQuery().writeTo(out);
            }
            case MISS ->
                said().error("ERROR", "25006", "no primary", null)
                        .readyForQuery()
                        .writeTo(out);
            case BEHIND ->
                said().error("ERROR", "72000", "behind", null).readyForQuery().writeTo(out);
            case ERROR ->
                said().error("ERROR", "XX000", "broken", null).readyForQuery().writeTo(out);
            case FULL ->
                said().error("ERROR", "53300", "full", null).readyForQuery().writeTo(out);
            case CUT -> out.write(new byte[] {'D', 0, 0, 1, 0, 0, 1, 0, 0});
            case GARBAGE -> out.write("HTTP/1.1 400 Bad\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            case TWO_ROWS ->
                said().singleColumnResult("doc", value)
                        .singleColumnResult("doc", value)
                        .commandComplete("SELECT")
                        .readyForQuery()
                        .writeTo(out);
            case HUGE ->
                out.write(ByteBuffer.allocate(5)
                        .put((byte) 'D')
                        .putInt(0x7fffffff)
                        .array());
            case UNKNOWN -> out.write(new byte[] {'G', 0, 0, 0, 4});
            case NO_DESCRIPTION -> {
                byte[] row = new byte
                        [new MessageWriter().singleColumnResult("doc", value).size() - ROW_DESCRIPTION_BYTES];
                new MessageWriter()
                        .singleColumnResult("doc", value)
                        .asByteBuffer()
                        .get(ROW_DESCRIPTION_BYTES, row);
                said().append(row, 0, row.length)
                        .commandComplete("SELECT 1")
                        .readyForQuery()
                        .writeTo(out);
            }
            case TWO_COLUMNS -> out.write(new byte[] {'T', 0, 0, 0, 6, 0, 2});
            case INNER_LENGTH -> {
                MessageWriter row = said().singleColumnResult("doc", value);
                row.asByteBuffer().put(row.size() - value.length - 1, (byte) (value.length - 1));
                row.commandComplete("SELECT 1").readyForQuery().writeTo(out);
            }
            case ERROR_BEHIND_ROW ->
                said().singleColumnResult("doc", value)
                        .error("ERROR", "53300", "full", null)
                        .readyForQuery()
                        .writeTo(out);
            case HALF_AN_ERROR -> out.write(HexFormat.of().parseHex("45000000095335333330" + "30" + "5a0000000549"));
            case ODD_TAG ->
                said().singleColumnResult("doc", value)
                        .commandComplete("GARBAGE")
                        .readyForQuery()
                        .writeTo(out);
            case STALL -> out.write(new byte[] {'T', 0, 0, 0, 28, 0, 1, 'd'});
            case TWICE ->
                said().singleColumnResult("doc", value)
                        .commandComplete("SELECT 1")
                        .readyForQuery()
                        .append(said().singleColumnResult("doc", value)
                                .commandComplete("SELECT 1")
                                .readyForQuery())
                        .writeTo(out);
            case RESET -> socket.setSoLinger(true, 0);
            case SILENT -> {
                if (socket.getInputStream().read() < 0) {
                    closed.incrementAndGet();
                }
                return false;
            }
        }
        return manner != Manner.CUT && manner != Manner.RESET;
    }

    /** Returns a message that begins with the host's role, position and load as parameters. */
    protected MessageWriter said() {
        return new MessageWriter()
                .parameterStatus("node_role", role)
                .parameterStatus("replay_position", String.valueOf(position()))
                .parameterStatus("server_load", load());
    }

    /** Returns the log position that the host has applied, in Unix time in milliseconds. */
    protected long position() {
        return stoppedAt != 0
                ? stoppedAt
                : System.currentTimeMillis() - (role.equals("leader") ? 0 : REPLICA_LAG_MILLIS);
    }

    private String load() {
        long positionMillis = position();
        return "x0=" + positionMillis / 1000 + "." + String.format("%03d", positionMillis % 1000) + ",x1="
                + (role.equals("leader") ? 1 : 0) + ",inflight=" + holds();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
