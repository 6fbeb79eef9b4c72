package beaconladder.server;

import beaconladder.invariants.SentAttempt;
import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.server.ExchangeResult.Reach;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A use of a connection, which can be called off. */
final class HostExchange implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(HostExchange.class);

    private final ServerConnectionPool lines;
    private final RequestDispatcher desk;
    private final Host host;
    private final Attempt submission;
    private final Statement statement;
    private final long until;
    /** What it uses, until it has given it back. */
    private ServerConnection line;

    private boolean cancelled;
    /** Whether the query may have reached the host, in part or whole. */
    private boolean begun;

    private boolean localFault;

    /**
     * One that has not begun.
     *
     * @param submission what is sent, or null for a probe
     * @param until a nanoTime by which it has to be over
     */
    HostExchange(
            ServerConnectionPool lines,
            RequestDispatcher desk,
            Host host,
            Attempt submission,
            Statement statement,
            long until) {
        this.lines = lines;
        this.desk = desk;
        this.host = host;
        this.submission = submission;
        this.statement = statement;
        this.until = until;
    }

    @Override
    public void run() {
        lines.begun(this);
        ExchangeResult ending = ExchangeResult.early(Reach.NOT_CONNECTED);
        boolean moot = false;
        try {
            boolean connected = connect();
            // Where its own time ran out on the way, nothing speaks against the host.
            moot = submission != null
                    && (connected ? !desk.attemptEvents().mayGo(submission) : System.nanoTime() >= until);
            if (connected && !moot) {
                ending = exchange();
            }
        } catch (RuntimeException | Error e) {
            // Whatever it is, the txn has to have its end, and what was written may have run.
            LOG.error("an exchange with a host ends by a fault of this program", e);
            ending = ExchangeResult.early(begun ? Reach.WRITTEN : Reach.NOT_CONNECTED);
        }
        lines.over(this);
        boolean calledOff = finish(line != null && (moot ? line.greeted() : ending.reusable()));
        if (submission == null) {
            tellProbe(ending);
        } else {
            tellAttempt(ending, moot, calledOff);
        }
    }

    private void tellProbe(ExchangeResult ending) {
        HostReport report = lines.probeReports() && ending.row()
                ? LoadReportParser.parse(ending.messages().cell())
                : ending.report();
        desk.attemptEvents().probed(host, localFault ? Outcome.LOCAL_FAULT : ending.outcome(), report);
    }

    private void tellAttempt(ExchangeResult ending, boolean moot, boolean calledOff) {
        Outcome outcome = localFault ? Outcome.LOCAL_FAULT : ending.outcome();
        if (moot || calledOff && (outcome == Outcome.UNREACHABLE || outcome == Outcome.LOCAL_FAULT)) {
            outcome = Outcome.MOOT;
        } else if (calledOff && outcome == Outcome.RESET) {
            outcome = Outcome.CANCELLED;
        }
        desk.attemptEvents().ended(submission, outcome, ending.word(), ending.report(), ending.messages());
    }

    private ExchangeResult exchange() {
        if (submission == null) {
            begun = true;
            return line.send(MessageWriter.query(lines.probeQuery()))
                    ? line.receive(until)
                    : ExchangeResult.early(Reach.PART_WRITTEN);
        }
        long began = desk.nowNanos();
        long millis = Math.max(1, desk.attemptEvents().toldTime(until - System.nanoTime()) / 1_000_000);
        MessageWriter query = MessageWriter.query(statement.waiting(millis));
        begun = true;
        if (!line.send(query)) {
            return ExchangeResult.early(Reach.PART_WRITTEN);
        }
        // Read before the check, which waits for the lock of the decisions.
        long ended = desk.nowNanos();
        desk.attemptEvents().sent(new SentAttempt(submission, began, ended, millis * 1_000_000));
        return line.receive(until);
    }

    /** Gets an idle connection that still stands, or makes one; false when there is none in time. */
    private boolean connect() {
        InetSocketAddress address = desk.address(host);
        while (address != null) {
            ServerConnection next = lines.idle().take(host, System.nanoTime() - desk.keepIdleNanos());
            boolean fresh = next == null;
            if (fresh) {
                try {
                    next = lines.make(address, until);
                } catch (IOException e) {
                    return localFault();
                }
                if (next == null) {
                    return false;
                }
            }
            synchronized (this) {
                line = next;
                if (cancelled) {
                    return false;
                }
            }
            if (fresh) {
                ServerConnection.Opening opening = next.open(Math.min(until, System.nanoTime() + lines.dialNanos()));
                return opening == ServerConnection.Opening.LOCAL_FAULT
                        ? localFault()
                        : opening == ServerConnection.Opening.OPEN;
            }
            if (next.address.equals(address) && next.alive()) {
                return true;
            }
            drop();
        }
        return false;
    }

    /** Closes what is of no use; it is no longer this call's then. */
    private synchronized void drop() {
        lines.idle().close(line);
        line = null;
    }

    /** This machine has no connection to give now: false. */
    private boolean localFault() {
        localFault = true;
        desk.monitor().counters().add("network", LocalNetworkFault.CONNECT);
        return false;
    }

    Attempt submission() {
        return submission;
    }

    /** The nanoTime by which it has to be over. */
    long until() {
        return until;
    }

    /** Stops it: its connection is closed, as what comes on it late is nobody's. */
    synchronized void cancel() {
        cancelled = true;
        if (line != null) {
            line.close();
        }
    }

    private synchronized boolean finish(boolean reusable) {
        if (line != null) {
            if (reusable && !cancelled) {
                lines.idle().giveBack(host, line);
            } else {
                lines.idle().close(line);
            }
            line = null;
        }
        return cancelled;
    }
}
