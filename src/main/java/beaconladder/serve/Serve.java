package beaconladder.serve;

import beaconladder.roster.Json;
import beaconladder.roster.Watch;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router on sockets: start it with what the operators state, and drain it at the end. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    /** The deepest calls of a thread here take some ten kilobytes; the rest is for the JVM's own pages. */
    private static final long STACK = 256 * 1024;
    private static final int SWEEP_MILLIS = 100;
    /** Those who hand out connections learn of an end so much later at the most. */
    private static final int NOTICE_MILLIS = 700;
    /** Time for answers that lie in sockets to reach their clients before the program ends. */
    private static final int LAST_MILLIS = 100;

    private final AtomicInteger number = new AtomicInteger();
    private final ThreadFactory factory = r -> {
        Thread thread = new Thread(null, r, "router-" + number.incrementAndGet(), STACK);
        thread.setDaemon(true);
        return thread;
    };
    private final ExecutorService threads = Executors.newCachedThreadPool(factory);
    private final Desk desk;
    private final Lines lines;
    private final Clients clients;
    private final Watch watch;
    private volatile boolean stopped;

    /**
     * Starts to listen once it knows hosts.
     *
     * @param stated name, listen, discovery, seed, limits, known and settings, as read from JSON
     */
    public Serve(Map<?, ?> stated) throws IOException, InterruptedException {
        Map<String, String> start = new LinkedHashMap<>();
        Json.flatten("", stated.get("settings") instanceof Map<?, ?> s ? s : Map.of(), start);
        InetSocketAddress listen = address(stated, "listen");
        InetSocketAddress discovery = address(stated, "discovery");
        Map<String, String> limits = new LinkedHashMap<>();
        Json.flatten("", stated.get("limits") instanceof Map<?, ?> l ? l : Map.of(), limits);
        long seed;
        try {
            seed = Long.parseUnsignedLong(String.valueOf(stated.get("seed")), 16);
        } catch (NumberFormatException e) {
            throw new IOException("the seed is no hexadecimal number");
        }
        desk = new Desk(seed, start);
        lines = new Lines(desk, start, threads);
        desk.errands(lines);
        clients = new Clients(desk, lines, threads, Integer.parseInt(limits.getOrDefault("sockets", "1024")));
        watch = new Watch(discovery, desk);
        if (stated.get("known") instanceof Map<?, ?> known) {
            desk.listed(true, Watch.entries(known));
        }
        clients.listen(listen);
        factory.newThread(desk).start();
        factory.newThread(watch).start();
        factory.newThread(this::sweep).start();
        while (!desk.knowsHosts()) {
            Thread.sleep(5);
        }
        factory.newThread(clients).start();
        LOG.info("{} serves at {}", stated.get("name"), listen);
    }

    private static InetSocketAddress address(Map<?, ?> stated, String name) throws IOException {
        InetSocketAddress address = Watch.address(String.valueOf(stated.get(name)));
        if (address == null) {
            throw new IOException("'" + name + "' is no address with a port");
        }
        return address;
    }

    private void sweep() {
        while (!stopped) {
            try {
                Thread.sleep(SWEEP_MILLIS);
                lines.sweep();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                LOG.error("the sweep goes on after a fault", e);
            }
        }
    }

    /** Serves on until others know that it ends, then ends connections between txns, until all are gone. */
    public void drain() throws InterruptedException {
        LOG.info("draining with {} clients and {} connections to hosts", clients.count(), lines.open());
        Thread.sleep(NOTICE_MILLIS);
        clients.drain();
        while (clients.count() > 0) {
            Thread.sleep(5);
        }
        Thread.sleep(LAST_MILLIS);
        stopped = true;
        watch.stop();
        desk.stop();
        LOG.info("drained");
    }
}
