package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.Got;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.nio.ByteBuffer;

/** What a client's messages say, one after the other; for the one thread that reads for all clients. */
final class ClientReader {
    private final ClientConnection client;
    private final ClientServer clients;
    private final RequestDispatcher desk;
    private final ClientChannel wire;
    private final MessageReader in;
    private final PipelineQueue ahead;
    private final RequestTask task;
    private boolean greeted;
    private boolean skipping;

    ClientReader(
            ClientConnection client,
            ClientServer clients,
            RequestDispatcher desk,
            MessageReader in,
            PipelineQueue ahead,
            RequestTask task) {
        this.client = client;
        this.clients = clients;
        this.desk = desk;
        this.wire = client.wire();
        this.in = in;
        this.ahead = ahead;
        this.task = task;
    }

    /** Whether the client has been greeted. */
    boolean greeted() {
        return greeted;
    }

    /** Handles all messages that are there whole. */
    void pump() throws IOException {
        while (!client.ending()) {
            if (ahead.pauses()) {
                in.pause();
                return;
            }
            Got got = in.poll(!greeted);
            if (got == Got.NOTHING) {
                return;
            }
            if (got != Got.MESSAGE) {
                if (greeted) {
                    sendAway(
                            got == Got.NO_ROOM
                                    ? "a long message while there is no room for more of them"
                                    : "a message of impossible length");
                } else {
                    greet(StartupResponse.fatal("08P01", "a startup message of impossible length"));
                }
            } else if (greeted) {
                client.used();
                message();
            } else {
                greet(StartupResponse.of(in, clients.crowd().full(), client.key()));
            }
        }
    }

    void greet(StartupResponse greeting) throws IOException {
        if (greeting.kind() == StartupResponse.Kind.CANCEL) {
            clients.crowd().cancel(greeting.key());
            client.leave(CloseCause.CANCEL_REQUEST);
            return;
        }
        greeted = greeting.kind() == StartupResponse.Kind.GREETED;
        if (greeted) {
            client.used();
        }
        sendNow(greeting.answer());
        if (greeting.kind() == StartupResponse.Kind.FATAL) {
            wire.shutdownOutput();
            client.told();
        }
    }

    private void message() throws IOException {
        switch (in.type()) {
            case 'Q' -> {
                if (!in.texts(1)) {
                    sendAway("a query that is not one text");
                } else if (skipping) {
                    return;
                } else if (client.tooLate()) {
                    // It came after the last look: declined in its turn, and sent nowhere.
                    refused(QueryRejection.DRAINING);
                    add(new PipelineQueue.Work(ParsedQuery.error("57P03", "this router ends; it has not run"), false));
                } else {
                    add(new PipelineQueue.Work(in.onlyText(), client.cameAt()));
                }
            }
            case 'X' -> client.leave(CloseCause.CLIENT_TERMINATED);
            case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f' -> {
                if (!skipping) {
                    skipping = true;
                    add(new PipelineQueue.Work(
                            new MessageWriter().error("ERROR", "0A000", "only simple queries are spoken here", null),
                            false));
                }
            }
            case 'S' -> {
                skipping = false;
                add(new PipelineQueue.Work(new MessageWriter().ready(), false));
            }
            default -> sendAway("a message of an unknown type");
        }
    }

    private void refused(QueryRejection why) {
        desk.monitor().counters().add("door", why);
        EventTrace.rejectedEarly("refused: " + why);
    }

    void sendAway(String cause) throws IOException {
        add(new PipelineQueue.Work(new MessageWriter().error("FATAL", "08P01", cause, null), true));
        client.told();
    }

    private void add(PipelineQueue.Work next) throws IOException {
        switch (ahead.add(next)) {
            case START_TASK -> {
                if (!clients.execute(task) && ahead.abandon(next)) {
                    // No thread is left to see a txn through: it is declined before it is taken in hand.
                    refused(QueryRejection.NO_THREAD);
                    sendNow(ParsedQuery.error("53300", "declined, as too many txns are in hand; it has not run"));
                }
            }
            case WRITE_NOW -> {
                // What needs no task is written here; nobody else writes while none is busy.
                sendNow(next.answer());
                if (next.last()) {
                    wire.shutdownOutput();
                }
            }
            default -> {}
        }
    }

    /** Writes a short message without waiting; who lets even that pile up is sent away. */
    private void sendNow(MessageWriter out) throws IOException {
        ByteBuffer bytes = out.bytes();
        wire.write(bytes);
        if (bytes.hasRemaining()) {
            throw new IOException("the client takes nothing in");
        }
    }
}
