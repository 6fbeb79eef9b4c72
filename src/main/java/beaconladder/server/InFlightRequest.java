package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import java.util.ArrayDeque;

/** A request in flight, with the queue of commands from the dispatcher to the task that completes the request. */
final class InFlightRequest {

    /** The kind of a command. */
    enum Kind {
        SEND,
        COMMITTED,
        REJECTED,
        ROLLED_BACK,
        CLIENT_GONE
    }

    /**
     * A command to the task.
     *
     * @param attempt the attempt of a SEND or COMMITTED, null otherwise
     * @param deadlineNanos when the attempt of a SEND times out, on the dispatcher's clock
     * @param retryAfterNanos the back-off of a REJECTED for the client, or 0 where that is unknown
     * @param answer the host's messages of a COMMITTED
     */
    record Command(Kind kind, Attempt attempt, long deadlineNanos, long retryAfterNanos, MessageWriter answer) {
        /** The command to send this attempt to its host; the attempt times out at the deadline. */
        static Command send(Attempt attempt, long deadlineNanos) {
            return new Command(Kind.SEND, attempt, deadlineNanos, 0, null);
        }

        /** The command to return the host's messages to the client. */
        static Command committed(Attempt attempt, MessageWriter answer) {
            return new Command(Kind.COMMITTED, attempt, 0, 0, answer);
        }

        /** The command to reject the request, which has not run; the client may retry after this time. */
        static Command rejected(long retryAfterNanos) {
            return new Command(Kind.REJECTED, null, 0, retryAfterNanos, null);
        }

        /** The command to report to the client that the request failed and may have run. */
        static Command rolledBack() {
            return new Command(Kind.ROLLED_BACK, null, 0, 0, null);
        }

        /** The command to stop, as the client has disconnected or has cancelled the request. */
        static Command clientGone() {
            return new Command(Kind.CLIENT_GONE, null, 0, 0, null);
        }
    }

    /** The client's id of the request. */
    final String id;

    final Request request;
    final Statement statement;
    private final ArrayDeque<Command> commands = new ArrayDeque<>();
    /** Whether the task is busy with an attempt, so that it can't start another. */
    private boolean sending;

    InFlightRequest(String id, Request request, Statement statement) {
        this.id = id;
        this.request = request;
        this.statement = statement;
    }

    /**
     * Creates the request that these parameters describe.
     *
     * @param sequenceNumber a number that no other request of this process has
     * @param requestClass the class that the parameters name by its index
     * @param tenantIndex the index of the client's tenant
     */
    static InFlightRequest of(
            long sequenceNumber, RequestParameters parameters, RequestClass requestClass, int tenantIndex) {
        Statement statement = parameters.statement();
        boolean retriedByClient = "1".equals(statement.parameter("r"));
        return new InFlightRequest(
                parameters.id(),
                new Request(
                        sequenceNumber,
                        requestClass,
                        parameters.group(),
                        statement.sessionId(),
                        parameters.minPositionNanos(),
                        tenantIndex,
                        retriedByClient,
                        parameters.arrivedNanos(),
                        parameters.expiryNanos(),
                        sequenceNumber),
                statement);
    }

    /** Passes a command to the task; returns false for a SEND that another thread has to start, as the task is busy. */
    synchronized boolean enqueue(Command command) {
        if (command.kind() == Kind.SEND && (sending || !commands.isEmpty())) {
            return false;
        }
        commands.add(command);
        notifyAll();
        return true;
    }

    /** Waits for the next command; the caller has completed the one before. */
    synchronized Command awaitCommand() throws InterruptedException {
        sending = false;
        while (commands.isEmpty()) {
            wait();
        }
        Command command = commands.poll();
        sending = command.kind() == Kind.SEND;
        return command;
    }
}
