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
 * The HTTP server of a relay, with one thread per connection, a limit on the connections, and one request at a time on
 * each connection. Responses are not queued for a router that does not read them.
 */
final class RelayServer implements AutoCloseable {
    /** Limits of several times what a poll needs. The few kilobytes per connection are most of a relay's memory. */
    private static final Http1Config HTTP_CONFIG = Http1Config.custom()
            .setBufferSize(1024)
            .setMaxLineLength(2048)
            .setMaxHeaderCount(32)
            .build();

    private static final int BACKLOG = 1024;
    /** The pause after a connection could not be accepted. */
    private static final int ACCEPT_RETRY_MILLIS = 20;
    /** The idle time after which a connection is closed; a router polls again at once. */
    private static final int IDLE_TIMEOUT_MILLIS = 10_000;
    /** The time to write a response, enough for the largest one at 10 Mbit/s; slower readers are disconnected. */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

    private static final int WRITE_CHECK_INTERVAL_SECONDS = 1;
    /** The stack size of a thread, as for a router's threads; pages that are never touched take no memory. */
    private static final long STACK_BYTES = 256 * 1024;

    /** Responds to requests. */
    interface RequestHandler {
        /**
         * Returns the body of the response, as JSON.
         *
         * @throws IOException if the request is invalid; its message is sent in a response with status 400
         */
        byte[] respond(String path, QueryString query) throws IOException, InterruptedException;
    }

    private static final class Connection {
        private final Socket socket;
        /** The start of writing the current response, never 0; or 0 while no response is being written. */
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

    private final ServerSocket serverSocket = new ServerSocket();
    private final RequestHandler handler;
    private final int maxConnections;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong responses = new AtomicLong();
    private final AtomicLong rejectedConnections = new AtomicLong();
    private volatile boolean closed;

    /** Binds the address and starts to accept connections, up to the limit. */
    RelayServer(InetSocketAddress address, int maxConnections, RequestHandler handler) throws IOException {
        this.handler = handler;
        this.maxConnections = maxConnections;
        serverSocket.setReuseAddress(true);
        serverSocket.bind(address, BACKLOG);
        startThread(this::acceptConnections);
        startThread(this::disconnectSlowReaders);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
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
                Socket socket = serverSocket.accept();
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
            connection.socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
            http.bind(connection.socket);
            long countedBytesIn = 0;
            long countedBytesOut = 0;
            while (!closed && handleRequest(connection, http)) {
                EndpointDetails details = http.getEndpointDetails();
                long receivedBytes = details.getReceivedBytesCount();
                long sentBytes = details.getSentBytesCount();
                bytesIn.addAndGet(receivedBytes - countedBytesIn);
                bytesOut.addAndGet(sentBytes - countedBytesOut);
                countedBytesIn = receivedBytes;
                countedBytesOut = sentBytes;
                responses.incrementAndGet();
            }
        } catch (IOException | HttpException | InterruptedException e) {
            // The router disconnected or sent an invalid HTTP request: the connection is closed.
        } finally {
            connections.remove(connection);
        }
    }

    /** Handles one request; returns whether the connection can be used for another. */
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
        int queryMark = pathAndQuery.indexOf('?');
        String path = queryMark < 0 ? pathAndQuery : pathAndQuery.substring(0, queryMark);
        String query = queryMark < 0 ? null : pathAndQuery.substring(queryMark + 1);
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
                TimeUnit.SECONDS.sleep(WRITE_CHECK_INTERVAL_SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            serverSocket.close();
        } catch (IOException e) {
            // The socket is unusable either way.
        }
        connections.forEach(Connection::close);
    }
}
