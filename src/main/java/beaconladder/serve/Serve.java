package beaconladder.serve;

import beaconladder.roster.Json;
import beaconladder.roster.Watch;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router on sockets: start it with what the operators state, and drain it at the end. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    private static final int SWEEP_MILLIS = 100;
    /** Those who hand out connections learn of an end so much later at the most. */
    private static final int NOTICE_MILLIS = 700;
    /** Discovery's agent answers within milliseconds, or it is away. */
    private static final int DISCOVERY_MILLIS = 500;
    /** Time for answers that lie in sockets to reach their clients before the program ends. */
    private static final int LAST_MILLIS = 100;

    private final Desk desk;
    private final Lines lines;
    private final Clients clients;
    private final Watch watch;
    /** The longest that a txn can be in hand, and its connection after it. */
    private final long longestNanos;
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
        Threads threads = new Threads(Integer.parseInt(limits.getOrDefault("memory_mb", "192")));
        desk = new Desk(seed, start);
        lines = new Lines(desk, start, threads);
        desk.errands(lines);
        clients = new Clients(desk, lines, threads, Integer.parseInt(limits.getOrDefault("sockets", "1024")));
        watch = new Watch(discovery, desk);
        if (stated.get("known") instanceof Map<?, ?> known) {
            desk.listed(true, Watch.entries(known));
        }
        long expiry = 0;
        for (int i = 0; start.containsKey("request_classes." + i + ".give_up_us"); i++) {
            expiry = Math.max(expiry, Long.parseLong(start.get("request_classes." + i + ".give_up_us")));
        }
        longestNanos = expiry * 1_000 + Client.LINGER;
        threads.make(desk).start();
        threads.make(watch).start();
        threads.make(this::sweep).start();
        // What was known may be out of date: discovery has a while to tell better.
        long patient = System.nanoTime() + DISCOVERY_MILLIS * 1_000_000L;
        while (!desk.knowsHosts() || !watch.answered() && System.nanoTime() < patient) {
            Thread.sleep(5);
        }
        WarmUp.run(start);
        clients.listen(listen);
        threads.make(clients).start();
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
                clients.sweep();
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
        long until = System.nanoTime() + longestNanos;
        while (clients.count() > 0 && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        Thread.sleep(LAST_MILLIS);
        stopped = true;
        watch.stop();
        desk.stop();
        LOG.info("drained");
    }
}
