package beaconladder.discovery;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
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
 * Sends HTTP/1.1 GET requests to one address over one persistent connection. Apache HttpCore does the framing; this
 * class bounds the duration of the complete call, even if its bytes arrive slowly one by one.
 *
 * <p>Only one thread at a time may make requests; {@link #close} may be called by any thread.
 */
public final class HttpFetcher implements AutoCloseable {
    /** The limit of a body that is read into memory as text, in bytes. */
    private static final int MAX_TEXT_BYTES = 4 << 20;
    /** The limit of a streamed body, in bytes: over twice 5,800 hosts at 1 kB each; 200 to 600 hosts are usual. */
    static final int MAX_STREAM_BYTES = 16 << 20;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    /** The server responded with an unexpected status, so it is reachable. */
    public static final class StatusException extends IOException {
        private static final long serialVersionUID = 1L;
        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVER_ERROR = 500;
        private final int statusCode;

        StatusException(int statusCode, String reason) {
            super("answered " + statusCode + " " + reason);
            this.statusCode = statusCode;
        }

        /** Returns whether the server may accept the same request later: status 429 or a server error. */
        public boolean isRetryable() {
            return statusCode == TOO_MANY_REQUESTS || statusCode >= SERVER_ERROR;
        }
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();
    private static final Http1Config HTTP_CONFIG = Http1Config.custom()
            .setBufferSize(4096)
            .setMaxLineLength(8192)
            .setMaxHeaderCount(128)
            .build();

    private final InetSocketAddress address;
    private final boolean acceptBadRequest;
    private volatile Connection connection;
    private volatile boolean closed;

    /** Creates a client that connects on its first request. */
    public HttpFetcher(InetSocketAddress address) {
        this(address, false);
    }

    /**
     * Creates a client that connects on its first request.
     *
     * @param acceptBadRequest whether the body of a response with status 400, which describes the error, is also
     *     returned
     */
    public HttpFetcher(InetSocketAddress address, boolean acceptBadRequest) {
        this.address = address;
        this.acceptBadRequest = acceptBadRequest;
    }

    /** Returns the address of the server. */
    public InetSocketAddress address() {
        return address;
    }

    /** Closes the client permanently; a call in flight in another thread fails. */
    @Override
    public void close() {
        closed = true;
        disconnect();
    }

    /** Makes a call in flight in another thread fail; later calls open a new connection. */
    void abort() {
        disconnect();
    }

    /** Reads a response body as it arrives, up to its end. */
    interface BodyReader<T> {
        T read(InputStream body) throws IOException, JsonReader.ParseException;
    }

    /**
     * Returns the body of a response with status 200. After any exception the next call opens a new connection.
     *
     * @param timeoutMillis the timeout of the complete call, from connecting to the last byte
     * @throws SocketTimeoutException if the call is not complete by then
     * @throws StatusException if the response has another status
     */
    public String get(String path, int timeoutMillis) throws IOException {
        return get(path, timeoutMillis, timeoutMillis);
    }

    /**
     * Returns the body as {@link #get(String, int)} does, with a separate limit for the response.
     *
     * @param responseMillis the limit from the first byte of the response to its last
     */
    public String get(String path, int timeoutMillis, int responseMillis) throws IOException {
        try {
            return get(path, timeoutMillis, responseMillis, HttpFetcher::readText);
        } catch (JsonReader.ParseException e) {
            throw new IOException(e);
        }
    }

    /**
     * Streams the body to a reader and returns its result; otherwise as {@link #get(String, int)}.
     *
     * @param responseMillis the limit from the first byte of the response to its last
     */
    <T> T get(String path, int timeoutMillis, int responseMillis, BodyReader<T> reader)
            throws IOException, JsonReader.ParseException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        boolean isReusable = false;
        try {
            Connection active = connection;
            if (active == null) {
                active = connect(timeoutMillis);
            }
            active.socket.startCall(deadlineNanos, responseMillis * 1_000_000L);
            ClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
            request.setHeader("Host", address.getHostString() + ":" + address.getPort());
            request.setHeader("Accept", "application/json");
            HttpCoreContext context = HttpCoreContext.create();
            ClassicHttpResponse response = EXECUTOR.execute(request, active.http, context);
            int statusCode = response.getCode();
            if (statusCode != OK && !(acceptBadRequest && statusCode == BAD_REQUEST)) {
                throw new StatusException(statusCode, response.getReasonPhrase());
            }
            T body = reader.read(limitedStream(response.getEntity()));
            isReusable = EXECUTOR.keepAlive(request, response, active.http, context);
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
        // Set before the check: a concurrent close() either closes this socket or is detected here.
        connection = opened;
        if (closed) {
            throw new IOException("the address has changed");
        }
        opened.socket.setTcpNoDelay(true);
        opened.socket.connect(address, Math.min(timeoutMillis, CONNECT_TIMEOUT_MILLIS));
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
        Connection previous = connection;
        try {
            if (previous != null) {
                previous.socket.close();
            }
        } catch (IOException e) {
            // The socket is closed in any case.
        }
        connection = null;
    }

    /** A connection and its socket: closing the socket ends a call in flight in another thread at once. */
    private static final class Connection {
        private final DeadlineSocket socket = new DeadlineSocket();
        private final DefaultBHttpClientConnection http = new DefaultBHttpClientConnection(HTTP_CONFIG);
    }
}
