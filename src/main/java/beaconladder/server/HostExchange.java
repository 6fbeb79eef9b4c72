package beaconladder.server;

import beaconladder.invariants.SentAttempt;
import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.server.ExchangeResult.Progress;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An exchange with a host, on the thread that runs it: an attempt of a request, or a health check. Any thread may
 * cancel it; the connection and the cancellation flag are guarded by this object's monitor.
 */
final class HostExchange implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(HostExchange.class);

    private final ServerConnectionPool pool;
    private final RequestDispatcher dispatcher;
    private final Host host;
    private final Attempt attempt;
    private final Statement statement;
    private final long deadlineNanos;
    /** The connection in use, or null before and after. */
    private ServerConnection connection;

    private boolean cancelled;
    /** Whether the query may have reached the host, in part or completely. */
    private boolean writeBegun;

    private boolean localFault;

    /**
     * An exchange that has not begun.
     *
     * @param attempt the attempt to send, or null for a health check
     * @param statement the attempt's statement, or null for a health check
     * @param deadlineNanos when the exchange has to end, on System.nanoTime's clock
     */
    HostExchange(
            ServerConnectionPool pool,
            RequestDispatcher dispatcher,
            Host host,
            Attempt attempt,
            Statement statement,
            long deadlineNanos) {
        this.pool = pool;
        this.dispatcher = dispatcher;
        this.host = host;
        this.attempt = attempt;
        this.statement = statement;
        this.deadlineNanos = deadlineNanos;
    }

    @Override
    public void run() {
        pool.register(this);
        ExchangeResult result = ExchangeResult.unanswered(Progress.NOT_CONNECTED);
        boolean notSent = false;
        try {
            boolean connected = connect();
            // An attempt whose time ran out before it was sent is no evidence against the host.
            notSent = attempt != null
                    && (connected ? !dispatcher.attemptEvents().maySend(attempt) : System.nanoTime() >= deadlineNanos);
            if (connected && !notSent) {
                result = exchange();
            }
        } catch (RuntimeException | Error e) {
            // The request needs an outcome in any case, and a query that was written may have run.
            LOG.error("internal error in an exchange with a host", e);
            result = ExchangeResult.unanswered(writeBegun ? Progress.QUERY_WRITTEN : Progress.NOT_CONNECTED);
        }
        pool.unregister(this);
        boolean wasCancelled =
                releaseConnection(connection != null && (notSent ? connection.isEstablished() : result.reusable()));
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
                .attemptEnded(attempt, outcome, result.responseReport(), result.loadReport(), result.messages());
    }

    private ExchangeResult exchange() {
        if (attempt == null) {
            writeBegun = true;
            return connection.send(MessageWriter.query(pool.healthCheckQuery()))
                    ? connection.receive(deadlineNanos)
                    : ExchangeResult.unanswered(Progress.QUERY_INCOMPLETE);
        }
        long writeBeginNanos = dispatcher.nowNanos();
        long budgetMillis = Math.max(
                1, dispatcher.attemptEvents().advertisedTimeoutNanos(deadlineNanos - System.nanoTime()) / 1_000_000);
        MessageWriter query = MessageWriter.query(statement.withDelayMillis(budgetMillis));
        writeBegun = true;
        if (!connection.send(query)) {
            return ExchangeResult.unanswered(Progress.QUERY_INCOMPLETE);
        }
        // Read before attemptSent, which waits for the dispatcher's lock: the wait is not part of the write.
        long writeEndNanos = dispatcher.nowNanos();
        dispatcher
                .attemptEvents()
                .attemptSent(new SentAttempt(attempt, writeBeginNanos, writeEndNanos, budgetMillis * 1_000_000));
        return connection.receive(deadlineNanos);
    }

    /** Takes an idle connection that is still open, or opens one; returns false where neither succeeds in time. */
    private boolean connect() {
        InetSocketAddress address = dispatcher.address(host);
        while (address != null) {
            ServerConnection candidate =
                    pool.idleConnections().take(host, System.nanoTime() - dispatcher.maxIdleNanos());
            boolean isNew = candidate == null;
            if (isNew) {
                try {
                    candidate = pool.newConnection(address, deadlineNanos);
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
                        candidate.open(Math.min(deadlineNanos, System.nanoTime() + pool.connectTimeoutNanos()));
                return opened == ServerConnection.OpenResult.LOCAL_FAULT
                        ? recordLocalFault()
                        : opened == ServerConnection.OpenResult.OPEN;
            }
            if (candidate.address.equals(address) && candidate.isAlive()) {
                return true;
            }
            discardConnection();
        }
        return false;
    }

    /** Closes an idle connection that can't be reused. */
    private synchronized void discardConnection() {
        pool.idleConnections().close(connection);
        connection = null;
    }

    /** Counts a connection attempt that failed on this machine; returns false, as there is no connection. */
    private boolean recordLocalFault() {
        localFault = true;
        dispatcher.monitor().counters().add("network", LocalNetworkFault.CONNECT);
        return false;
    }

    Attempt attempt() {
        return attempt;
    }

    /** When the exchange has to end, on System.nanoTime's clock. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Cancels the exchange; its connection is closed, so that a late response can't be taken for the next one. */
    synchronized void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Keeps or closes the connection; returns whether the exchange was cancelled. */
    private synchronized boolean releaseConnection(boolean reusable) {
        if (connection != null) {
            if (reusable && !cancelled) {
                pool.idleConnections().release(host, connection);
            } else {
                pool.idleConnections().close(connection);
            }
            connection = null;
        }
        return cancelled;
    }
}
