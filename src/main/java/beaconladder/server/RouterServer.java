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

/** A router on sockets: created from the operators' files, started once, and drained at the end. */
public final class RouterServer {
    private static final Logger LOG = LoggerFactory.getLogger(RouterServer.class);
    private static final int SWEEP_MILLIS = 100;
    /** Time for responses in socket buffers to reach their clients before the process ends. */
    private static final int FLUSH_MILLIS = 100;

    /** The divisor of the heap for large incoming messages; their texts and responses take as much again. */
    private static final int MESSAGE_MEMORY_DIVISOR = 6;
    /** The divisor of the descriptors for the connections that cells share. */
    private static final int CELL_CONNECTION_DIVISOR = 3;

    private static final int POLL_MILLIS = 5;

    private final Path file;
    private final RouterConfiguration configuration;
    private final ThreadLimit threads;
    private final RequestDispatcher dispatcher;
    private final ServerConnectionPool pool;
    private final ClientServer clients;
    private final EndpointWatch endpointWatch;
    /** The file of the operators' plan, or null where there are no cells. */
    private final Path planFile;
    /** Follows the coordinator's placement, or null where there is no coordinator. */
    private final PlacementWatcher placementWatcher;
    /** The longest that a request can be in flight. */
    private final long maxRequestNanos;
    /** Shortly after the start of the process: the virtual machine takes some tenths of a second before. */
    private final long createdNanos = System.nanoTime();

    private volatile boolean stopped;
    /** Whether it accepts clients; guarded by this, like the request to shut down. */
    private boolean listening;

    private boolean shutdownRequested;

    /**
     * Creates a router that does not yet listen.
     *
     * @param file name, listen, discovery, seed, limits, known and settings as JSON
     * @param planFile cells and their tenants, or null for none
     * @throws IOException where a file can't be read or is invalid
     */
    public RouterServer(Path file, Path planFile) throws IOException {
        this.file = file;
        this.planFile = planFile;
        configuration = RouterConfiguration.read(file);
        threads = new ThreadLimit(configuration.memoryMb());
        long messageBytes = Runtime.getRuntime().maxMemory() / MESSAGE_MEMORY_DIVISOR;
        MemoryLimit memory = new MemoryLimit(messageBytes);
        StaticPlacement placement = planFile == null ? null : readPlan(planFile);
        dispatcher = new RequestDispatcher(
                configuration.seed(),
                configuration.settings(),
                placement == null
                        ? null
                        : new CellAdmission(
                                configuration.name(),
                                placement,
                                RouterCapacity.ofThreads(
                                        threads.maxThreads(),
                                        configuration.descriptors() / CELL_CONNECTION_DIVISOR,
                                        messageBytes)));
        DescriptorLimit descriptors = new DescriptorLimit(configuration.descriptors());
        pool = new ServerConnectionPool(
                dispatcher, configuration.settings(), threads, memory, descriptors, ServerConnection::new);
        dispatcher.setHostActions(pool);
        clients = new ClientServer(
                dispatcher,
                pool,
                threads,
                memory,
                cellMemoryLimits(placement, memory, messageBytes),
                descriptors,
                configuration.descriptors());
        endpointWatch = configuration.pollsDiscovery()
                ? EndpointWatch.polling(
                        configuration.discovery(), configuration.pollIntervalMillis(), configuration.seed(), dispatcher)
                : new EndpointWatch(
                        configuration.discovery(), configuration.drainGraceMillis(), configuration.seed(), dispatcher);
        if (!configuration.knownEndpoints().isEmpty()) {
            dispatcher.onEndpoints(true, configuration.knownEndpoints());
        }
        maxRequestNanos = configuration.maxRequestMicros() * 1_000;
        Plan.Coordinator coordinator =
                placement == null ? null : placement.plan().coordinator();
        if (coordinator != null && coordinator.requestExpiryNanos() < maxRequestNanos) {
            throw new IOException(planFile + ": the keeper's expiry (" + coordinator.requestExpiryNanos() / 1_000_000
                    + "ms) is shorter than that of a txn type (" + maxRequestNanos / 1_000_000 + "ms)");
        }
        placementWatcher = coordinator == null
                ? null
                : new PlacementWatcher(
                        coordinator.address(),
                        coordinator.leaseNanos(),
                        configuration.name(),
                        Long.toHexString(System.currentTimeMillis()) + "-"
                                + ProcessHandle.current().pid(),
                        dispatcher);
    }

    private static List<MemoryLimit> cellMemoryLimits(StaticPlacement placement, MemoryLimit memory, long bytes) {
        if (placement == null) {
            return List.of();
        }
        return placement.plan().cells().stream()
                .map(cell -> new MemoryLimit((long) (cell.share() * bytes), memory))
                .toList();
    }

