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

/**
 * One exchange with a host on the thread that runs it: an attempt of a request, or a health check. Any thread may
 * cancel it; the connection and the flag of the cancellation are guarded by this object's monitor.
 */
final class HostExchange implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(HostExchange.class);

    private final ServerConnectionPool pool;
    private final RequestDispatcher dispatcher;
    private final Host host;
    private final Attempt attempt;
    private final Statement statement;
    private final long untilNanos;
    /** The connection in use, or null before and after. */
    private ServerConnection connection;

    private boolean cancelled;
    /** Whether the query may have reached the host, in part or completely. */
    private boolean writeBegun;

    private boolean localFault;

    /**
     * An exchange that has not begun.
     *
     * @param attempt what is sent, or null for a health check
     * @param untilNanos when it has to end, on System.nanoTime's clock
     */
    HostExchange(
            ServerConnectionPool pool,
            RequestDispatcher dispatcher,
            Host host,
            Attempt attempt,
            Statement statement,
            long untilNanos) {
        this.pool = pool;
        this.dispatcher = dispatcher;
        this.host = host;
        this.attempt = attempt;
        this.statement = statement;
        this.untilNanos = untilNanos;
    }

    @Override
    public void run() {
        pool.register(this);
        ExchangeResult result = ExchangeResult.unanswered(Reach.NOT_CONNECTED);
        boolean notSent = false;
        try {
            boolean connected = connect();
            // Where its own time ran out before it was sent, that is no evidence against the host.
            notSent = attempt != null
                    && (connected ? !dispatcher.attemptEvents().maySend(attempt) : System.nanoTime() >= untilNanos);
            if (connected && !notSent) {
                result = exchange();
            }
        } catch (RuntimeException | Error e) {
            // The request needs an outcome in any case, and what was written may have run.
            LOG.error("an exchange with a host ends by an internal error", e);
            result = ExchangeResult.unanswered(writeBegun ? Reach.WRITTEN : Reach.NOT_CONNECTED);
        }
        pool.unregister(this);
        boolean wasCancelled = finish(connection != null && (notSent ? connection.isEstablished() : result.reusable()));
        if (attempt == null) {
            reportHealthCheck(result);
        } else {
            reportAttempt(result, notSent, wasCancelled);
        }
    }

    private void reportHealthCheck(ExchangeResult result) {
        HostReport report = pool.healthChecksReportLoad() && result.complete()
                ? LoadReportParser.parse(result.messages().firstValue())
                : result.loadReport();
        dispatcher.attemptEvents().healthCheckEnded(host, localFault ? Outcome.LOCAL_FAULT : result.outcome(), report);
    }

    private void reportAttempt(ExchangeResult result, boolean notSent, boolean wasCancelled) {
        Outcome outcome = localFault ? Outcome.LOCAL_FAULT : result.outcome();
        if (notSent || wasCancelled && (outcome == Outcome.UNREACHABLE || outcome == Outcome.LOCAL_FAULT)) {
            outcome = Outcome.MOOT;
        } else if (wasCancelled && outcome == Outcome.RESET) {
            outcome = Outcome.CANCELLED;
        }
        dispatcher
                .attemptEvents()
                .attemptEnded(attempt, outcome, result.statedByResponse(), result.loadReport(), result.messages());
    }

    private ExchangeResult exchange() {
        if (attempt == null) {
            writeBegun = true;
            return connection.send(MessageWriter.query(pool.healthCheckQuery()))
                    ? connection.receive(untilNanos)
                    : ExchangeResult.unanswered(Reach.PART_WRITTEN);
        }
        long writeBeginNanos = dispatcher.nowNanos();
        long budgetMillis =
                Math.max(1, dispatcher.attemptEvents().statedBudgetNanos(untilNanos - System.nanoTime()) / 1_000_000);
        MessageWriter query = MessageWriter.query(statement.withDelayMillis(budgetMillis));
        writeBegun = true;
        if (!connection.send(query)) {
            return ExchangeResult.unanswered(Reach.PART_WRITTEN);
        }
        // Read before the check, which waits for the dispatcher's lock.
        long writeEndNanos = dispatcher.nowNanos();
        dispatcher
                .attemptEvents()
                .sent(new SentAttempt(attempt, writeBeginNanos, writeEndNanos, budgetMillis * 1_000_000));
        return connection.receive(untilNanos);
    }

    /** Takes an idle connection that is still open, or opens one; false where there is none in time. */
    private boolean connect() {
        InetSocketAddress address = dispatcher.address(host);
        while (address != null) {
            ServerConnection candidate = pool.idle().take(host, System.nanoTime() - dispatcher.keepIdleNanos());
            boolean isNew = candidate == null;
            if (isNew) {
                try {
                    candidate = pool.newConnection(address, untilNanos);
                } catch (IOException e) {
                    return recordLocalFault();
                }
                if (candidate == null) {
                    return false;
                }
            }
            synchronized (this) {
                connection = candidate;
                if (cancelled) {
                    return false;
                }
            }
            if (isNew) {
                ServerConnection.OpenResult opened =
                        candidate.open(Math.min(untilNanos, System.nanoTime() + pool.connectTimeoutNanos()));
                return opened == ServerConnection.OpenResult.LOCAL_FAULT
                        ? recordLocalFault()
                        : opened == ServerConnection.OpenResult.OPEN;
            }
            if (candidate.address.equals(address) && candidate.isAlive()) {
                return true;
            }
            discard();
        }
        return false;
    }

    /** Closes a connection that can't be reused. */
    private synchronized void discard() {
        pool.idle().close(connection);
        connection = null;
    }

    /** Counts a connection that failed on this machine; false, as there is no connection. */
    private boolean recordLocalFault() {
        localFault = true;
        dispatcher.monitor().counters().add("network", LocalNetworkFault.CONNECT);
        return false;
    }

    Attempt attempt() {
        return attempt;
    }

    /** When it has to end, on System.nanoTime's clock. */
    long untilNanos() {
        return untilNanos;
    }

    /** Cancels it: its connection is closed, so that a late response can't be taken for the next one. */
    synchronized void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.close();
        }
    }

    private synchronized boolean finish(boolean reusable) {
        if (connection != null) {
            if (reusable && !cancelled) {
                pool.idle().release(host, connection);
            } else {
                pool.idle().close(connection);
            }
            connection = null;
        }
        return cancelled;
    }
}
