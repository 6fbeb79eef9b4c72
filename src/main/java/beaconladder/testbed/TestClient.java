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

/** A client on one connection; prints what it gets, a letter a message. */
public final class TestClient implements AutoCloseable {
    /** A selector lets go of a closed connection within 50 ms; scenarios stop a program for 200 ms. */
    private static final int RESET_MILLIS = 450;

    public final OutputStream out;
    private final Socket socket;
    private final DataInputStream in;
    private boolean reset;
    /** The text of the last error. */
    public String message = "";

    public TestClient(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(15_000);
        out = socket.getOutputStream();
        in = new DataInputStream(socket.getInputStream());
    }

    public String ask(String query) throws IOException {
        try {
            MessageWriter.query(query).writeTo(out);
        } catch (SocketException e) {
            return "closed";
        }
        return answer();
    }

    /** The messages up to the next that says ready, or the end. */
    public String answer() throws IOException {
        StringBuilder all = new StringBuilder();
        try {
            while (true) {
                char type = (char) in.readUnsignedByte();
                if (type == 'N') {
                    all.append("N ");
                    continue;
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                String text = new String(body, StandardCharsets.UTF_8);
                if (type == 'E') {
                    message = text.replaceAll("(?s).*\0M([^\0]*)\0.*", "$1");
                }
                all.append(type)
                        .append(
                                switch (type) {
                                    case 'D' -> ":" + HexFormat.of().formatHex(body, 6, Math.min(body.length, 16));
                                    case 'C' -> ":" + text.substring(0, text.length() - 1);
                                    case 'E' -> ":" + text.replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
                                    default -> "";
                                });
                if (type == 'Z') {
                    return all.toString();
                }
                all.append(' ');
            }
        } catch (EOFException e) {
            return all + "closed";
        } catch (SocketException e) {
            reset = true;
            return all + "closed";
        }
    }

    /**
     * Whether the other side ended this with something unread, so that it is known not to have been taken: the
     * operating system tells it by a reset, at once or shortly behind the end.
     */
    public boolean reset() throws IOException {
        if (!reset) {
            StandInThreads.sleep(RESET_MILLIS);
            try {
                out.write('S');
            } catch (SocketException e) {
                reset = true;
            }
        }
        return reset;
    }

    public int waiting() throws IOException {
        return in.available();
    }

    public String rest() throws IOException {
        String all = answer();
        return all.endsWith("closed") ? all : all + " " + rest();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
