package beaconladder.server;

import beaconladder.cells.CellAdmission;
import beaconladder.cells.RouterCapacity;
import beaconladder.cells.StaticPlacement;
import beaconladder.discovery.EndpointWatch;
import beaconladder.pg.MemoryLimit;
import beaconladder.plan.Plan;
import beaconladder.plan.PlanError;
import beaconladder.plan.PlanReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router on sockets: start it with what the operators state, and drain it at the end. */
public final class RouterServer {
    private static final Logger LOG = LoggerFactory.getLogger(RouterServer.class);
    private static final int SWEEP_MILLIS = 100;
    /** Time for answers that lie in sockets to reach their clients before the program ends. */
    private static final int LAST_MILLIS = 100;

    /** Of the heap, for large messages on their way in; their texts and answers take as much again. */
    private static final int LARGE_SHARE = 6;

    private final Path file;
    private final RouterConfiguration stated;
    private final ThreadLimit threads;
    private final RequestDispatcher desk;
    private final ServerConnectionPool lines;
    private final ClientServer clients;
    private final EndpointWatch watch;
    /** The operators' plan, or null: there are no cells. */
    private final Path plan;
    /** The keeper's word, or null: there is no keeper. */
    private final PlacementWatcher placements;
    /** The longest that a txn can be in hand. */
    private final long longest;
    /** Shortly after its process began: the virtual machine takes some tenths of a second before. */
    private final long madeAt = System.nanoTime();

    private volatile boolean stopped;
    /** Whether clients may have come, and whether the end has been asked for; what both wait for is this. */
    private boolean listens;

    private boolean ends;

    /**
     * Makes a router that does not yet listen.
     *
     * @param file name, listen, discovery, seed, limits, known and settings as JSON
     * @param plan cells and who lives in them, or null for none
     */
    public RouterServer(Path file, Path plan) throws IOException {
        this.file = file;
        this.plan = plan;
        stated = RouterConfiguration.read(file);
        threads = new ThreadLimit(stated.memoryMb());
        long bytes = Runtime.getRuntime().maxMemory() / LARGE_SHARE;
        MemoryLimit room = new MemoryLimit(bytes);
        StaticPlacement territory = plan == null ? null : territory(plan);
        desk = new RequestDispatcher(
                stated.seed(),
                stated.start(),
                territory == null
                        ? null
                        : new CellAdmission(
                                stated.name(),
                                territory,
                                RouterCapacity.ofThreads(threads.maxThreads(), stated.descriptors() / 3, bytes)));
        DescriptorLimit descriptors = new DescriptorLimit(stated.descriptors());
        lines = new ServerConnectionPool(desk, stated.start(), threads, room, descriptors, ServerConnection::new);
        desk.setHostActions(lines);
        clients = new ClientServer(
                desk,
                lines,
                threads,
                room,
                territory == null
                        ? List.of()
                        : territory.plan().cells().stream()
                                .map(cell -> new MemoryLimit((long) (cell.share() * bytes), room))
                                .toList(),
                descriptors,
                stated.descriptors());
        watch = stated.asks()
                ? EndpointWatch.polling(stated.discovery(), stated.askEveryMillis(), stated.seed(), desk)
                : new EndpointWatch(stated.discovery(), stated.drainGraceMillis(), stated.seed(), desk);
        if (!stated.known().isEmpty()) {
            desk.onEndpoints(true, stated.known());
        }
        long expiry = 0;
        for (int i = 0; stated.start().containsKey("request_classes." + i + ".give_up_us"); i++) {
            expiry = Math.max(expiry, Long.parseLong(stated.start().get("request_classes." + i + ".give_up_us")));
        }
        longest = expiry * 1_000;
        Plan.Keeper keeper = territory == null ? null : territory.plan().keeper();
        if (keeper != null && keeper.expiry() < expiry * 1_000) {
            throw new IOException(plan + ": the keeper's expiry (" + keeper.expiry() / 1_000_000
                    + "ms) is shorter than that of a txn type (" + expiry / 1_000 + "ms)");
        }
        placements = keeper == null
                ? null
                : new PlacementWatcher(
                        keeper.at(),
                        keeper.lease(),
                        stated.name(),
                        Long.toHexString(System.currentTimeMillis()) + "-"
                                + ProcessHandle.current().pid(),
                        desk);
    }

