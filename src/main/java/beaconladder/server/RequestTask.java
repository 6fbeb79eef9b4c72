package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Completes a client's queries, one after the other, while there are any. Several threads run it concurrently for a
 * client that pipelines, since the time budget of each query runs from its own last byte; whichever has the answer that
 * is due next writes it.
 */
final class RequestTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTask.class);
    /** A client that reads nothing for this long while it is written to is disconnected. */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

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
                LOG.error("a client's connection ends", e);
                closeConnection();
            }
            client.activity().markUsed();
        }
        if (clientServer.shutdown() != null) {
            clientServer.resume(client);
        }
    }

    /** Where there are cells, the first request shows the connection's tenant, and runs alone. */
    private int maxTasks() {
        return dispatcher.hasCells() && admission.connectionPermit() == null ? 1 : Integer.MAX_VALUE;
    }

    /** Starts a task for each entry that can start now; without a free thread the entry waits for this task. */
    private void startMoreTasks() {
        while (queue.reserveTask(maxTasks())) {
            if (!clientServer.execute(this)) {
                queue.releaseTask(null);
                return;
            }
        }
    }

    /** Closes a connection that failed and abandons its requests in flight. */
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

    /** Cancels the query whose answer is due next; the queries pipelined behind it stay. */
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

    /** The client has disconnected: abandons its requests in flight and releases its place in the tenant's quota. */
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

    /** Writes all of it, and waits for a client that reads slowly. */
    private void write(MessageWriter out) throws IOException, InterruptedException {
        ByteBuffer bytes = out.asByteBuffer();
        long lastProgress = System.nanoTime();
        while (bytes.hasRemaining()) {
            if (channel.write(bytes) > 0) {
                lastProgress = System.nanoTime();
            } else if (System.nanoTime() - lastProgress > WRITE_TIMEOUT_NANOS) {
                throw new ClientStalledException();
            } else {
                Thread.sleep(2);
            }
        }
    }
}
