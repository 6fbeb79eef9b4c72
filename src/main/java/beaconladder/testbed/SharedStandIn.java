package beaconladder.testbed;

import beaconladder.lease.FencingGuard;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;

/**
 * Stands in for a resource on which one process of the fleet may act at a time. It rejects requests with a stale token
 * or an expired lease, and records all requests.
 */
final class SharedStandIn implements AutoCloseable {
    /**
     * A request to act on a resource.
     *
     * @param at when it arrived, in nanoseconds of this process's monotonic clock, which no fault changes
     * @param token the fencing token of the holder's lease
     * @param until when the holder's permit ends, as sent by the holder, in Unix nanoseconds
     * @param verdict whether the resource admitted the request, or why not
     */
    record Act(long at, int resource, String holder, long token, long until, FencingGuard.Decision verdict) {}

    private final HttpServer server =
            HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    private final int number;
    private final LongSupplier clock;
    private final Map<String, FencingGuard> guardsByTask = new HashMap<>();
    private final List<Act> acts = new ArrayList<>();

    /** Starts a resource that decides by the given clock, in Unix nanoseconds, whether a lease has expired. */
    SharedStandIn(int number, LongSupplier clock) throws IOException {
        this.number = number;
        this.clock = clock;
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "shared");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/act", exchange -> {
            Map<String, String> parameters = new HashMap<>();
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                parameters.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
            }
            byte[] body = act(
                            parameters.get("task"),
                            parameters.get("holder"),
                            Long.parseLong(parameters.get("token")),
                            Long.parseLong(parameters.get("until")))
                    .getBytes(StandardCharsets.US_ASCII);
            try (exchange) {
                exchange.sendResponseHeaders(200, body.length);
                exchange.getResponseBody().write(body);
            }
        });
        server.start();
    }

    private synchronized String act(String task, String holder, long token, long deadlineNanos) {
        FencingGuard.Admission admission =
                guardsByTask.getOrDefault(task, FencingGuard.initial()).admit(token, deadlineNanos, clock.getAsLong());
        guardsByTask.put(task, admission.next());
        acts.add(new Act(System.nanoTime(), number, holder, token, deadlineNanos, admission.decision()));
        return admission.decision().name();
    }

    /** Returns the address on which the resource listens. */
    InetSocketAddress at() {
        return server.getAddress();
    }

    synchronized List<Act> acts() {
        return List.copyOf(acts);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
