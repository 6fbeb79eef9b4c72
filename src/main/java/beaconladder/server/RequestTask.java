package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import beaconladder.routing.state.Group;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client's tasks: each sees through what its reader took in, one txn after the other, while there is any. Several do
 * so side by side for a client that writes ahead, since the time of each query runs from its own last byte; whoever has
 * the answer that is next writes it.
 */
final class RequestTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTask.class);
    /** A client that takes in nothing of what is written to it for so long is given up. */
    private static final long STUCK = 5_000_000_000L;

    private static final Supplier<MessageWriter> CANCELLED =
            () -> ParsedQuery.error("57014", "cancelled at the client's request; it may have run");

    /** The final answer to a query; with the last one its connection ends. */
    record Reply(MessageWriter messages, boolean last) {}

    private final ClientConnection client;
    private final ClientServer clients;
    private final RequestDispatcher desk;
    private final ServerConnectionPool lines;
    private final ClientChannel wire;
    private final PipelineQueue ahead;
    private final Admission admission;

    RequestTask(
            ClientConnection client,
            ClientServer clients,
            RequestDispatcher desk,
            ServerConnectionPool lines,
            PipelineQueue ahead) {
        this.client = client;
        this.clients = clients;
        this.desk = desk;
        this.lines = lines;
        this.wire = client.wire();
        this.ahead = ahead;
        this.admission = new Admission(desk, wire, ahead);
    }

    @Override
    public void run() {
        for (PipelineQueue.Work next = ahead.next(atOnce()); next != null; next = ahead.next(atOnce())) {
            try {
                more();
                ahead.answered(
                        next,
                        next.query() == null
                                ? new Reply(ParsedQuery.error("22021", "a query that is not UTF-8"), false)
                                : answer(next),
                        desk.nowNanos());
                more();
                writeOut();
            } catch (IOException | InterruptedException e) {
                end();
            } catch (RuntimeException | Error e) {
                LOG.error("a client's connection ends", e);
                end();
            }
            client.used();
        }
        if (clients.draining() != null) {
            clients.resume(client);
        }
    }

    /** Where there are cells, the first txn shows whose connection it is, and goes alone. */
    private int atOnce() {
        return desk.hasCells() && admission.counted() == null ? 1 : Integer.MAX_VALUE;
    }

    /** What has become free to begin gets a task of its own; without a thread it waits for this one. */
    private void more() {
        while (ahead.another(atOnce())) {
            if (!clients.execute(this)) {
                ahead.abandon(null);
                return;
            }
        }
    }

    /** The connection is of no use any more: what is in hand for it ends, once nothing can come of it. */
    private void end() {
        client.close();
        left(ahead.end());
    }

    /** Writes the answers that are due, unless another task is at it. */
    private void writeOut() throws IOException, InterruptedException {
        for (PipelineQueue.Work first = ahead.toWrite(); first != null; first = ahead.toWrite()) {
            send(first.answer());
            client.used();
            if (first.last()) {
                wire.shutdownOutput();
                client.told();
                left(ahead.end());
            }
            ahead.written();
            if (ahead.readerWaits()) {
                clients.resume(client);
            }
        }
    }

    /** The life of one txn. */
    private Reply answer(PipelineQueue.Work work) throws InterruptedException {
        BooleanSupplier gone = () -> ahead.over() || work.cancelled();
        ParsedQuery asked = ParsedQuery.read(work.query(), work.statement(), desk);
        if (asked.answer() != null) {
            return new Reply(asked.answer(), false);
        }
        client.known(true);
        long arrived = work.begins();
        long budget = Math.min(asked.budget(), desk.maxRequestNanos());
        GracefulShutdown drain = clients.draining();
        long expiry = drain == null
                ? arrived + budget
                : drain.expiryNanos(
                        arrived,
                        budget,
                        desk.isWrite(asked.type()) || asked.statement().writes());
        if (expiry <= desk.nowNanos()) {
            refused(QueryRejection.NO_TIME);
            return new Reply(ParsedQuery.error("57P03", "no time is left for it here; it has not run"), false);
        }
        Group group = asked.group();
        AdmissionPermit pass = null;
        if (desk.hasCells()) {
            Admission.Answer leave = admission.enter(asked, work.query().length(), arrived, expiry, gone);
            pass = leave.pass();
            group = pass == null ? null : desk.group(pass.group());
            if (pass == null) {
                refused(QueryRejection.NOT_ADMITTED);
                return new Reply(work.cancelled() ? CANCELLED.get() : leave.told(), leave.last());
            } else if (group == null) {
                desk.cells().releasePermit(pass);
                return new Reply(ParsedQuery.declined("no host of the cell is known", 0), false);
            }
        }
        InFlightRequest taken = desk.submit(new RequestParameters(
                asked.id(), asked.type(), group, asked.statement(), asked.written(), arrived, expiry, pass));
        if (taken == null) {
            if (pass != null) {
                desk.cells().releasePermit(pass);
            }
            refused(QueryRejection.DUPLICATE_ID);
            return new Reply(ParsedQuery.error("22023", "the id of a txn that is in hand"), false);
        }
        work.hand(taken);
        if (gone.getAsBoolean()) {
            desk.abandon(taken);
        }
        try {
            return new Reply(finish(work, taken), false);
        } finally {
            work.hand(null);
            desk.releaseId(asked.id());
        }
    }

    private void refused(QueryRejection why) {
        desk.monitor().counters().add("door", why);
        EventTrace.rejectedEarly("refused: " + why);
    }

    /** The client wants no answer any more to what is in hand; what was written ahead behind it stays. */
    void cancel() {
        PipelineQueue.Work current = ahead.current();
        if (current != null) {
            current.cancel();
            left(List.of(current));
        }
    }

    /** The leave by which the connection counts, or null. */
    AdmissionPermit counted() {
        return admission.counted();
    }

    /** The client has gone: what was in hand for it ends, once nothing more can come of it. */
    void left() {
        List<PipelineQueue.Work> all = ahead.end();
        admission.left();
        left(all);
    }

    private void left(List<PipelineQueue.Work> all) {
        for (PipelineQueue.Work each : all) {
            InFlightRequest current = each.hand();
            if (current != null) {
                desk.abandon(current);
            }
        }
    }

    /** Does what the desk tells until the txn has its end; returns the final answer. */
    private MessageWriter finish(PipelineQueue.Work work, InFlightRequest taken) throws InterruptedException {
        while (true) {
            InFlightRequest.Command command = taken.awaitCommand();
            switch (command.kind()) {
                case SEND -> lines.send(command, taken.statement);
                case COMMITTED -> {
                    return command.answer().ready();
                }
                case REJECTED -> {
                    String detail = command.retryAfterNanos() > 0
                            ? String.valueOf(command.retryAfterNanos() / 1_000_000)
                            : null;
                    return new MessageWriter()
                            .error("ERROR", "53300", "declined; it has not run, try again", detail)
                            .ready();
                }
                case ROLLED_BACK -> {
                    return ParsedQuery.error("40003", "rolled back; it may have run");
                }
                case CLIENT_GONE -> {
                    return work.cancelled() ? CANCELLED.get() : new MessageWriter();
                }
            }
        }
    }

    /** Writes all of it, and waits for who takes it in slowly. */
    private void send(MessageWriter out) throws IOException, InterruptedException {
        ByteBuffer bytes = out.bytes();
        long moved = System.nanoTime();
        while (bytes.hasRemaining()) {
            if (wire.write(bytes) > 0) {
                moved = System.nanoTime();
            } else if (System.nanoTime() - moved > STUCK) {
                throw new IOException("the client takes nothing in");
            } else {
                Thread.sleep(2);
            }
        }
    }
}
