package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import beaconladder.routing.state.Group;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers one client's queries: parses, admits and submits each, then runs the dispatcher's commands for it. */
final class QueryHandler {
    private static final Logger LOG = LoggerFactory.getLogger(QueryHandler.class);

    private final ClientConnection client;
    private final ClientServer clientServer;
    private final RequestDispatcher dispatcher;
    private final ServerConnectionPool serverConnections;
    private final PipelineQueue queue;
    private final Admission admission;

    QueryHandler(
            ClientConnection client,
            ClientServer clientServer,
            RequestDispatcher dispatcher,
            ServerConnectionPool serverConnections,
            PipelineQueue queue,
            Admission admission) {
        this.client = client;
        this.clientServer = clientServer;
        this.dispatcher = dispatcher;
        this.serverConnections = serverConnections;
        this.queue = queue;
        this.admission = admission;
    }

    /** Returns the router's own answer to a query that no host has to run, or that is invalid; otherwise null. */
    MessageWriter localAnswer(PipelineEntry entry) {
        return ParsedQuery.parse(entry.query(), entry.statement(), dispatcher).answer();
    }

    /**
     * Returns the final answer to a query, after at most the query's time budget; also where answering it fails, as the
     * queries behind it have to go on. The request stays set at the entry, so that its id is released once the answer
     * is written.
     */
    QueryReply answer(PipelineEntry entry) {
        try {
            return answerOrFail(entry);
        } catch (InterruptedException | RuntimeException | Error e) {
            LOG.error("a query ends with an internal error", e);
            InFlightRequest request = entry.inFlight();
            if (request != null) {
                dispatcher.abandon(request);
            }
            return QueryReply.of(ErrorResponse.error(
                    ErrorResponse.STATEMENT_COMPLETION_UNKNOWN, "an internal error of the router; it may have run"));
        }
    }

    private QueryReply answerOrFail(PipelineEntry entry) throws InterruptedException {
        ParsedQuery query = ParsedQuery.parse(entry.query(), entry.statement(), dispatcher);
        if (query.answer() != null) {
            return QueryReply.of(query.answer());
        }
        client.activity().setHasSentRequest(true);
        long arrivedNanos = entry.startNanos();
        long expiryNanos = expiryNanos(query, arrivedNanos);
        if (expiryNanos <= dispatcher.nowNanos()) {
            QueryRejection.NO_TIME.record(dispatcher.monitor());
            return QueryReply.of(ErrorResponse.error(
                    ErrorResponse.CANNOT_CONNECT_NOW, "no time is left for it here; it has not run"));
        }
        if (dispatcher.hasCells()) {
            return executeIfAdmitted(entry, query, arrivedNanos, expiryNanos);
        }
        return execute(entry, query, query.requestParameters(query.group(), arrivedNanos, expiryNanos, null));
    }

    private long expiryNanos(ParsedQuery query, long arrivedNanos) {
        long budgetNanos = Math.min(query.budgetNanos(), dispatcher.maxRequestNanos());
        GracefulShutdown shutdown = clientServer.shutdown();
        return shutdown == null
                ? arrivedNanos + budgetNanos
                : shutdown.expiryNanos(arrivedNanos, budgetNanos, query.writes(dispatcher));
    }

    /** Executes a query once its cell has admitted it; used where cells are configured. */
    private QueryReply executeIfAdmitted(PipelineEntry entry, ParsedQuery query, long arrivedNanos, long expiryNanos)
            throws InterruptedException {
        Admission.Result result =
                admission.admit(query, entry.query().length(), arrivedNanos, expiryNanos, isAbandoned(entry));
        AdmissionPermit permit = result.permit();
        if (permit == null) {
            QueryRejection.NOT_ADMITTED.record(dispatcher.monitor());
            return new QueryReply(entry.isCancelled() ? cancelled() : result.answer(), result.refusesConnection());
        }
        Group group = dispatcher.group(permit.group());
        if (group == null) {
            dispatcher.cells().releasePermit(permit);
            return QueryReply.of(ErrorResponse.rejected("no host of the cell is known", 0));
        }
        return execute(entry, query, query.requestParameters(group, arrivedNanos, expiryNanos, permit));
    }

    private QueryReply execute(PipelineEntry entry, ParsedQuery query, RequestParameters parameters)
            throws InterruptedException {
        InFlightRequest request = dispatcher.submit(parameters, client.requests());
        if (request == null) {
            if (parameters.permit() != null) {
                dispatcher.cells().releasePermit(parameters.permit());
            }
            QueryRejection.DUPLICATE_ID.record(dispatcher.monitor());
            return QueryReply.of(ErrorResponse.error(
                    ErrorResponse.INVALID_PARAMETER_VALUE, "the id of a request that is in flight or may have run"));
        }
        entry.setInFlight(request);
        if (isAbandoned(entry).getAsBoolean()) {
            dispatcher.abandon(request);
        }
        return QueryReply.of(runCommands(entry, request));
    }

    private BooleanSupplier isAbandoned(PipelineEntry entry) {
        return () -> queue.isClosed() || entry.isCancelled();
    }

    /** Runs the dispatcher's commands until the request is finished; returns the final answer. */
    private MessageWriter runCommands(PipelineEntry entry, InFlightRequest request) throws InterruptedException {
        while (true) {
            InFlightRequest.Command command = request.awaitCommand();
            switch (command.kind()) {
                case SEND -> serverConnections.send(command, request.statement);
                case COMMITTED -> {
                    return command.answer().readyForQuery();
                }
                case REJECTED -> {
                    return ErrorResponse.rejected(command.retryAfterNanos());
                }
                case ROLLED_BACK -> {
                    return ErrorResponse.error(
                            ErrorResponse.STATEMENT_COMPLETION_UNKNOWN, "rolled back; it may have run");
                }
                case CLIENT_GONE -> {
                    return entry.isCancelled() ? cancelled() : new MessageWriter();
                }
            }
        }
    }

    private static MessageWriter cancelled() {
        return ErrorResponse.error(ErrorResponse.QUERY_CANCELED, "cancelled at the client's request; it may have run");
    }
}