    private static StaticPlacement territory(Path plan) throws IOException {
        PlanReader.Result read = PlanReader.read(plan);
        if (read.plan() == null) {
            throw new IOException(
                    read.faults().stream().map(PlanError::toString).collect(Collectors.joining("\n")));
        }
        return new StaticPlacement(read.plan());
    }

    /** Listens once it knows hosts, unless its end has been asked for; returns then. */
    public void start() throws IOException, InterruptedException {
        threads.newThread(desk.timer()).start();
        threads.newThread(watch).start();
        threads.newThread(this::sweep).start();
        if (placements != null) {
            threads.newThread(placements).start();
        }
        WarmUp.run(stated, threads);
        // What was known may be out of date, and what discovery's agent has counts as told: it comes first.
        while (!desk.hasEndpoints() || watch.isAwaitingFirstAnswer()) {
            Thread.sleep(5);
        }
        synchronized (this) {
            if (!ends) {
                clients.listen(stated.listen());
                threads.newThread(clients).start();
                listens = true;
                desk.monitor().invariants().checkStartupTime(System.nanoTime() - madeAt);
                LOG.info("{} serves at {}", stated.name(), stated.listen());
            }
        }
    }

    /** Looks at a file, and a plan or null, as a start would; what is wrong is the exception's message. */
    public static void check(Path file, Path plan) throws IOException {
        RouterConfiguration.read(file);
        if (plan != null) {
            territory(plan);
        }
    }

    /**
     * Reads the file again. Discovery's address counts at once, and all that the router holds stays; what else has
     * changed waits for a restart. A file that can't be read whole changes nothing.
     *
     * @return whether it counts now
     */
    public synchronized boolean reload() {
        try {
            RouterConfiguration next = RouterConfiguration.read(file);
            List<String> waits = new ArrayList<>();
            waits.addAll(next.listen().equals(stated.listen()) ? List.of() : List.of("listen"));
            waits.addAll(next.start().equals(stated.start()) ? List.of() : List.of("settings"));
            waits.addAll(
                    next.memoryMb() == stated.memoryMb() && next.descriptors() == stated.descriptors()
                            ? List.of()
                            : List.of("limits"));
            if (plan != null) {
                String objection = desk.cells().replacePlan(territory(plan));
                if (objection != null) {
                    throw new IOException(plan + ": " + objection);
                }
            }
            watch.changeAddress(next.discovery());
            LOG.info(
                    "reloaded: discovery is at {}{}",
                    next.discovery(),
                    waits.isEmpty() ? "" : "; for a restart: " + String.join(", ", waits));
            return true;
        } catch (IOException | RuntimeException e) {
            LOG.warn("not reloaded, all stays as it was: {}", e.toString());
            return false;
        }
    }

    private void sweep() {
        while (!stopped) {
            try {
                Thread.sleep(SWEEP_MILLIS);
                lines.sweep();
                desk.sweep();
                desk.monitor().sweep();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                LOG.error("the sweep goes on after a fault", e);
            }
        }
    }

    /** Serves on until others know that it ends, then ends connections between txns, until all are gone. */
    public void drain() throws InterruptedException {
        synchronized (this) {
            ends = true;
            if (!listens) {
                LOG.info("ended before it served");
                return;
            }
        }
        LOG.info("draining with {} clients and {} connections to hosts", clients.connectionCount(), lines.openCount());
        GracefulShutdown drain = new GracefulShutdown(desk.nowNanos(), longest);
        TimeUnit.NANOSECONDS.sleep(GracefulShutdown.NOTICE_NANOS);
        clients.drain(drain);
        while (clients.connectionCount() > 0 && desk.nowNanos() < drain.endNanos() + ClientConnection.LINGER_NANOS) {
            Thread.sleep(5);
        }
        Thread.sleep(LAST_MILLIS);
        stopped = true;
        watch.stop();
        if (placements != null) {
            placements.stop();
        }
        desk.stop();
        desk.monitor().logChanges();
        LOG.info("drained");
    }
}
