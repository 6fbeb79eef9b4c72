package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Completes a client's queries, one after the other, until the queue is empty. For a client that pipelines, several
 * threads run it concurrently, since the time budget of each query runs from the query's own last byte. The thread that
 * has completed the answer that is due next writes it.
 */
final class RequestTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTask.class);
    /** A client is disconnected when none of an answer could be written to it for this long. */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

    private static final int WRITE_RETRY_MILLIS = 2;

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
                startMoreTasks();
                queue.complete(next, handler.answer(next), dispatcher.nowNanos());
                startMoreTasks();
                writeAnswers();
            } catch (IOException | InterruptedException e) {
                closeConnection();
            } catch (RuntimeException | Error e) {
                LOG.error("closing a client's connection after an internal error", e);
                closeConnection();
            }
            client.activity().markUsed();
        }
        if (clientServer.shutdown() != null) {
            clientServer.resume(client);
        }
    }

    /**
     * Where cells are configured, the first request names the connection's tenant; until then only one task may run.
     */
    private int maxTasks() {
        return dispatcher.hasCells() && admission.connectionPermit() == null ? 1 : Integer.MAX_VALUE;
    }

    /** Starts a task for each entry that can run now; an entry for which no thread is free is left to this task. */
    private void startMoreTasks() {
        while (queue.reserveTask(maxTasks())) {
            if (!clientServer.execute(this)) {
                queue.releaseTask(null);
                return;
            }
        }
    }

    /** Closes a connection that failed, and abandons its requests in flight. */
    private void closeConnection() {
        client.closeChannel();
        abandon(queue.close());
    }

    /** Writes the answers that are due, unless another task is writing. */
    private void writeAnswers() throws IOException, InterruptedException {
        for (PipelineEntry first = queue.beginWrite(); first != null; first = queue.beginWrite()) {
            write(first.answer());
            client.activity().markUsed();
            if (first.closesConnection()) {
                channel.shutdownOutput();
                client.activity().markClosing();
                abandon(queue.close());
            }
            queue.endWrite();
            if (queue.resumeReader()) {
                clientServer.resume(client);
            }
        }
    }

    /** Cancels the query whose answer is due next; the queries pipelined after it continue. */
    void cancel() {
        PipelineEntry current = queue.firstUnanswered();
        if (current != null) {
            current.cancel();
            abandon(List.of(current));
        }
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
        admission.releaseConnection();
        abandon(entries);
    }

    private void abandon(List<PipelineEntry> entries) {
        for (PipelineEntry each : entries) {
            InFlightRequest request = each.inFlight();
            if (request != null) {
                dispatcher.abandon(request);
            }
        }
    }

    /** Writes all of these messages; waits while the client's receive window is full. */
    private void write(MessageWriter messages) throws IOException, InterruptedException {
        ByteBuffer bytes = messages.asByteBuffer();
        long lastProgressNanos = System.nanoTime();
        while (bytes.hasRemaining()) {
            if (channel.write(bytes) > 0) {
                lastProgressNanos = System.nanoTime();
            } else if (System.nanoTime() - lastProgressNanos > WRITE_TIMEOUT_NANOS) {
                throw new ClientStalledException();
            } else {
                Thread.sleep(WRITE_RETRY_MILLIS);
            }
        }
    }
}
