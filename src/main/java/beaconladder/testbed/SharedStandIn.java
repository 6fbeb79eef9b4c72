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

/** A resource that one process of the fleet may act on at a time; it refuses what comes late and notes all it saw. */
final class SharedStandIn implements AutoCloseable {
    /** What came: when by the true time, from whom, under which token, and whether it was done. */
    record Act(long at, int resource, String holder, long token, long until, FencingGuard.Decision verdict) {}

    private final HttpServer server =
            HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    private final int number;
    private final LongSupplier clock;
    private final Map<String, FencingGuard> fences = new HashMap<>();
    private final List<Act> acts = new ArrayList<>();

    /** A resource whose own clock this is. */
    SharedStandIn(int number, LongSupplier clock) throws IOException {
        this.number = number;
        this.clock = clock;
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "shared");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/act", exchange -> {
            Map<String, String> asked = new HashMap<>();
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                asked.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
            }
            byte[] body = act(
                            asked.get("task"),
                            asked.get("holder"),
                            Long.parseLong(asked.get("token")),
                            Long.parseLong(asked.get("until")))
                    .getBytes(StandardCharsets.US_ASCII);
            try (exchange) {
                exchange.sendResponseHeaders(200, body.length);
                exchange.getResponseBody().write(body);
            }
        });
        server.start();
    }

    private synchronized String act(String task, String holder, long token, long until) {
        FencingGuard.Admission admission =
                fences.getOrDefault(task, FencingGuard.initial()).admit(token, until, clock.getAsLong());
        fences.put(task, admission.next());
        acts.add(new Act(System.nanoTime(), number, holder, token, until, admission.decision()));
        return admission.decision().name();
    }

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
