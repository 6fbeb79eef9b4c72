package beaconladder.serve;

import beaconladder.cells.Pass;
import beaconladder.fleet.Group;
import beaconladder.pg.Outbox;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A client's task: it sees through what its reader took in, one txn after the other, while there is any. */
final class ClientTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(ClientTask.class);
    /** A client that takes in nothing of what is written to it for so long is given up. */
    private static final long STUCK = 5_000_000_000L;

    private static final Supplier<Outbox> CANCELLED =
            () -> Asked.error("57014", "cancelled at the client's request; it may have run");

    private final Client client;
    private final Clients clients;
    private final Desk desk;
    private final Lines lines;
    private final Wire wire;
    private final Ahead ahead;
    private Hand hand;
    /** Whether the client wants no answer any more to the query in hand. */
    private volatile boolean cancelled;
    /** Whether a query is in hand whose answer has not begun to go out. */
    private volatile boolean answers;
    private final Admission admission;

    ClientTask(Client client, Clients clients, Desk desk, Lines lines, Ahead ahead) {
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
        boolean well = true;
        long answered = 0;
        for (Ahead.Work next = ahead.next(true); next != null; next = ahead.next(well)) {
            if (ahead.readerWaits()) {
                clients.resume(client);
            }
            try {
                if (next.messages() != null) {
                    send(next.messages());
                } else if (next.query() == null) {
                    send(Asked.error("22021", "a query that is not UTF-8"));
                } else {
                    // Its time begins once the answer before it has gone: until then nobody waits for it.
                    answer(next.query(), Math.max(next.arrived(), answered));
                }
                answered = desk.now();
                if (next.last()) {
                    wire.endWriting();
                    client.told();
                    well = false;
                }
            } catch (IOException | InterruptedException e) {
                well = false;
                client.close();
            } catch (RuntimeException | Error e) {
                LOG.error("a client's connection ends", e);
                well = false;
                client.close();
            }
            client.used();
        }
        if (clients.draining() != null) {
            clients.resume(client);
        }
    }

    /** The life of one txn. */
    private void answer(String query, long arrived) throws IOException, InterruptedException {
        cancelled = false;
        answers = true;
        Asked asked = Asked.read(query, desk);
        if (asked.answer() != null) {
            reply(asked.answer());
            return;
        }
        client.known(true);
        long budget = Math.min(asked.budget(), desk.longest());
        Drain drain = clients.draining();
        long expiry = drain == null ? arrived + budget : drain.expiry(arrived, budget,
                desk.writes(asked.type()) || asked.statement().writes());
        if (expiry <= desk.now()) {
            reply(Asked.error("57P03", "no time is left for it here; it has not run"));
            return;
        }
        Group group = asked.group();
        Pass pass = null;
        if (desk.confined()) {
            Admission.Answer leave = admission.enter(asked, query.length(), arrived, expiry, this::gone);
            pass = leave.pass();
            group = pass == null ? null : desk.group(pass.group());
            if (pass == null) {
                reply(cancelled ? CANCELLED.get() : leave.told());
                if (leave.last()) {
                    wire.endWriting();
                    client.told();
                }
                return;
            } else if (group == null) {
                desk.leave(pass);
                reply(Asked.declined("no host of the cell is known", 0));
                return;
            }
        }
        Hand taken = desk.take(asked.id(), asked.type(), group, asked.statement(), asked.written(), arrived,
                expiry, pass);
        if (taken == null) {
            if (pass != null) {
                desk.leave(pass);
            }
            reply(Asked.error("22023", "the id of a txn that is in hand"));
            return;
        }
        hand(taken);
        if (gone()) {
            desk.left(taken);
        }
        try {
            reply(finish(taken));
        } finally {
            hand(null);
            desk.release(asked.id());
        }
    }

    boolean answers() {
        return answers;
    }

    private boolean gone() {
        return ahead.over() || cancelled;
    }

    /** The client wants no answer any more to what is in hand; what was written ahead behind it stays. */
    void cancel() {
        Hand current;
        synchronized (this) {
            cancelled = answers;
            current = hand;
        }
        if (cancelled && current != null) {
            desk.left(current);
        }
    }

    private synchronized void hand(Hand now) {
        hand = now;
    }

    /** The leave by which the connection counts, or null. */
    Pass counted() {
        return admission.counted();
    }

    /** The client has gone: what was in hand for it ends, once nothing more can come of it. */
    void left() {
        Hand current;
        synchronized (this) {
            current = hand;
        }
        admission.left();
        if (current != null) {
            desk.left(current);
        }
    }

    /** Does what the desk tells until the txn has its end; returns the final answer. */
    private Outbox finish(Hand taken) throws InterruptedException {
        while (true) {
            Hand.Order order = taken.take();
            switch (order.kind()) {
                case SEND -> lines.send(order, taken.statement);
                case COMMITTED -> {
                    return order.answer().ready();
                }
                case DECLINED -> {
                    String detail = order.nanos() > 0 ? String.valueOf(order.nanos() / 1_000_000) : null;
                    return new Outbox().error("ERROR", "53300", "declined; it has not run, try again", detail)
                            .ready();
                }
                case ROLLED_BACK -> {
                    return Asked.error("40003", "rolled back; it may have run");
                }
                case LEFT -> {
                    return cancelled ? CANCELLED.get() : new Outbox();
                }
            }
        }
    }

    /** From here on the client may go on: what it writes next says nothing of this txn. */
    private void reply(Outbox out) throws IOException, InterruptedException {
        answers = false;
        send(out);
    }

    /** Writes all of it, and waits for who takes it in slowly. */
    private void send(Outbox out) throws IOException, InterruptedException {
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
