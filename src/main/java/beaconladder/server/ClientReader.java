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

    /**
     * Handles messages that have arrived completely, at least one of them; returns whether all have been handled.
     *
     * @param endNanoTime the {@code System.nanoTime} after which no further message is begun
     */
    boolean handleMessages(long endNanoTime) throws IOException {
        while (!client.activity().isClosing()) {
            ReadStatus status = in.nextMessage(!started);
            if (status == ReadStatus.INCOMPLETE) {
                return true;
            }
            if (status == ReadStatus.MESSAGE) {
                handleCompleteMessage(endNanoTime);
            } else {
                rejectMessage(status);
            }
            if (System.nanoTime() >= endNanoTime) {
                return false;
            }
        }
        return true;
    }

    private void handleCompleteMessage(long endNanoTime) throws IOException {
        if (!started) {
            respond(StartupResponse.of(in, clientServer.connectionTable().isFull(), client.cancelKey()));
            return;
        }
        client.activity().markUsed();
        handleMessage(endNanoTime);
    }

    private void rejectMessage(ReadStatus status) throws IOException {
        if (!started) {
            respond(StartupResponse.fatal(ErrorResponse.PROTOCOL_VIOLATION, "a startup message of impossible length"));
        } else if (status == ReadStatus.OUT_OF_MEMORY) {
            closeWithError("a long message while there is no room for more of them");
        } else {
            closeWithError("a message of impossible length");
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
            client.activity().markClosing();
        }
    }

    private void handleMessage(long endNanoTime) throws IOException {
        switch (in.type()) {
            case 'Q' -> handleQuery(endNanoTime);
            case 'X' -> {
                client.end().onTerminate();
                add(new PipelineEntry(new MessageWriter(), true), Long.MAX_VALUE);
            }
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f' -> {
                if (!skippingToSync) {
                    skippingToSync = true;
                    add(new PipelineEntry(ErrorResponse.unsupportedProtocol(), false), endNanoTime);
                }
            }
            case 'S' -> {
                skippingToSync = false;
                add(new PipelineEntry(new MessageWriter().readyForQuery(), false), endNanoTime);
            }
            default -> closeWithError("a message of an unknown type");
        }
    }

    private void handleQuery(long endNanoTime) throws IOException {
        if (!in.isCStrings(1)) {
            closeWithError("a query that is not one text");
            return;
        }
        if (skippingToSync) {
            return;
        }
        if (client.isTooLate()) {
            // It arrived after the final read, so it is rejected in pipeline order and not forwarded.
            QueryRejection.DRAINING.record(dispatcher.monitor());
            add(
                    new PipelineEntry(
                            ErrorResponse.error(ErrorResponse.CANNOT_CONNECT_NOW, "this router ends; it has not run"),
                            false),
                    endNanoTime);
            return;
        }
        String query = in.singleCString();
        add(
                query != null
                        ? new PipelineEntry(query, client.readNanos())
                        : new PipelineEntry(
                                ErrorResponse.error(
                                        ErrorResponse.CHARACTER_NOT_IN_REPERTOIRE, "a query that is not UTF-8"),
                                false),
                endNanoTime);
    }

    /** Sends the error of a message that can't be read in pipeline order, after which the connection closes. */
    void closeWithError(String message) throws IOException {
        closeWithError(ErrorResponse.PROTOCOL_VIOLATION, message);
    }

    /** Sends an error in pipeline order, after which the connection closes. */
    void closeWithError(String sqlState, String message) throws IOException {
        add(new PipelineEntry(ErrorResponse.fatal(sqlState, message), true), Long.MAX_VALUE);
        client.activity().markClosing();
    }

    /** Adds an entry, and starts its task or writes the answers that are due. */
    private void add(PipelineEntry entry, long endNanoTime) throws IOException {
        switch (queue.add(entry)) {
            case START_TASK -> {
                task.startReservedTask();
                task.writeAnswers(endNanoTime);
            }
            case WRITE_NOW -> task.writeAnswers(endNanoTime);
            case REJECTED -> {
                QueryRejection.QUEUE_FULL.record(dispatcher.monitor());
                task.writeAnswers(endNanoTime);
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
