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

/** The connections to hosts: those in use, a thread each, and those that wait for the next use. */
final class ServerConnectionPool implements HostActions {
    private final RequestDispatcher desk;
    private final TaskStarter threads;
    private final MemoryLimit room;
    private final long dialNanos;
    private final String probeQuery;
    private final boolean probeReports;
    private final boolean cancels;
    private final Opener opener;
    private final IdleConnections idle;
    private final Set<HostExchange> calls = ConcurrentHashMap.newKeySet();
    private final DescriptorLimit descriptors;

    ServerConnectionPool(
            RequestDispatcher desk,
            Map<String, String> start,
            TaskStarter threads,
            MemoryLimit room,
            DescriptorLimit descriptors,
            Opener opener) {
        this.desk = desk;
        this.descriptors = descriptors;
        this.idle = new IdleConnections(descriptors);
        this.opener = opener;
        this.cancels = "true".equals(start.get("limits.cancel"));
        this.room = room;
        this.threads = threads;
        this.dialNanos = Long.parseLong(start.getOrDefault("limits.dial_timeout_us", "250000")) * 1_000;
        // A plain probe tells that the process runs and no more; the report tells position, role and load.
        this.probeReports = !"off".equals(start.getOrDefault("load_report.how", "off"));
        this.probeQuery = probeReports ? "SHOW server_load" : "SELECT 1";
    }

    /** Makes a connection that is not yet open. */
    interface Opener {
        ServerConnection line(InetSocketAddress address, MemoryLimit room) throws IOException;
    }

    /** Descriptors held. */
    int openCount() {
        return descriptors.held(DescriptorLimit.Use.SERVER);
    }

    /** Makes a connection that is not yet open, within this moment (a nanoTime); null where there is no descriptor. */
    ServerConnection make(InetSocketAddress address, long until) throws IOException {
        boolean taken = descriptors.acquire(DescriptorLimit.Use.SERVER)
                || idle.closeOldest() && descriptors.acquire(DescriptorLimit.Use.SERVER)
                || descriptors.acquire(DescriptorLimit.Use.SERVER, until);
        if (!taken) {
            return null;
        }
        boolean made = false;
        try {
            ServerConnection line = opener.line(address, room);
            made = true;
            return line;
        } finally {
            descriptors.release(DescriptorLimit.Use.SERVER, made ? 0 : 1);
        }
    }

    /** The connections that wait for their next use. */
    IdleConnections idle() {
        return idle;
    }

    /** How long a connection may take to come up, in nanoseconds. */
    long dialNanos() {
        return dialNanos;
    }

    String probeQuery() {
        return probeQuery;
    }

    /** Whether the answer to a probe is a report. */
    boolean probeReports() {
        return probeReports;
    }

    /** This call can be called off from now on. */
    void begun(HostExchange call) {
        calls.add(call);
    }

    void over(HostExchange call) {
        calls.remove(call);
    }

    /** Sees a submission through on the caller's thread; what became of it is told to the desk. */
    void send(InFlightRequest.Command command, Statement statement) {
        HostExchange call = new HostExchange(
                this,
                desk,
                command.attempt().host,
                command.attempt(),
                statement,
                desk.toNanoTime(command.deadlineNanos()));
        // The answer of a copy must not wait for one that can't be called off, unless there is no thread for
        // it.
        if (cancels || !threads.tryExecute(call)) {
            call.run();
        }
    }

    @Override
    public void start(InFlightRequest hand, InFlightRequest.Command command) {
        if (!threads.tryExecute(() -> send(command, hand.statement))) {
            desk.attemptEvents().ended(command.attempt(), Outcome.MOOT, HostReport.EMPTY, HostReport.EMPTY, null);
        }
    }

    /** One whose call has not begun yet finds its txn at an end before it writes anything. */
    @Override
    public void cancel(Attempt submission) {
        for (HostExchange call : calls) {
            if (call.submission() == submission) {
                call.cancel();
            }
        }
    }

    @Override
    public void probe(Host host) {
        if (!threads.tryExecute(new HostExchange(this, desk, host, null, null, System.nanoTime() + dialNanos))) {
            desk.attemptEvents().probed(host, Outcome.MOOT, HostReport.EMPTY);
        }
    }

    @Override
    public void closeIdle(Host host) {
        idle.close(host);
    }

    /** Closes what lay idle too long, and calls that hang past their time. */
    void sweep() {
        long now = System.nanoTime();
        idle.sweep(now - desk.keepIdleNanos());
        for (HostExchange call : calls) {
            // A call ends itself by its time-outs; only one stuck in a write gets here.
            if (now - call.until() > 100_000_000) {
                call.cancel();
            }
        }
    }

    boolean closeOldestIdle() {
        return idle.closeOldest();
    }
}
