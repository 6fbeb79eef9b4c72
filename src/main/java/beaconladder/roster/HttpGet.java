package beaconladder.roster;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** GET over HTTP/1.1 to one address, on one connection that is kept for as long as it can be. */
public final class HttpGet {
    /** A list of some thousand hosts; a body is refused beyond it. */
    private static final int LONGEST_BODY = 4 << 20;
    private static final int LONGEST_LINE = 8192;
    /** Headers and chunks of one answer; agents send a dozen. */
    private static final int MOST_LINES = 4096;
    private static final int CONNECT_MILLIS = 1_000;

    private final InetSocketAddress address;
    private final boolean mistakes;
    private volatile Socket socket;
    private volatile boolean ended;
    private InputStream in;
    private int lines;

    public HttpGet(InetSocketAddress address) {
        this(address, false);
    }

    /** One that takes the body of a 400 answer as well, for those who tell mistakes in it. */
    public HttpGet(InetSocketAddress address, boolean mistakes) {
        this.address = address;
        this.mistakes = mistakes;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Ends this for good, also a call in hand at another thread. */
    public void end() {
        ended = true;
        close();
    }

    /** The body of a 200 answer; anything else is an exception, after which the connection is a new one. */
    public String get(String path, int millis) throws IOException {
        boolean keep = false;
        try {
            Socket now = socket;
            if (now == null) {
                now = new Socket();
                socket = now;
                if (ended) {
                    throw new IOException("the address has changed");
                }
                now.setTcpNoDelay(true);
                now.connect(address, CONNECT_MILLIS);
                in = new BufferedInputStream(now.getInputStream(), 4096);
            }
            now.setSoTimeout(millis);
            lines = 0;
            String host = address.getHostString() + ":" + address.getPort();
            now.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: " + host
                    + "\r\nAccept: application/json\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String status = line();
            if (!status.startsWith("HTTP/1.")) {
                throw new IOException("no HTTP answer");
            }
            long length = -1;
            boolean chunked = false;
            keep = status.startsWith("HTTP/1.1");
            for (String header = line(); !header.isEmpty(); header = line()) {
                int colon = header.indexOf(':');
                String name = header.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
                String value = header.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
                switch (name) {
                    case "content-length" -> length = number(value, 10);
                    case "transfer-encoding" -> chunked = value.endsWith("chunked");
                    case "connection" -> keep = !value.equals("close");
                    default -> { }
                }
            }
            byte[] body = chunked ? chunks() : length >= 0 ? exactly(length) : rest();
            keep &= chunked || length >= 0;
            if (!status.matches("HTTP/1\\.[01] 200( .*)?")
                    && !(mistakes && status.startsWith("HTTP/1.1 400"))) {
                throw new IOException("answered " + status.substring(Math.min(9, status.length()),
                        Math.min(80, status.length())));
            }
            return new String(body, StandardCharsets.UTF_8);
        } catch (IOException | RuntimeException e) {
            keep = false;
            throw e;
        } finally {
            if (!keep) {
                close();
            }
        }
    }

    private void close() {
        Socket now = socket;
        try {
            if (now != null) {
                now.close();
            }
        } catch (IOException e) {
            // It is gone either way.
        }
        socket = null;
    }

    private byte[] chunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line();
            int semicolon = size.indexOf(';');
            long n = number(semicolon < 0 ? size.strip() : size.substring(0, semicolon).strip(), 16);
            if (n == 0) {
                while (!line().isEmpty()) {
                    continue;
                }
                return body.toByteArray();
            }
            if (n + body.size() > LONGEST_BODY) {
                throw new IOException("an answer that is too long");
            }
            body.write(exactly(n));
            line();
        }
    }

    private byte[] exactly(long n) throws IOException {
        if (n > LONGEST_BODY) {
            throw new IOException("an answer that is too long");
        }
        byte[] bytes = in.readNBytes((int) n);
        if (bytes.length < n) {
            throw new IOException("the answer is cut off");
        }
        return bytes;
    }

    private byte[] rest() throws IOException {
        byte[] bytes = in.readNBytes(LONGEST_BODY + 1);
        if (bytes.length > LONGEST_BODY) {
            throw new IOException("an answer that is too long");
        }
        return bytes;
    }

    private static long number(String digits, int base) throws IOException {
        try {
            return Math.max(0, Long.parseLong(digits, base));
        } catch (NumberFormatException e) {
            throw new IOException("no length: " + digits);
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        if (++lines > MOST_LINES) {
            throw new IOException("an answer without end");
        }
        while (true) {
            int c = in.read();
            if (c < 0 || line.length() > LONGEST_LINE) {
                throw new IOException(c < 0 ? "the answer is cut off" : "a header that is too long");
            }
            if (c == '\n') {
                int n = line.length();
                return n > 0 && line.charAt(n - 1) == '\r' ? line.substring(0, n - 1) : line.toString();
            }
            line.append((char) c);
        }
    }
}
