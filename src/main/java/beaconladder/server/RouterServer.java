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

/** A router process: created from the operators' files, started once, and drained at shutdown. */
public final class RouterServer {
    private static final Logger LOG = LoggerFactory.getLogger(RouterServer.class);
    private static final int SWEEP_INTERVAL_MILLIS = 100;
    /** Time for responses in socket buffers to reach their clients before the process exits. */
    private static final int FLUSH_MILLIS = 100;

    /** The divisor of the heap for large incoming messages; their texts and the responses take as much again. */
    private static final int MESSAGE_MEMORY_DIVISOR = 6;
    /** The divisor of the descriptors for the connections that cells share. */
    private static final int CELL_CONNECTION_DIVISOR = 3;

    private static final int POLL_INTERVAL_MILLIS = 5;

    private final Path file;
    private final RouterConfiguration configuration;
    private final ThreadLimit threads;
    private final RequestDispatcher dispatcher;
    private final ServerConnectionPool pool;
    private final ClientServer clients;
    private final EndpointWatch endpointWatch;
    /** The file of the operators' plan; null if there are no cells. */
    private final Path planFile;
    /** Watches the coordinator's placement; null if there is no coordinator. */
    private final PlacementWatcher placementWatcher;
    /** The longest time budget of a request. */
    private final long maxRequestNanos;
    /** The {@code System.nanoTime} of the creation, some tenths of a second after the start of the JVM. */
    private final long createdNanoTime = System.nanoTime();

    private volatile boolean stopped;
    /** Whether clients are accepted; guarded by this. */
    private boolean listening;
    /** Guarded by this. */
    private boolean shutdownRequested;

    /**
     * Creates a router that does not yet listen.
     *
     * @param file the configuration as a JSON object of name, listen, discovery, seed, limits, known and settings
     * @param planFile the cells and their tenants, or null for none
     * @throws IOException if a file can't be read or is invalid
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

    /** Warms up, waits for the first endpoint list, and starts listening unless a shutdown was requested meanwhile. */
    public void start() throws IOException, InterruptedException {
        startRequired(dispatcher.timer());
        startRequired(endpointWatch);
        startRequired(this::sweep);
        if (placementWatcher != null) {
            startRequired(placementWatcher);
        }
        WarmUp.run(configuration, threads);
        // The hosts in the configuration may be out of date, and the agent's endpoint list is binding as soon as the
        // agent has it, so its first answer is awaited.
        while (!dispatcher.hasEndpoints() || endpointWatch.isAwaitingFirstAnswer()) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        synchronized (this) {
            if (!shutdownRequested) {
                clients.listen(configuration.listen());
                startRequired(clients);
                listening = true;
                dispatcher.monitor().invariants().checkStartupTime(System.nanoTime() - createdNanoTime);
                LOG.info("{} serves at {}", configuration.name(), configuration.listen());
            }
        }
    }

    private void startRequired(Runnable task) throws InterruptedException {
        RequiredThread.start(() -> threads.newThread(task));
    }

    /**
     * Validates the files as a start would.
     *
     * @param planFile the plan, or null for none
     * @throws IOException if a file is invalid; the message states why
     */
    public static void check(Path file, Path planFile) throws IOException {
        RouterConfiguration.read(file);
        if (planFile != null) {
            readPlan(planFile);
        }
    }

    /**
     * Reads the files again. A new discovery address and a new plan take effect immediately, and no state is lost;
     * other changes take effect at the next restart. An invalid file changes nothing.
     *
     * @return whether the files have taken effect
     */
    public synchronized boolean reload() {
        try {
            RouterConfiguration reloaded = RouterConfiguration.read(file);
            List<String> restartOnly = changesThatNeedRestart(reloaded);
            if (planFile != null) {
                String refusal = dispatcher.cells().replacePlan(readPlan(planFile));
                if (refusal != null) {
                    throw new IOException(planFile + ": " + refusal);
                }
            }
            endpointWatch.changeAddress(reloaded.discovery());
            LOG.info(
                    "reloaded: discovery is at {}{}",
                    reloaded.discovery(),
                    restartOnly.isEmpty() ? "" : "; effective after a restart: " + String.join(", ", restartOnly));
            return true;
        } catch (IOException | RuntimeException e) {
            LOG.warn("not reloaded, the previous configuration stays in force: {}", e.toString());
            return false;
        }
    }

    private List<String> changesThatNeedRestart(RouterConfiguration reloaded) {
        List<String> changes = new ArrayList<>();
        if (!reloaded.listen().equals(configuration.listen())) {
            changes.add("listen");
        }
        if (!reloaded.settings().equals(configuration.settings())) {
            changes.add("settings");
        }
        if (reloaded.memoryMb() != configuration.memoryMb() || reloaded.descriptors() != configuration.descriptors()) {
            changes.add("limits");
        }
        return changes;
    }

    private void sweep() {
        while (!stopped) {
            try {
                Thread.sleep(SWEEP_INTERVAL_MILLIS);
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
     * Shuts down gracefully: serves as before during the notice period, then closes each connection once its requests
     * are answered. Returns when all connections are closed or the deadline has passed.
     */
    public void drain() throws InterruptedException {
        synchronized (this) {
            shutdownRequested = true;
            if (!listening) {
                LOG.info("shut down before listening");
                return;
            }
        }
        LOG.info("draining with {} clients and {} connections to hosts", clients.connectionCount(), pool.openCount());
        GracefulShutdown shutdown = new GracefulShutdown(dispatcher.nowNanos(), maxRequestNanos);
        TimeUnit.NANOSECONDS.sleep(GracefulShutdown.NOTICE_NANOS);
        clients.drain(shutdown);
        while (clients.connectionCount() > 0
                && dispatcher.nowNanos() < shutdown.exitNanos() + LingeringClose.LINGER_NANOS) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
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
