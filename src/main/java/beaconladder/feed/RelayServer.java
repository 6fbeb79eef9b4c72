package beaconladder.feed;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * A relay's HTTP server: one thread for each connection, a bound on the connections, and one request at a time on each.
 * No response is queued for a router that does not read.
 */
final class RelayServer implements AutoCloseable {
    /** Several times what a poll needs; the few kilobytes per connection are most of a relay's memory. */
    private static final Http1Config HTTP_CONFIG = Http1Config.custom()
            .setBufferSize(1024)
            .setMaxLineLength(2048)
            .setMaxHeaderCount(32)
            .build();

    private static final int BACKLOG = 1024;
    /** Pause after a connection could not be accepted. */
    private static final int ACCEPT_RETRY_MILLIS = 20;
    /** A router polls again at once; a connection idle for so long is closed. */
    private static final int IDLE_MILLIS = 10_000;
    /** The largest response takes less at a hundredth of a gigabit a second; slower readers are disconnected. */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

    private static final int WRITE_CHECK_SECONDS = 1;
    /** As for a router's threads; pages that are never touched take no memory. */
    private static final long STACK_BYTES = 256 * 1024;

    /** Answers requests. */
    interface RequestHandler {
        /**
         * The response's body, as JSON.
         *
         * @throws IOException if the request is invalid: its message goes into a response with status 400
         */
        byte[] respond(String path, QueryString query) throws IOException, InterruptedException;
    }

    private static final class Connection {
        private final Socket socket;
        /** When writing the current response began, never 0; 0 while none is written. */
        private volatile long writeStartNanos;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        private void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is unusable either way.
            }
        }
    }

    private final ServerSocket listener = new ServerSocket();
    private final RequestHandler handler;
    private final int maxConnections;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong responses = new AtomicLong();
    private final AtomicLong rejectedConnections = new AtomicLong();
    private volatile boolean closed;

    /** Starts to accept connections, up to the bound. */
    RelayServer(InetSocketAddress address, int maxConnections, RequestHandler handler) throws IOException {
        this.handler = handler;
        this.maxConnections = maxConnections;
        listener.setReuseAddress(true);
        listener.bind(address, BACKLOG);
        startThread(this::acceptConnections);
        startThread(this::disconnectSlowReaders);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    int connectionCount() {
        return connections.size();
    }

    long bytesIn() {
        return bytesIn.get();
    }

    long bytesOut() {
        return bytesOut.get();
    }

    long responses() {
        return responses.get();
    }

    long rejectedConnections() {
        return rejectedConnections.get();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(null, task, "relay", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                if (connections.size() >= maxConnections) {
                    rejectedConnections.incrementAndGet();
                    socket.close();
                    continue;
                }
                Connection connection = new Connection(socket);
                connections.add(connection);
                startThread(() -> serve(connection));
            } catch (IOException e) {
                pauseAccepting();
            }
        }
    }

    private static void pauseAccepting() {
        try {
            TimeUnit.MILLISECONDS.sleep(ACCEPT_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Connection connection) {
        try (connection.socket;
                DefaultBHttpServerConnection http = new DefaultBHttpServerConnection("http", HTTP_CONFIG)) {
            connection.socket.setTcpNoDelay(true);
            connection.socket.setSoTimeout(IDLE_MILLIS);
            http.bind(connection.socket);
            long countedIn = 0;
            long countedOut = 0;
            while (!closed && handleRequest(connection, http)) {
                EndpointDetails details = http.getEndpointDetails();
                long received = details.getReceivedBytesCount();
                long sent = details.getSentBytesCount();
                bytesIn.addAndGet(received - countedIn);
                bytesOut.addAndGet(sent - countedOut);
                countedIn = received;
                countedOut = sent;
                responses.incrementAndGet();
            }
        } catch (IOException | HttpException | InterruptedException e) {
            // The router disconnected, or sent what is no HTTP request: the connection is closed.
        } finally {
            connections.remove(connection);
        }
    }

    /** Handles one request; whether the connection can be used for another. */
    private boolean handleRequest(Connection connection, DefaultBHttpServerConnection http)
            throws IOException, HttpException, InterruptedException {
        ClassicHttpRequest request = http.receiveRequestHeader();
        if (request == null || !request.getMethod().equals("GET")) {
            return false;
        }
        int statusCode = HttpURLConnection.HTTP_OK;
        byte[] body;
        try {
            body = respond(request.getPath());
        } catch (IOException e) {
            statusCode = HttpURLConnection.HTTP_BAD_REQUEST;
            body = FeedJson.text(Map.of("error", String.valueOf(e.getMessage())))
                    .getBytes(StandardCharsets.UTF_8);
        }
        send(connection, http, statusCode, body);
        return statusCode == HttpURLConnection.HTTP_OK;
    }

    private byte[] respond(String pathAndQuery) throws IOException, InterruptedException {
        int mark = pathAndQuery.indexOf('?');
        String path = mark < 0 ? pathAndQuery : pathAndQuery.substring(0, mark);
        String query = mark < 0 ? null : pathAndQuery.substring(mark + 1);
        return handler.respond(path, new QueryString(query));
    }

    private static void send(Connection connection, DefaultBHttpServerConnection http, int statusCode, byte[] body)
            throws IOException, HttpException {
        ClassicHttpResponse response = new BasicClassicHttpResponse(statusCode);
        response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        response.setHeader("Content-Length", body.length);
        connection.writeStartNanos = System.nanoTime() | 1;
        http.sendResponseHeader(response);
        http.sendResponseEntity(response);
        http.flush();
        connection.writeStartNanos = 0;
    }

    private void disconnectSlowReaders() {
        while (!closed) {
            for (Connection connection : connections) {
                long startNanos = connection.writeStartNanos;
                if (startNanos != 0 && System.nanoTime() - startNanos > WRITE_TIMEOUT_NANOS) {
                    connection.close();
                }
            }
            try {
                TimeUnit.SECONDS.sleep(WRITE_CHECK_SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // The socket is unusable either way.
        }
        connections.forEach(Connection::close);
    }
}
