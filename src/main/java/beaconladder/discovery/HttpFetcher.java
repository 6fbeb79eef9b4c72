package beaconladder.discovery;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * GET over HTTP/1.1 to one address, on one connection that is kept for as long as it can be. Framing is that of Apache
 * HttpCore; what is bounded here is the whole call, however its bytes drip.
 */
public final class HttpFetcher implements AutoCloseable {
    /** What is taken into memory at once; a body is refused beyond it. */
    private static final int LONGEST_BODY = 4 << 20;
    /** What is read as it comes: 5,800 hosts at a kilobyte each, and twice as many; 200 to 600 are usual. */
    static final int LONGEST_STREAM = 16 << 20;
    /** An answer other than 200: somebody was there. */
    public static final class StatusException extends IOException {
        private static final long serialVersionUID = 1L;
        private static final int TOO_MANY = 429;
        private static final int SERVER = 500;
        private final int code;

        StatusException(int code, String reason) {
            super("answered " + code + " " + reason);
            this.code = code;
        }

        /** Whether the call itself was right, and may be made again as it was. */
        public boolean isRetryable() {
            return code == TOO_MANY || code >= SERVER;
        }
    }

    private static final int CONNECT_MILLIS = 1_000;
    private static final HttpRequestExecutor CALLS = new HttpRequestExecutor();
    private static final Http1Config FRAMES = Http1Config.custom()
            .setBufferSize(4096)
            .setMaxLineLength(8192)
            .setMaxHeaderCount(128)
            .build();

    private final InetSocketAddress address;
    private final boolean mistakes;
    private volatile Line line;
    private volatile boolean ended;

    public HttpFetcher(InetSocketAddress address) {
        this(address, false);
    }

    /** One that takes the body of a 400 answer as well, for those who tell mistakes in it. */
    public HttpFetcher(InetSocketAddress address, boolean mistakes) {
        this.address = address;
        this.mistakes = mistakes;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Ends this for good, also a call in hand at another thread. */
    @Override
    public void close() {
        ended = true;
        disconnect();
    }

    /** Reads a body as it comes, up to its end. */
    interface Reader<T> {
        T read(InputStream body) throws IOException, JsonReader.ParseException;
    }

    /**
     * The body of a 200 answer; anything else is an exception, after which the connection is a new one.
     *
     * @param millis for all of the call, from the connection to the last byte
     * @throws SocketTimeoutException where it is not over by then
     */
    public String get(String path, int millis) throws IOException {
        return get(path, millis, millis);
    }

    /** The same, with so many milliseconds from the answer's first byte to its last. */
    public String get(String path, int millis, int tail) throws IOException {
        try {
            return get(path, millis, tail, HttpFetcher::text);
        } catch (JsonReader.ParseException e) {
            throw new IOException(e);
        }
    }

    /**
     * The same, of a call that may wait.
     *
     * @param tail milliseconds from the answer's first byte to its last
     */
    <T> T get(String path, int millis, int tail, Reader<T> reader) throws IOException, JsonReader.ParseException {
        long until = System.nanoTime() + millis * 1_000_000L;
        boolean keep = false;
        try {
            Line now = line;
            if (now == null) {
                now = new Line();
                line = now;
                if (ended) {
                    throw new IOException("the address has changed");
                }
                now.socket.setTcpNoDelay(true);
                now.socket.connect(address, Math.min(millis, CONNECT_MILLIS));
                now.http.bind(now.socket);
            }
            now.socket.until = until;
            now.socket.tail = tail * 1_000_000L;
            now.socket.begun = false;
            ClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
            request.setHeader("Host", address.getHostString() + ":" + address.getPort());
            request.setHeader("Accept", "application/json");
            HttpCoreContext context = HttpCoreContext.create();
            ClassicHttpResponse answer = CALLS.execute(request, now.http, context);
            int code = answer.getCode();
            if (code != 200 && !(mistakes && code == 400)) {
                throw new StatusException(code, answer.getReasonPhrase());
            }
            T body = reader.read(stream(answer.getEntity()));
            keep = CALLS.keepAlive(request, answer, now.http, context);
            return body;
        } catch (HttpException e) {
            throw new IOException("no HTTP answer: " + e.getMessage(), e);
        } finally {
            if (!keep) {
                disconnect();
            }
        }
    }

    private static InputStream stream(HttpEntity entity) throws IOException {
        if (entity == null) {
            return InputStream.nullInputStream();
        }
        return new FilterInputStream(entity.getContent()) {
            private long left = LONGEST_STREAM;

            @Override
            public int read() throws IOException {
                int c = in.read();
                take(c < 0 ? 0 : 1);
                return c;
            }

            @Override
            public int read(byte[] into, int from, int most) throws IOException {
                int n = in.read(into, from, most);
                take(Math.max(0, n));
                return n;
            }

            private void take(int bytes) throws IOException {
                left -= bytes;
                if (left < 0) {
                    throw new IOException("an answer that is too long");
                }
            }
        };
    }

    private static String text(InputStream body) throws IOException {
        byte[] bytes = body.readNBytes(LONGEST_BODY + 1);
        if (bytes.length > LONGEST_BODY) {
            throw new IOException("an answer that is too long");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void disconnect() {
        Line now = line;
        try {
            if (now != null) {
                now.socket.close();
            }
        } catch (IOException e) {
            // It is gone either way.
        }
        line = null;
    }

    /** A connection: the socket is closed by itself, so that another thread's call ends at once. */
    private static final class Line {
        private final TimedSocket socket = new TimedSocket();
        private final DefaultBHttpClientConnection http = new DefaultBHttpClientConnection(FRAMES);
    }

    /** A socket whose reads end at a moment, not each after a while: bytes that drip don't draw a call out. */
    private static final class TimedSocket extends Socket {
        private volatile long until;
        private volatile long tail;
        private volatile boolean begun;

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read() throws IOException {
                    arm();
                    int c = in.read();
                    begin();
                    return c;
                }

                @Override
                public int read(byte[] into, int from, int most) throws IOException {
                    arm();
                    int n = in.read(into, from, most);
                    begin();
                    return n;
                }
            };
        }

        /** An answer that has begun and stalls is broken, however long the call might have waited for it. */
        private void begin() {
            if (!begun) {
                begun = true;
                until = Math.min(until, System.nanoTime() + tail);
            }
        }

        private void arm() throws IOException {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException("no whole answer in time");
            }
            setSoTimeout((int) left);
        }
    }
}
