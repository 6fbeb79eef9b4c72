package beaconladder.coordinator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The coordinator's HTTP server: parses query parameters, calls a handler, and maps its exceptions to a status and a
 * JSON body.
 */
final class CoordinatorEndpoint implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorEndpoint.class);
    /** Connections that the kernel queues until the server accepts them; each router keeps one long poll open. */
    private static final int BACKLOG = 512;

    /** Handles the requests of one path; an IllegalArgumentException means that the request is invalid. */
    interface Handler {
        /** Returns the JSON body for these query parameters. */
        String handle(Map<String, String> parameters) throws IOException, InterruptedException;
    }

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "coordinator-http");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Binds the address; requests are served after {@link #start}.
     *
     * @throws IOException if the address can't be bound
     */
    CoordinatorEndpoint(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, BACKLOG);
        server.setExecutor(executor);
    }

    void register(String path, Handler handler) {
        server.createContext(path, exchange -> serve(exchange, handler));
    }

    void start() {
        server.start();
    }

    /**
     * Returns a parameter that must be a name: 1 to 64 letters, digits, dots, hyphens and underscores.
     *
     * @throws IllegalArgumentException if it is missing or no such name
     */
    static String requiredName(Map<String, String> parameters, String name) {
        String value = parameters.get(name);
        if (value == null || !value.matches("[A-Za-z0-9_.-]{1,64}")) {
            throw new IllegalArgumentException("'" + name + "' is missing or is no name");
        }
        return value;
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        int status = HttpURLConnection.HTTP_OK;
        String body;
        try {
            body = handler.handle(parseParameters(exchange.getRequestURI().getRawQuery()));
        } catch (IllegalArgumentException e) {
            status = HttpURLConnection.HTTP_BAD_REQUEST;
            body = errorBody(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            status = HttpURLConnection.HTTP_UNAVAILABLE;
            body = errorBody("the keeper ends");
        } catch (IOException | RuntimeException e) {
            LOG.error("a call failed", e);
            status = HttpURLConnection.HTTP_INTERNAL_ERROR;
            body = errorBody(e.toString());
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private static Map<String, String> parseParameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int equals = pair.indexOf('=');
            parameters.put(
                    pair.substring(0, Math.max(0, equals)),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private static String errorBody(String message) {
        return CoordinatorProtocol.toJson(CoordinatorProtocol.newObject().put("error", message));
    }

    /** Stops serving immediately; {@link #close} interrupts requests in flight. */
    void stop() {
        server.stop(0);
    }

    /** Interrupts the handlers that are still running. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
