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

/** A database host, as the published protocol has it. */
public class HostStandIn implements AutoCloseable {
    /** How a host stand-in takes a statement. */
    public enum Manner {
        ANSWER,
        MISS,
        BEHIND,
        ERROR,
        FULL,
        RESET,
        CUT,
        GARBAGE,
        TWO_ROWS,
        HUGE,
        UNKNOWN,
        SILENT,
        NO_DESCRIPTION,
        TWO_COLUMNS,
        INNER_LENGTH,
        ERROR_BEHIND_ROW,
        HALF_AN_ERROR,
        ODD_TAG,
        STALL,
        TWICE
    }

    private volatile ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final int port = listener.getLocalPort();
    public final List<String> queries = new CopyOnWriteArrayList<>();
    private final List<Long> times = new CopyOnWriteArrayList<>();
    public final AtomicInteger closed = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile String role;
    public volatile Manner manner = Manner.ANSWER;
    public volatile byte[] value = {0, (byte) 0xff, 0x27};
    public volatile int delayMillis;
    public volatile int greetMillis;
    public volatile boolean closesAfterAnswer;
    public volatile boolean vanished;
    /** Where its log stands still, or 0: it follows. */
    public volatile long stoppedAt;

    public HostStandIn(String role) throws IOException {
        this.role = role;
        listen(listener);
    }

    private void listen(ServerSocket at) {
        StandInThreads.spawn(() -> {
            while (!vanished) {
                Socket socket = at.accept();
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

    /** How discovery lists it. */
    public String entry(String id, String state) {
        return entry("s-" + id, 1, state);
    }

    /** How discovery lists it, in this group. */
    public String entry(String id, int group, String state) {
        return """
                {"id":"%s","addr":"127.0.0.1:%d","zone":"east","kind":"m2","cell":%d,"state":"%s",\
                "weight":1.0,"started_ms":0,"role":"%s"}""".formatted(id, port, group, state, role);
    }

    protected void role(String next) {
        role = next;
    }

    /** Its process is gone: connections are reset and new ones refused. */
    public void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
    }

    /** Its process runs again, at the same address. */
    public void restart() throws IOException {
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        listener = again;
        listen(again);
    }

    public List<String> queries() {
        return List.copyOf(queries);
    }

    public boolean sawBefore(String part, long millis) {
        for (int i = 0; i < queries.size(); i++) {
            if (queries.get(i).contains(part) && times.get(i) < millis) {
                return true;
            }
        }
        return false;
    }

    /** Says nothing any more, on open connections and to new ones. */
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
                StandInThreads.sleep(60_000);
            }
            new MessageWriter().authenticationOk().readyForQuery().writeTo(socket.getOutputStream());
            while (in.readUnsignedByte() == 'Q') {
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                String text = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                if (vanished) {
                    StandInThreads.sleep(60_000);
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

    /** Called before each answer; returns when there may be one. */
    protected void halt() {}

    /** How many txns it holds. */
    protected int holds() {
        return 0;
    }

    /** A statement has come in whole. */
    protected void saw(String text) {
        times.add(System.currentTimeMillis());
        queries.add(text);
    }

    /** The answer to what is no txn, or null: it is one. */
    protected MessageWriter controlStatement(String text) {
        return null;
    }

    /** Runs a txn; the answer up to its ready, or null: it is lost. */
    protected MessageWriter run(String text) {
        return said().singleColumnResult("doc", value).commandComplete("SELECT 1");
    }

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
                        [new MessageWriter().singleColumnResult("doc", value).size() - 28];
                new MessageWriter()
                        .singleColumnResult("doc", value)
                        .asByteBuffer()
                        .get(28, row);
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

    protected MessageWriter said() {
        return new MessageWriter()
                .parameterStatus("node_role", role)
                .parameterStatus("replay_position", String.valueOf(position()))
                .parameterStatus("server_load", load());
    }

    /** The log position it has applied, in Unix time in milliseconds. */
    protected long position() {
        return stoppedAt != 0 ? stoppedAt : System.currentTimeMillis() - (role.equals("leader") ? 0 : 3);
    }

    private String load() {
        long at = position();
        return "x0=" + at / 1000 + "." + String.format("%03d", at % 1000) + ",x1=" + (role.equals("leader") ? 1 : 0)
                + ",inflight=" + holds();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
