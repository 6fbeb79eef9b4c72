package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Completes a client's queries, one after the other, until none can be started. For a client that pipelines, several
 * threads run it concurrently, since the time budget of each query runs from the query's own last byte. The thread that
 * has completed the answer that is due next writes it, as far as the client receives it; the reader writes the rest.
 */
final class RequestTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTask.class);

    private final ClientConnection client;
    private final ClientServer clientServer;
    private final RequestDispatcher dispatcher;
    private final ClientChannel channel;
    private final PipelineQueue queue;
    private final Admission admission;
    private final QueryHandler handler;

    RequestTask(
            ClientConnection client,
            ClientServer clientServer,
            RequestDispatcher dispatcher,
            ServerConnectionPool serverConnections,
            PipelineQueue queue) {
        this.client = client;
        this.clientServer = clientServer;
        this.dispatcher = dispatcher;
        this.channel = client.channel();
        this.queue = queue;
        this.admission = new Admission(dispatcher, channel, queue);
        this.handler = new QueryHandler(client, clientServer, dispatcher, serverConnections, queue, admission);
    }

    @Override
    public void run() {
        for (PipelineEntry next = queue.startNext(maxTasks()); next != null; next = queue.startNext(maxTasks())) {
            try {
                startTasks();
                complete(next, handler.answer(next));
                startTasks();
                writeAnswers(Long.MAX_VALUE);
            } catch (IOException e) {
                LOG.debug("a client connection failed: {}", e.toString());
                failConnection(CloseCause.CLIENT_BROKEN);
                releaseAbandonedId(next);
            } catch (RuntimeException | Error e) {
                LOG.error("ending a client's connection after an internal error", e);
                failConnection(CloseCause.FAULT);
                releaseAbandonedId(next);
            }
            client.activity().markUsed();
        }
        if (clientServer.shutdown() != null) {
            clientServer.requestAttention(client);
        }
    }

    private void complete(PipelineEntry entry, QueryReply reply) {
        if (reply.refusesConnection()) {
            queue.refuse(this::refuseQuery);
        }
        if (!queue.complete(entry, reply, dispatcher.nowNanos())) {
            releaseAbandonedId(entry);
        }
    }

    private MessageWriter refuseQuery() {
        QueryRejection.NOT_ADMITTED.record(dispatcher.monitor());
        return Admission.connectionRefused();
    }

    /**
     * Where cells are configured, the first request names the connection's tenant; until then only one task may run.
     */
    private int maxTasks() {
        return dispatcher.hasCells() && admission.connectionPermit() == null ? 1 : Integer.MAX_VALUE;
    }

    /**
     * Starts a task for each entry that can run now. An entry for which there is no thread is left to a running task;
     * without one it is rejected before it is submitted.
     */
    void startTasks() {
        boolean advances = true;
        while (advances && queue.reserveTask(maxTasks())) {
            advances = startReservedTask();
        }
    }

    /** Starts a task that was reserved in the queue, or rejects its entry; returns false if it is left to another. */
    boolean startReservedTask() {
        if (clientServer.execute(this, queue.taskCount() - 1)) {
            return true;
        }
        PipelineEntry rejected = queue.releaseTask();
        if (rejected != null) {
            QueryRejection.NO_THREAD.record(dispatcher.monitor());
            queue.complete(
                    rejected,
                    QueryReply.of(ErrorResponse.error(
                            ErrorResponse.TOO_MANY_CONNECTIONS,
                            "declined, as too many requests are in flight; it has not run")),
                    dispatcher.nowNanos());
        }
        return rejected != null;
    }

    /**
     * Ends a connection that failed without further answers, and abandons its requests in flight. May be called by any
     * thread.
     */
    void failConnection(CloseCause cause) {
        int unanswered = queue.unansweredQueries();
        List<PipelineEntry> dropped = queue.close();
        client.end().fail(cause, unanswered);
        markDisconnected(dropped);
        runApartFromReader(() -> abandon(dropped));
    }

    /**
     * Writes the answers that are due, unless another thread is writing, until the client receives no more of them.
     *
     * @param endNanoTime the {@code System.nanoTime} after which no further answer is begun, or Long.MAX_VALUE
     */
    void writeAnswers(long endNanoTime) throws IOException {
        for (PipelineEntry first = queue.beginWrite(); first != null; first = queue.beginWrite()) {
            if (!write(first.unwritten())) {
                clientServer.requestAttention(client);
                return;
            }
            client.activity().markUsed();
            if (first.closesConnection()) {
                client.activity().markClosing();
                abandon(queue.close());
                clientServer.requestAttention(client);
            }
            queue.endWrite();
            InFlightRequest answered = first.takeInFlight();
            if (answered != null) {
                dispatcher.releaseAnsweredId(answered);
            }
            startTasks();
            if (endNanoTime != Long.MAX_VALUE && System.nanoTime() >= endNanoTime) {
                clientServer.requestAttention(client);
                return;
            }
        }
    }

    /** Writes what the client can receive; returns false if bytes are left, which ends the writing for now. */
    private boolean write(ByteBuffer bytes) throws IOException {
        boolean progressed = false;
        int limit = bytes.limit();
        while (bytes.hasRemaining()) {
            bytes.limit(Math.min(limit, bytes.position() + MessageWriter.MAX_WRITE_BYTES));
            int written = channel.write(bytes);
            bytes.limit(limit);
            if (written == 0) {
                queue.suspendWrite(progressed, System.nanoTime());
                return false;
            }
            progressed = true;
        }
        return true;
    }

    /** Cancels the query whose answer is due next; the queries pipelined after it continue. */
    void cancel() {
        PipelineEntry current = queue.firstUnanswered();
        if (current != null) {
            current.cancel();
            InFlightRequest request = current.inFlight();
            if (request != null) {
                runApartFromReader(() -> dispatcher.abandon(request));
            }
        }
    }

    /** The router's own answer to a query that no host has to run, or null. */
    MessageWriter localAnswer(PipelineEntry entry) {
        return handler.localAnswer(entry);
    }

    /** The permit by which the connection counts towards its tenant's quota, or null. */
    AdmissionPermit connectionPermit() {
        return admission.connectionPermit();
    }

    /**
     * Abandons the requests in flight of a client that has disconnected, and releases its part of the tenant's quota.
     */
    void onDisconnected() {
        List<PipelineEntry> entries = queue.close();
        boolean hasRequests = markDisconnected(entries);
        if (hasRequests || admission.connectionPermit() != null) {
            runApartFromReader(() -> {
                abandon(entries);
                admission.releaseConnection();
            });
        }
    }

    /** Makes the requests of these entries known as abandoned; returns whether there are any. */
    private static boolean markDisconnected(List<PipelineEntry> entries) {
        boolean hasRequests = false;
        for (PipelineEntry entry : entries) {
            InFlightRequest request = entry.inFlight();
            if (request != null) {
                request.request.clientDisconnected = true;
                hasRequests = true;
            }
        }
        return hasRequests;
    }

    /** Runs what takes the dispatcher's lock, for which the reader must not wait, on another thread if there is one. */
    private void runApartFromReader(Runnable action) {
        if (!clientServer.execute(action, 0)) {
            action.run();
        }
    }

    private void abandon(List<PipelineEntry> entries) {
        for (PipelineEntry each : entries) {
            InFlightRequest request = each.inFlight();
            if (request != null) {
                dispatcher.abandon(request);
            }
            if (each.answer() != null) {
                releaseAbandonedId(each);
            }
        }
    }

    private void releaseAbandonedId(PipelineEntry entry) {
        InFlightRequest request = entry.takeInFlight();
        if (request != null) {
            dispatcher.releaseAbandonedId(request);
        }
    }
}
