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
 * HTTP/1.1 GET requests to one address over one persistent connection. Apache HttpCore does the framing; this class
 * bounds the duration of the complete call, also when its bytes arrive slowly one by one.
 *
 * <p>Requests are made by one thread at a time; {@link #close} may be called by any thread.
 */
public final class HttpFetcher implements AutoCloseable {
    /** The limit of a body that is read into memory as text, in bytes. */
    private static final int MAX_TEXT_BYTES = 4 << 20;
    /** The limit of a body that is streamed: 5,800 hosts at a kilobyte each, twice; 200 to 600 hosts are usual. */
    static final int MAX_STREAM_BYTES = 16 << 20;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    /** The answer has an unexpected status, so the server was reachable. */
    public static final class StatusException extends IOException {
        private static final long serialVersionUID = 1L;
        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVER_ERROR = 500;
        private final int code;

        StatusException(int code, String reason) {
            super("answered " + code + " " + reason);
            this.code = code;
        }

        /** Whether the request itself was valid and may be repeated as it was. */
        public boolean isRetryable() {
            return code == TOO_MANY_REQUESTS || code >= SERVER_ERROR;
        }
    }

    private static final int CONNECT_MILLIS = 1_000;
    private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();
    private static final Http1Config CONFIG = Http1Config.custom()
            .setBufferSize(4096)
            .setMaxLineLength(8192)
            .setMaxHeaderCount(128)
            .build();

    private final InetSocketAddress address;
    private final boolean acceptBadRequest;
    private volatile Connection connection;
    private volatile boolean closed;

    /** A client that connects with its first request. */
    public HttpFetcher(InetSocketAddress address) {
        this(address, false);
    }

    /**
     * A client that connects with its first request.
     *
     * @param acceptBadRequest whether the body of a 400 answer is returned, too, as it describes the error
     */
    public HttpFetcher(InetSocketAddress address, boolean acceptBadRequest) {
        this.address = address;
        this.acceptBadRequest = acceptBadRequest;
    }

    /** The server's address. */
    public InetSocketAddress address() {
        return address;
    }

    /** Closes the client for good; a call in flight in another thread fails. */
    @Override
    public void close() {
        closed = true;
        disconnect();
    }

    /** Reads a body as it arrives, up to its end. */
    interface BodyReader<T> {
        T read(InputStream body) throws IOException, JsonReader.ParseException;
    }

    /**
     * The body of a 200 answer; after any exception the next call opens a new connection.
     *
     * @param timeoutMillis for the complete call, from connecting to the last byte
     * @throws SocketTimeoutException if the call is not complete by then
     * @throws StatusException if the answer has another status
     */
    public String get(String path, int timeoutMillis) throws IOException {
        return get(path, timeoutMillis, timeoutMillis);
    }

    /** The same, with a separate limit from the first byte of the answer to its last. */
    public String get(String path, int timeoutMillis, int responseMillis) throws IOException {
        try {
            return get(path, timeoutMillis, responseMillis, HttpFetcher::readText);
        } catch (JsonReader.ParseException e) {
            throw new IOException(e);
        }
    }

    /**
     * The same for a body that is streamed.
     *
     * @param responseMillis the limit from the first byte of the answer to its last
     */
    <T> T get(String path, int timeoutMillis, int responseMillis, BodyReader<T> reader)
            throws IOException, JsonReader.ParseException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        boolean isReusable = false;
        try {
            Connection used = connection;
            if (used == null) {
                used = connect(timeoutMillis);
            }
            used.socket.start(deadlineNanos, responseMillis * 1_000_000L);
            ClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
            request.setHeader("Host", address.getHostString() + ":" + address.getPort());
            request.setHeader("Accept", "application/json");
            HttpCoreContext context = HttpCoreContext.create();
            ClassicHttpResponse response = EXECUTOR.execute(request, used.http, context);
            int code = response.getCode();
            if (code != OK && !(acceptBadRequest && code == BAD_REQUEST)) {
                throw new StatusException(code, response.getReasonPhrase());
            }
            T body = reader.read(limitedStream(response.getEntity()));
            isReusable = EXECUTOR.keepAlive(request, response, used.http, context);
            return body;
        } catch (HttpException e) {
            throw new IOException("no HTTP answer: " + e.getMessage(), e);
        } finally {
            if (!isReusable) {
                disconnect();
            }
        }
    }

    private Connection connect(int timeoutMillis) throws IOException {
        Connection opened = new Connection();
        // Set before the check, so that close() either closes this socket or is noticed here.
        connection = opened;
        if (closed) {
            throw new IOException("the address has changed");
        }
        opened.socket.setTcpNoDelay(true);
        opened.socket.connect(address, Math.min(timeoutMillis, CONNECT_MILLIS));
        opened.http.bind(opened.socket);
        return opened;
    }

    private static InputStream limitedStream(HttpEntity entity) throws IOException {
        if (entity == null) {
            return InputStream.nullInputStream();
        }
        return new FilterInputStream(entity.getContent()) {
            private long remaining = MAX_STREAM_BYTES;

            @Override
            public int read() throws IOException {
                int read = in.read();
                count(read < 0 ? 0 : 1);
                return read;
            }

            @Override
            public int read(byte[] buffer, int offset, int length) throws IOException {
                int count = in.read(buffer, offset, length);
                count(Math.max(0, count));
                return count;
            }

            private void count(int bytes) throws IOException {
                remaining -= bytes;
                if (remaining < 0) {
                    throw new IOException("an answer that is too long");
                }
            }
        };
    }

    private static String readText(InputStream body) throws IOException {
        byte[] bytes = body.readNBytes(MAX_TEXT_BYTES + 1);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new IOException("an answer that is too long");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void disconnect() {
        Connection open = connection;
        try {
            if (open != null) {
                open.socket.close();
            }
        } catch (IOException e) {
            // The socket is closed in any case.
        }
        connection = null;
    }

    /** The socket is held as well, because closing it ends a call in flight in another thread at once. */
    private static final class Connection {
        private final DeadlineSocket socket = new DeadlineSocket();
        private final DefaultBHttpClientConnection http = new DefaultBHttpClientConnection(CONFIG);
    }

    /**
     * A socket whose reads share one deadline: a timeout for each read would not bound a call whose bytes arrive
     * slowly.
     */
    private static final class DeadlineSocket extends Socket {
        private volatile long deadlineNanos;
        private volatile long responseNanos;
        private volatile boolean hasResponse;

        /** Starts a call. */
        private void start(long callDeadlineNanos, long limitNanos) {
            deadlineNanos = callDeadlineNanos;
            responseNanos = limitNanos;
            hasResponse = false;
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read() throws IOException {
                    setRemainingTimeout();
                    int read = in.read();
                    onBytes();
                    return read;
                }

                @Override
                public int read(byte[] buffer, int offset, int length) throws IOException {
                    setRemainingTimeout();
                    int count = in.read(buffer, offset, length);
                    onBytes();
                    return count;
                }
            };
        }

        /** From the first byte on the limit of the response applies: if it stalls, waiting longer is useless. */
        private void onBytes() {
            if (!hasResponse) {
                hasResponse = true;
                deadlineNanos = Math.min(deadlineNanos, System.nanoTime() + responseNanos);
            }
        }

        private void setRemainingTimeout() throws IOException {
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                throw new SocketTimeoutException("no whole answer in time");
            }
            setSoTimeout((int) remainingMillis);
        }
    }
}
