package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * A client on one connection. It describes each answer as text: one word per message, its type and for some types a
 * colon and a value.
 */
public final class TestClient implements AutoCloseable {
    /**
     * How long to wait for a reset. A selector releases a closed connection within 50 ms, and scenarios stop a process
     * for 200 ms.
     */
    private static final int RESET_DELAY_MILLIS = 450;

    private static final int READ_TIMEOUT_MILLIS = 15_000;

    public final OutputStream out;
    private final Socket socket;
    private final DataInputStream in;
    /** Whether the other side is known to have reset the connection. */
    private boolean reset;
    /** The text of the last error. */
    public String message = "";

    public TestClient(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        out = socket.getOutputStream();
        in = new DataInputStream(socket.getInputStream());
    }

    /** Sends a query and returns the description of the answer, or "closed" if the query can't be sent. */
    public String ask(String query) throws IOException {
        try {
            MessageWriter.query(query).writeTo(out);
        } catch (SocketException e) {
            return "closed";
        }
        return answer();
    }

    /** Returns the description of the messages up to the next ReadyForQuery or the end of the connection. */
    public String answer() throws IOException {
        StringBuilder description = new StringBuilder();
        try {
            while (true) {
                char type = (char) in.readUnsignedByte();
                if (type == 'N') {
                    description.append("N ");
                    continue;
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                String text = new String(body, StandardCharsets.UTF_8);
                if (type == 'E') {
                    message = text.replaceAll("(?s).*\0M([^\0]*)\0.*", "$1");
                }
                description
                        .append(type)
                        .append(
                                switch (type) {
                                    case 'D' -> ":" + HexFormat.of().formatHex(body, 6, Math.min(body.length, 16));
                                    case 'C' -> ":" + text.substring(0, text.length() - 1);
                                    case 'E' -> ":" + text.replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
                                    default -> "";
                                });
                if (type == 'Z') {
                    return description.toString();
                }
                description.append(' ');
            }
        } catch (EOFException e) {
            return description + "closed";
        } catch (SocketException e) {
            reset = true;
            return description + "closed";
        }
    }

    /**
     * Returns whether the other side closed the connection while bytes from this client were unread, so that the router
     * is known not to have taken them. The operating system then sends a reset, with the end of the connection or
     * shortly after it.
     */
    public boolean reset() throws IOException {
        if (!reset) {
            StandInThreads.sleep(RESET_DELAY_MILLIS);
            try {
                out.write('S');
            } catch (SocketException e) {
                reset = true;
            }
        }
        return reset;
    }

    /** Returns whether a read found that the other side has reset the connection, so that no orderly end came first. */
    public boolean endedByReset() {
        return reset;
    }

    /** Returns the number of bytes that have arrived and are not yet read. */
    public int waiting() throws IOException {
        return in.available();
    }

    /** Returns the description of all messages up to the end of the connection. */
    public String rest() throws IOException {
        String description = answer();
        return description.endsWith("closed") ? description : description + " " + rest();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
