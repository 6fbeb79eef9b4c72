package beaconladder.serve;

import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Word;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.pg.Room;
import beaconladder.pg.Statement;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The connections to hosts: those in use, a thread each, and those that wait for the next use. */
final class Lines implements Errands {
    private final Desk desk;
    private final TaskStarter threads;
    private final Room room;
    private final long dialNanos;
    private final String probeQuery;
    private final boolean probeReports;
    private final boolean cancels;
    private final Opener opener;
    private final IdleLines idle;
    private final Set<HostCall> calls = ConcurrentHashMap.newKeySet();
    private final Descriptors descriptors;

    Lines(
            Desk desk,
            Map<String, String> start,
            TaskStarter threads,
            Room room,
            Descriptors descriptors,
            Opener opener) {
        this.desk = desk;
        this.descriptors = descriptors;
        this.idle = new IdleLines(descriptors);
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
        Line line(InetSocketAddress address, Room room) throws IOException;
    }

    /** Descriptors held. */
    int open() {
        return descriptors.held(Descriptors.Use.HOST);
    }

    /** Makes a connection that is not yet open, within this moment (a nanoTime); null where there is no descriptor. */
    Line make(InetSocketAddress address, long until) throws IOException {
        boolean taken = descriptors.take(Descriptors.Use.HOST)
                || idle.closeOldest() && descriptors.take(Descriptors.Use.HOST)
                || descriptors.take(Descriptors.Use.HOST, until);
        if (!taken) {
            return null;
        }
        boolean made = false;
        try {
            Line line = opener.line(address, room);
            made = true;
            return line;
        } finally {
            descriptors.give(Descriptors.Use.HOST, made ? 0 : 1);
        }
    }

    /** The connections that wait for their next use. */
    IdleLines idle() {
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
    void begun(HostCall call) {
        calls.add(call);
    }

    void over(HostCall call) {
        calls.remove(call);
    }

    /** Sees a submission through on the caller's thread; what became of it is told to the desk. */
    void send(Hand.Order order, Statement statement) {
        HostCall call = new HostCall(
                this, desk, order.submission().host, order.submission(), statement, desk.nanoTime(order.nanos()));
        // The answer of a copy must not wait for one that can't be called off, unless there is no thread for
        // it.
        if (cancels || !threads.tryExecute(call)) {
            call.run();
        }
    }

    @Override
    public void start(Hand hand, Hand.Order order) {
        if (!threads.tryExecute(() -> send(order, hand.statement))) {
            desk.attempts().ended(order.submission(), Outcome.MOOT, Word.SILENT, Word.SILENT, null);
        }
    }

    /** One whose call has not begun yet finds its txn at an end before it writes anything. */
    @Override
    public void cancel(Submission submission) {
        for (HostCall call : calls) {
            if (call.submission() == submission) {
                call.cancel();
            }
        }
    }

    @Override
    public void probe(Host host) {
        if (!threads.tryExecute(new HostCall(this, desk, host, null, null, System.nanoTime() + dialNanos))) {
            desk.attempts().probed(host, Outcome.MOOT, Word.SILENT);
        }
    }

    @Override
    public void closeIdle(Host host) {
        idle.close(host);
    }

    /** Closes what lay idle too long, and calls that hang past their time. */
    void sweep() {
        long now = System.nanoTime();
        idle.sweep(now - desk.keepIdle());
        for (HostCall call : calls) {
            // A call ends itself by its time-outs; only one stuck in a write gets here.
            if (now - call.until() > 100_000_000) {
                call.cancel();
            }
        }
    }

    boolean closeOldest() {
        return idle.closeOldest();
    }
}
