package beaconladder.server;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The connections to hosts: those in use, each by an exchange on its own thread, and the idle ones. */
final class ServerConnectionPool implements HostActions {
    /** An exchange that has not ended this long after its deadline is blocked in a write. */
    private static final long STUCK_NANOS = 100_000_000;

    private final RequestDispatcher dispatcher;
    private final TaskStarter taskStarter;
    private final MemoryLimit memory;
    private final long connectTimeoutNanos;
    private final String healthCheckQuery;
    private final boolean healthChecksReportLoad;
    private final boolean cancelsAttempts;
    private final ConnectionFactory connectionFactory;
    private final IdleConnections idleConnections;
    private final Set<HostExchange> exchanges = ConcurrentHashMap.newKeySet();
    private final DescriptorLimit descriptors;

    ServerConnectionPool(
            RequestDispatcher dispatcher,
            Map<String, String> settings,
            TaskStarter taskStarter,
            MemoryLimit memory,
            DescriptorLimit descriptors,
            ConnectionFactory connectionFactory) {
        this.dispatcher = dispatcher;
        this.descriptors = descriptors;
        this.idleConnections = new IdleConnections(descriptors);
        this.connectionFactory = connectionFactory;
        this.cancelsAttempts = "true".equals(settings.get("limits.cancel"));
        this.memory = memory;
        this.taskStarter = taskStarter;
        this.connectTimeoutNanos = Long.parseLong(settings.getOrDefault("limits.dial_timeout_us", "250000")) * 1_000;
        // The response to SELECT 1 shows only that the process runs; a load report has position, role and load.
        this.healthChecksReportLoad = !"off".equals(settings.getOrDefault("load_report.how", "off"));
        this.healthCheckQuery = healthChecksReportLoad ? "SHOW server_load" : "SELECT 1";
    }

    /** Creates a connection that is not yet open. */
    interface ConnectionFactory {
        ServerConnection create(InetSocketAddress address, MemoryLimit memory) throws IOException;
    }

    /** The number of descriptors that connections to hosts hold. */
    int openCount() {
        return descriptors.held(DescriptorLimit.Use.SERVER);
    }

    /**
     * Creates a connection that is not yet open; where no descriptor is free, the connection that has been idle longest
     * is closed for it.
     *
     * @param deadlineNanos when to stop waiting for a descriptor, on System.nanoTime's clock
     * @return the connection, or null where no descriptor is free by then
     */
    ServerConnection newConnection(InetSocketAddress address, long deadlineNanos) throws IOException {
        boolean acquired = descriptors.acquire(DescriptorLimit.Use.SERVER)
                || idleConnections.closeOldest() && descriptors.acquire(DescriptorLimit.Use.SERVER)
                || descriptors.acquire(DescriptorLimit.Use.SERVER, deadlineNanos);
        if (!acquired) {
            return null;
        }
        boolean created = false;
        try {
            ServerConnection connection = connectionFactory.create(address, memory);
            created = true;
            return connection;
        } finally {
            descriptors.release(DescriptorLimit.Use.SERVER, created ? 0 : 1);
        }
    }

    /** The connections that are not in use. */
    IdleConnections idleConnections() {
        return idleConnections;
    }

    /** The longest time that opening a connection may take. */
    long connectTimeoutNanos() {
        return connectTimeoutNanos;
    }

    String healthCheckQuery() {
        return healthCheckQuery;
    }

    /** Returns whether the response to a health check is a load report. */
    boolean healthChecksReportLoad() {
        return healthChecksReportLoad;
    }

    /** Makes a running exchange available for cancellation. */
    void register(HostExchange exchange) {
        exchanges.add(exchange);
    }

    void unregister(HostExchange exchange) {
        exchanges.remove(exchange);
    }

    /**
     * Runs an attempt and reports its outcome to the dispatcher: on the caller's thread where attempts can be
     * cancelled, else on a thread of its own if one is free.
     */
    void send(InFlightRequest.Command command, Statement statement) {
        HostExchange exchange = new HostExchange(
                this,
                dispatcher,
                command.attempt().host,
                command.attempt(),
                statement,
                dispatcher.toNanoTime(command.deadlineNanos()));
        // The response to a hedged request must not wait for an attempt that can't be cancelled.
        if (cancelsAttempts || !taskStarter.tryExecute(exchange)) {
            exchange.run();
        }
    }

    @Override
    public void start(InFlightRequest request, InFlightRequest.Command command) {
        if (!taskStarter.tryExecute(() -> send(command, request.statement))) {
            dispatcher
                    .attemptEvents()
                    .attemptEnded(command.attempt(), Outcome.MOOT, HostReport.EMPTY, HostReport.EMPTY, null);
        }
    }

    /** {@inheritDoc} An attempt whose exchange has not begun is not sent either, as its request has ended by then. */
    @Override
    public void cancel(Attempt attempt) {
        for (HostExchange exchange : exchanges) {
            if (exchange.attempt() == attempt) {
                exchange.cancel();
            }
        }
    }

    @Override
    public void probe(Host host) {
        if (!taskStarter.tryExecute(
                new HostExchange(this, dispatcher, host, null, null, System.nanoTime() + connectTimeoutNanos))) {
            dispatcher.attemptEvents().healthCheckEnded(host, Outcome.MOOT, HostReport.EMPTY);
        }
    }

    @Override
    public void closeIdle(Host host) {
        idleConnections.close(host);
    }

    /** Closes connections that were idle too long, and cancels exchanges that are blocked past their deadline. */
    void sweep() {
        long now = System.nanoTime();
        idleConnections.sweep(now - dispatcher.maxIdleNanos());
        for (HostExchange exchange : exchanges) {
            // Exchanges end by their own timeouts, except one that is blocked in a write.
            if (now - exchange.deadlineNanos() > STUCK_NANOS) {
                exchange.cancel();
            }
        }
    }

    boolean closeOldestIdle() {
        return idleConnections.closeOldest();
    }
}
