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

/** The connections to hosts: those in use, one thread each, and the idle ones. */
final class ServerConnectionPool implements HostActions {
    /** An exchange that is so long past its deadline is stuck in a write. */
    private static final long STUCK_NANOS = 100_000_000;

    private final RequestDispatcher dispatcher;
    private final TaskStarter taskStarter;
    private final MemoryLimit memory;
    private final long connectTimeoutNanos;
    private final String healthCheckQuery;
    private final boolean healthChecksReportLoad;
    private final boolean cancelsAttempts;
    private final Opener opener;
    private final IdleConnections idle;
    private final Set<HostExchange> exchanges = ConcurrentHashMap.newKeySet();
    private final DescriptorLimit descriptors;

    ServerConnectionPool(
            RequestDispatcher dispatcher,
            Map<String, String> settings,
            TaskStarter taskStarter,
            MemoryLimit memory,
            DescriptorLimit descriptors,
            Opener opener) {
        this.dispatcher = dispatcher;
        this.descriptors = descriptors;
        this.idle = new IdleConnections(descriptors);
        this.opener = opener;
        this.cancelsAttempts = "true".equals(settings.get("limits.cancel"));
        this.memory = memory;
        this.taskStarter = taskStarter;
        this.connectTimeoutNanos = Long.parseLong(settings.getOrDefault("limits.dial_timeout_us", "250000")) * 1_000;
        // A plain query shows only that the process runs; a load report states position, role and load.
        this.healthChecksReportLoad = !"off".equals(settings.getOrDefault("load_report.how", "off"));
        this.healthCheckQuery = healthChecksReportLoad ? "SHOW server_load" : "SELECT 1";
    }

    /** Creates a connection that is not yet open. */
    interface Opener {
        ServerConnection create(InetSocketAddress address, MemoryLimit memory) throws IOException;
    }

    /** How many descriptors the connections to hosts hold. */
    int openCount() {
        return descriptors.held(DescriptorLimit.Use.SERVER);
    }

    /**
     * Creates a connection that is not yet open; closes the oldest idle one where descriptors are short.
     *
     * @param untilNanos how long to wait for a descriptor, on System.nanoTime's clock
     * @return null where there is no descriptor by then
     */
    ServerConnection newConnection(InetSocketAddress address, long untilNanos) throws IOException {
        boolean taken = descriptors.acquire(DescriptorLimit.Use.SERVER)
                || idle.closeOldest() && descriptors.acquire(DescriptorLimit.Use.SERVER)
                || descriptors.acquire(DescriptorLimit.Use.SERVER, untilNanos);
        if (!taken) {
            return null;
        }
        boolean created = false;
        try {
            ServerConnection connection = opener.create(address, memory);
            created = true;
            return connection;
        } finally {
            descriptors.release(DescriptorLimit.Use.SERVER, created ? 0 : 1);
        }
    }

    /** The connections that are not in use. */
    IdleConnections idle() {
        return idle;
    }

    /** How long opening a connection may take. */
    long connectTimeoutNanos() {
        return connectTimeoutNanos;
    }

    String healthCheckQuery() {
        return healthCheckQuery;
    }

    /** Whether the response to a health check is a load report. */
    boolean healthChecksReportLoad() {
        return healthChecksReportLoad;
    }

    /** From now on this exchange can be cancelled. */
    void register(HostExchange exchange) {
        exchanges.add(exchange);
    }

    void unregister(HostExchange exchange) {
        exchanges.remove(exchange);
    }

    /** Runs an attempt, on the caller's thread where it can be cancelled; the dispatcher is notified of its outcome. */
    void send(InFlightRequest.Command command, Statement statement) {
        HostExchange exchange = new HostExchange(
                this,
                dispatcher,
                command.attempt().host,
                command.attempt(),
                statement,
                dispatcher.toNanoTime(command.deadlineNanos()));
        // A hedged request's response must not wait for an attempt that can't be cancelled, unless no thread is left.
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

    /** An attempt whose exchange has not begun is not sent either: its request has ended by then. */
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
        idle.close(host);
    }

    /** Closes connections that were idle too long, and cancels exchanges that are stuck past their deadline. */
    void sweep() {
        long now = System.nanoTime();
        idle.sweep(now - dispatcher.keepIdleNanos());
        for (HostExchange exchange : exchanges) {
            // Exchanges end by their own timeouts; only one stuck in a write gets here.
            if (now - exchange.untilNanos() > STUCK_NANOS) {
                exchange.cancel();
            }
        }
    }

    boolean closeOldestIdle() {
        return idle.closeOldest();
    }
}
