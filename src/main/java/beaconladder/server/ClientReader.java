package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.ReadStatus;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Handles a client's messages in order. Used only by the thread that reads for all clients. */
final class ClientReader {
    private final ClientConnection client;
    private final ClientServer clientServer;
    private final RequestDispatcher dispatcher;
    private final ClientChannel channel;
    private final MessageReader in;
    private final PipelineQueue queue;
    private final RequestTask task;
    /** Whether the startup is complete. */
    private boolean started;
    /** Whether messages are skipped until Sync, as after an error in the extended query protocol. */
    private boolean skippingToSync;

    ClientReader(
            ClientConnection client,
            ClientServer clientServer,
            RequestDispatcher dispatcher,
            MessageReader in,
            PipelineQueue queue,
            RequestTask task) {
        this.client = client;
        this.clientServer = clientServer;
        this.dispatcher = dispatcher;
        this.channel = client.channel();
        this.in = in;
        this.queue = queue;
        this.task = task;
    }

    /** Whether the startup is complete. */
    boolean isStarted() {
        return started;
    }

    /** Handles all messages that have arrived completely, as long as the pipeline has space. */
    void handleMessages() throws IOException {
        while (!client.activity().isClosing()) {
            if (queue.pauseReaderIfFull()) {
                in.pauseMessageTimer();
                return;
            }
            ReadStatus status = in.nextMessage(!started);
            if (status == ReadStatus.INCOMPLETE) {
                return;
            }
            if (status != ReadStatus.MESSAGE) {
                if (started) {
                    closeWithError(
                            status == ReadStatus.OUT_OF_MEMORY
                                    ? "a long message while there is no room for more of them"
                                    : "a message of impossible length");
                } else {
                    respond(StartupResponse.fatal(
                            ErrorResponse.PROTOCOL_VIOLATION, "a startup message of impossible length"));
                }
            } else if (started) {
                client.activity().markUsed();
                handleMessage();
            } else {
                respond(StartupResponse.of(in, clientServer.connectionTable().isFull(), client.cancelKey()));
            }
        }
    }

    /** Sends the response to a startup message. */
    void respond(StartupResponse response) throws IOException {
        if (response.kind() == StartupResponse.Kind.CANCEL) {
            clientServer.connectionTable().cancel(response.key());
            client.close(CloseCause.CANCEL_REQUEST);
            return;
        }
        started = response.kind() == StartupResponse.Kind.COMPLETE;
        if (started) {
            client.activity().markUsed();
        }
        sendNow(response.answer());
        if (response.kind() == StartupResponse.Kind.FATAL) {
            channel.shutdownOutput();
            client.activity().markClosing();
        }
    }

    private void handleMessage() throws IOException {
        switch (in.type()) {
            case 'Q' -> {
                if (!in.isCStrings(1)) {
                    closeWithError("a query that is not one text");
                } else if (skippingToSync) {
                    return;
                } else if (client.isTooLate()) {
                    // It arrived after the final read, so it is rejected in pipeline order and not forwarded.
                    QueryRejection.DRAINING.record(dispatcher.monitor());
                    add(new PipelineEntry(
                            ErrorResponse.error(ErrorResponse.CANNOT_CONNECT_NOW, "this router ends; it has not run"),
                            false));
                } else {
                    add(new PipelineEntry(in.singleCString(), client.readNanos()));
                }
            }
            case 'X' -> client.close(CloseCause.CLIENT_TERMINATED);
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f' -> {
                if (!skippingToSync) {
                    skippingToSync = true;
                    add(new PipelineEntry(
                            new MessageWriter()
                                    .error(
                                            "ERROR",
                                            ErrorResponse.FEATURE_NOT_SUPPORTED,
                                            "only simple queries are spoken here",
                                            null),
                            false));
                }
            }
            case 'S' -> {
                skippingToSync = false;
                add(new PipelineEntry(new MessageWriter().readyForQuery(), false));
            }
            default -> closeWithError("a message of an unknown type");
        }
    }

    /** Sends an error in pipeline order, after which the connection closes. */
    void closeWithError(String message) throws IOException {
        add(new PipelineEntry(ErrorResponse.fatal(ErrorResponse.PROTOCOL_VIOLATION, message), true));
        client.activity().markClosing();
    }

    private void add(PipelineEntry entry) throws IOException {
        switch (queue.add(entry)) {
            case START_TASK -> {
                if (!clientServer.execute(task) && queue.releaseTask(entry)) {
                    // No thread is available, so the request is rejected before it is submitted.
                    QueryRejection.NO_THREAD.record(dispatcher.monitor());
                    sendNow(ErrorResponse.error(
                            ErrorResponse.TOO_MANY_CONNECTIONS,
                            "declined, as too many txns are in hand; it has not run"));
                }
            }
            case WRITE_NOW -> {
                // An answer that needs no task is written here; no other thread writes, as no task is running.
                sendNow(entry.answer());
                if (entry.closesConnection()) {
                    channel.shutdownOutput();
                }
            }
            default -> {}
        }
    }

    /**
     * Writes a short message without waiting.
     *
     * @throws ClientStalledException if the socket's buffer is full because the client does not read
     */
    private void sendNow(MessageWriter message) throws IOException {
        ByteBuffer bytes = message.asByteBuffer();
        channel.write(bytes);
        if (bytes.hasRemaining()) {
            throw new ClientStalledException();
        }
    }
}