    private static StaticPlacement readPlan(Path planFile) throws IOException {
        PlanReader.Result read = PlanReader.read(planFile);
        if (read.plan() == null) {
            throw new IOException(
                    read.errors().stream().map(PlanError::toString).collect(Collectors.joining("\n")));
        }
        return new StaticPlacement(read.plan());
    }

    /** Warms up and listens once it knows hosts, unless a shutdown was requested; returns then. */
    public void start() throws IOException, InterruptedException {
        threads.newThread(dispatcher.timer()).start();
        threads.newThread(endpointWatch).start();
        threads.newThread(this::sweep).start();
        if (placementWatcher != null) {
            threads.newThread(placementWatcher).start();
        }
        WarmUp.run(configuration, threads);
        // The known hosts may be out of date, and the agent's list is binding from its notice on: wait for it.
        while (!dispatcher.hasEndpoints() || endpointWatch.isAwaitingFirstAnswer()) {
            Thread.sleep(POLL_MILLIS);
        }
        synchronized (this) {
            if (!shutdownRequested) {
                clients.listen(configuration.listen());
                threads.newThread(clients).start();
                listening = true;
                dispatcher.monitor().invariants().checkStartupTime(System.nanoTime() - createdNanos);
                LOG.info("{} serves at {}", configuration.name(), configuration.listen());
            }
        }
    }

    /** Validates a file, and a plan or null, as a start would; the exception's message states what is wrong. */
    public static void check(Path file, Path planFile) throws IOException {
        RouterConfiguration.read(file);
        if (planFile != null) {
            readPlan(planFile);
        }
    }

    /**
     * Reads the files again. Discovery's address and the plan take effect at once, and all state stays; other changes
     * wait for a restart. A file that is invalid changes nothing.
     *
     * @return whether the files have taken effect
     */
    public synchronized boolean reload() {
        try {
            RouterConfiguration next = RouterConfiguration.read(file);
            List<String> restartOnly = changesThatNeedRestart(next);
            if (planFile != null) {
                String objection = dispatcher.cells().replacePlan(readPlan(planFile));
                if (objection != null) {
                    throw new IOException(planFile + ": " + objection);
                }
            }
            endpointWatch.changeAddress(next.discovery());
            LOG.info(
                    "reloaded: discovery is at {}{}",
                    next.discovery(),
                    restartOnly.isEmpty() ? "" : "; for a restart: " + String.join(", ", restartOnly));
            return true;
        } catch (IOException | RuntimeException e) {
            LOG.warn("not reloaded, all stays as it was: {}", e.toString());
            return false;
        }
    }

    private List<String> changesThatNeedRestart(RouterConfiguration next) {
        List<String> changes = new ArrayList<>();
        if (!next.listen().equals(configuration.listen())) {
            changes.add("listen");
        }
        if (!next.settings().equals(configuration.settings())) {
            changes.add("settings");
        }
        if (next.memoryMb() != configuration.memoryMb() || next.descriptors() != configuration.descriptors()) {
            changes.add("limits");
        }
        return changes;
    }

    private void sweep() {
        while (!stopped) {
            try {
                Thread.sleep(SWEEP_MILLIS);
                pool.sweep();
                dispatcher.sweep();
                dispatcher.monitor().sweep();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                LOG.error("the sweep continues after an internal error", e);
            }
        }
    }

    /**
     * Shuts down gracefully: serves as before until clients can know of it, then closes each connection once its
     * requests are answered; returns when all are closed or their time is over.
     */
    public void drain() throws InterruptedException {
        synchronized (this) {
            shutdownRequested = true;
            if (!listening) {
                LOG.info("ended before it served");
                return;
            }
        }
        LOG.info("draining with {} clients and {} connections to hosts", clients.connectionCount(), pool.openCount());
        GracefulShutdown shutdown = new GracefulShutdown(dispatcher.nowNanos(), maxRequestNanos);
        TimeUnit.NANOSECONDS.sleep(GracefulShutdown.NOTICE_NANOS);
        clients.drain(shutdown);
        while (clients.connectionCount() > 0
                && dispatcher.nowNanos() < shutdown.endNanos() + ClientConnection.LINGER_NANOS) {
            Thread.sleep(POLL_MILLIS);
        }
        Thread.sleep(FLUSH_MILLIS);
        stopped = true;
        endpointWatch.stop();
        if (placementWatcher != null) {
            placementWatcher.stop();
        }
        dispatcher.stop();
        dispatcher.monitor().logChanges();
        LOG.info("drained");
    }
}
