package beaconladder.coordinator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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
 * The coordinator's HTTP endpoint: parses query parameters, calls a handler, and maps its errors to a status and a JSON
 * body.
 */
final class CoordinatorEndpoint implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorEndpoint.class);
    /** Connections that the kernel accepts ahead of the server; each router keeps one long poll open. */
    private static final int BACKLOG = 512;

    /** Serves one path: query parameters in, JSON text out. An IllegalArgumentException is the caller's mistake. */
    interface Handler {
        String handle(Map<String, String> parameters) throws IOException, InterruptedException;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "keeper");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Binds the address; requests are served from {@link #start}.
     *
     * @throws IOException if the address can't be bound
     */
    CoordinatorEndpoint(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, BACKLOG);
        server.setExecutor(threads);
    }

    void register(String path, Handler handler) {
        server.createContext(path, exchange -> serve(exchange, handler));
    }

    void start() {
        server.start();
    }

    /**
     * A parameter that has to be a name.
     *
     * @throws IllegalArgumentException if it is missing or contains other characters
     */
    static String requiredName(Map<String, String> parameters, String name) {
        String value = parameters.get(name);
        if (value == null || !value.matches("[A-Za-z0-9_.-]{1,64}")) {
            throw new IllegalArgumentException("'" + name + "' is missing or is no name");
        }
        return value;
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        int status = 200;
        String body;
        try {
            body = handler.handle(parameters(exchange.getRequestURI().getRawQuery()));
        } catch (IllegalArgumentException e) {
            status = 400;
            body = error(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            status = 503;
            body = error("the keeper ends");
        } catch (IOException | RuntimeException e) {
            LOG.error("a call failed", e);
            status = 500;
            body = error(e.toString());
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private static Map<String, String> parameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int equals = pair.indexOf('=');
            parameters.put(
                    pair.substring(0, Math.max(0, equals)),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private static String error(String message) {
        return CoordinatorProtocol.toJson(CoordinatorProtocol.newObject().put("error", message));
    }

    /** Stops serving at once; requests in flight are interrupted by {@link #close}. */
    void stop() {
        server.stop(0);
    }

    /** Interrupts the requests that are still waiting. */
    @Override
    public void close() {
        threads.shutdownNow();
    }
}
