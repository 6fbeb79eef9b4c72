package beaconladder.serve;

import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Word;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.pg.Outbox;
import beaconladder.pg.Room;
import beaconladder.pg.Statement;
import beaconladder.serve.Ending.Reach;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The connections to hosts: those in use, a thread each, and those that wait for the next use. */
final class Lines implements Errands {
    private static final Logger LOG = LoggerFactory.getLogger(Lines.class);

    private final Desk desk;
    private final TaskStarter threads;
    private final Room room;
    private final long dialNanos;
    private final String probeQuery;
    private final boolean probeReports;
    private final boolean cancels;
    private final Opener opener;
    private final IdleLines idle;
    private final Set<Call> calls = ConcurrentHashMap.newKeySet();
    private final Descriptors descriptors;

    Lines(Desk desk, Map<String, String> start, TaskStarter threads, Room room, Descriptors descriptors,
            Opener opener) {
        this.desk = desk;
        this.descriptors = descriptors;
        this.idle = new IdleLines(descriptors);
        this.opener = opener;
        this.cancels = "true".equals(start.get("limits.cancel"));
        this.room = room;
        this.threads = threads;
        this.dialNanos = Long.parseLong(start.getOrDefault("limits.dial_timeout_us", "250000")) * 1_000;
        // A plain probe tells that the process runs and no more; the report tells position, role and load.
        this.probeReports = !"off".equals(start.getOrDefault("load_report.how", "off"));
        this.probeQuery = probeReports ? "SHOW server_load" : "SELECT 1";
    }

    /** Makes a connection that is not yet open. */
    interface Opener {
        Line line(InetSocketAddress address, Room room) throws IOException;
    }

    /** Descriptors held. */
    int open() {
        return descriptors.held(Descriptors.Use.HOST);
    }

    /** A use of a connection, which can be called off. */
    final class Call implements Runnable {
        private final Host host;
        private final Submission submission;
        private final Statement statement;
        private final long until;
        private Line line;
        private boolean cancelled;
        /** Whether the query may have reached the host, in part or whole. */
        private boolean begun;

        private Call(Host host, Submission submission, Statement statement, long until) {
            this.host = host;
            this.submission = submission;
            this.statement = statement;
            this.until = until;
        }

        @Override
        public void run() {
            calls.add(this);
            Ending ending = Ending.early(Reach.NOT_CONNECTED);
            boolean moot = false;
            try {
                boolean connected = connect();
                // Where its own time ran out on the way, nothing speaks against the host.
                moot = submission != null && (connected ? !desk.attempts().mayGo(submission)
                        : System.nanoTime() >= until);
                if (connected && !moot) {
                    ending = exchange();
                }
            } catch (RuntimeException | Error e) {
                // Whatever it is, the txn has to have its end, and what was written may have run.
                LOG.error("an exchange with a host ends by a fault of this program", e);
                ending = Ending.early(begun ? Reach.WRITTEN : Reach.NOT_CONNECTED);
            }
            calls.remove(this);
            boolean calledOff = finish(line != null && (moot ? line.greeted() : ending.reusable()));
            if (submission == null) {
                tellProbe(ending);
            } else {
                tellAttempt(ending, moot, calledOff);
            }
        }

        private void tellProbe(Ending ending) {
            Word report = probeReports && ending.row()
                    ? Ending.report(ending.messages().cell()) : ending.report();
            desk.attempts().probed(host, ending.outcome(), report);
        }

        private void tellAttempt(Ending ending, boolean moot, boolean calledOff) {
            Outcome outcome = ending.outcome();
            if (moot || calledOff && outcome == Outcome.UNREACHABLE) {
                outcome = Outcome.MOOT;
            } else if (calledOff && outcome == Outcome.RESET) {
                outcome = Outcome.CANCELLED;
            }
            desk.attempts().ended(submission, outcome, ending.word(), ending.report(),
                    ending.messages());
        }

        private Ending exchange() {
            if (submission == null) {
                begun = true;
                return line.send(Outbox.query(probeQuery)) ? line.receive(until) : Ending.early(Reach.PART_WRITTEN);
            }
            long began = desk.now();
            long millis = Math.max(1, (until - System.nanoTime()) / 1_000_000);
            Outbox query = Outbox.query(statement.waiting(millis));
            begun = true;
            if (!line.send(query)) {
                return Ending.early(Reach.PART_WRITTEN);
            }
            desk.attempts().sent(submission, began, millis);
            return line.receive(until);
        }

        /** Gets an idle connection that still stands, or makes one; false when there is none in time. */
        private boolean connect() {
            InetSocketAddress address = desk.address(host);
            while (address != null) {
                Line next = idle.take(host, System.nanoTime() - desk.keepIdle());
                boolean fresh = next == null;
                if (fresh) {
                    boolean taken = descriptors.take(Descriptors.Use.HOST)
                            || idle.closeOldest() && descriptors.take(Descriptors.Use.HOST)
                            || descriptors.take(Descriptors.Use.HOST, until);
                    if (!taken) {
                        return false;
                    }
                    try {
                        next = opener.line(address, room);
                    } catch (IOException e) {
                        descriptors.give(Descriptors.Use.HOST, 1);
                        return false;
                    }
                }
                synchronized (this) {
                    line = next;
                    if (cancelled) {
                        return false;
                    }
                }
                if (fresh) {
                    return next.open(Math.min(until, System.nanoTime() + dialNanos));
                }
                if (next.address.equals(address) && next.alive()) {
                    return true;
                }
                idle.close(next);
            }
            return false;
        }

        /** Stops it: its connection is closed, as what comes on it late is nobody's. */
        synchronized void cancel() {
            cancelled = true;
            if (line != null) {
                line.close();
            }
        }

        private synchronized boolean finish(boolean reusable) {
            if (line != null) {
                if (reusable && !cancelled) {
                    idle.giveBack(host, line);
                } else {
                    idle.close(line);
                }
                line = null;
            }
            return cancelled;
        }
    }

    /** Sees a submission through on the caller's thread; what became of it is told to the desk. */
    void send(Hand.Order order, Statement statement) {
        Call call = new Call(order.submission().host, order.submission(), statement,
                desk.nanoTime(order.nanos()));
        // The answer of a copy must not wait for one that can't be called off, unless there is no thread for it.
        if (cancels || !threads.tryExecute(call)) {
            call.run();
        }
    }

    @Override
    public void start(Hand hand, Hand.Order order) {
        if (!threads.tryExecute(() -> send(order, hand.statement))) {
            desk.attempts().ended(order.submission(), Outcome.MOOT, Word.SILENT, Word.SILENT, null);
        }
    }

    /** One whose call has not begun yet finds its txn at an end before it writes anything. */
    @Override
    public void cancel(Submission submission) {
        for (Call call : calls) {
            if (call.submission == submission) {
                call.cancel();
            }
        }
    }

    @Override
    public void probe(Host host) {
        if (!threads.tryExecute(new Call(host, null, null, System.nanoTime() + dialNanos))) {
            desk.attempts().probed(host, Outcome.MOOT, Word.SILENT);
        }
    }

    @Override
    public void closeIdle(Host host) {
        idle.close(host);
    }

    /** Closes what lay idle too long, and calls that hang past their time. */
    void sweep() {
        long now = System.nanoTime();
        idle.sweep(now - desk.keepIdle());
        for (Call call : calls) {
            // A call ends itself by its time-outs; only one stuck in a write gets here.
            if (now - call.until > 100_000_000) {
                call.cancel();
            }
        }
    }

    boolean closeOldest() {
        return idle.closeOldest();
    }
}
