package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import java.util.ArrayDeque;
import java.util.List;

/**
 * What one client wrote ahead, between the reader that takes it in, the tasks that see it through side by side, and
 * whoever of them writes the answers out, in the order in which the queries came.
 */
final class PipelineQueue {
    /** So many queries written ahead are read; further ones wait in the socket. */
    private static final int MOST = 64;
    /** And no more of them than a query of the longest kind takes. */
    private static final int MOST_CHARS = MessageReader.BOUND / 2;
    /** So many of one client are in hand at once: a quarter of the fewest threads that there ever are. */
    private static final int AT_ONCE = 16;

    /** A query (null where it was no UTF-8), or, without one, messages that stand in its place. */
    static final class Work {
        private final String query;
        private long begins;
        private Statement statement;
        private InFlightRequest hand;
        private boolean begun;
        private boolean cancelled;
        private MessageWriter answer;
        private boolean last;

        /** A query whose last byte came at this moment. */
        Work(String query, long arrived) {
            this.query = query;
            this.begins = arrived;
        }

        /** Messages for the client; with the last of them its connection ends. */
        Work(MessageWriter messages, boolean last) {
            this(null, 0);
            this.answer = messages;
            this.begun = true;
            this.last = last;
        }

        String query() {
            return query;
        }

        /** When its time began: with its last byte, or with the answer that it had to wait for. */
        long begins() {
            return begins;
        }

        MessageWriter answer() {
            return answer;
        }

        boolean last() {
            return last;
        }

        /** Read once, by whoever needs it first. */
        synchronized Statement statement() {
            if (statement == null) {
                statement = Statement.read(query);
            }
            return statement;
        }

        synchronized InFlightRequest hand() {
            return hand;
        }

        synchronized void hand(InFlightRequest now) {
            hand = now;
        }

        synchronized boolean cancelled() {
            return cancelled;
        }

        synchronized void cancel() {
            cancelled = true;
        }

        private int length() {
            return query == null ? 0 : query.length();
        }

        /** Whether both name one row and one of them writes: what came first is to be seen by the other. */
        private boolean ordered(Work other) {
            return query != null
                    && other.query != null
                    && (statement().writes() || other.statement().writes())
                    && statement().session() == other.statement().session();
        }
    }

    /** What is to be done with work that has come in. */
    enum Turn {
        WAITS,
        START_TASK,
        WRITE_NOW
    }

    /** In the order in which it came, until its answer is out. */
    private final ArrayDeque<Work> work = new ArrayDeque<>();

    private int chars;
    private int tasks;
    /** Whether a task writes out the answer of the first. */
    private boolean writing;
    /** Whether the reader waits for the tasks to get on. */
    private boolean paused;

    private boolean over;

    /** Takes work in; the caller may have to start a task for it, or to write it at once. */
    synchronized Turn add(Work next) {
        if (over) {
            return Turn.WAITS;
        }
        if (work.isEmpty() && next.answer != null) {
            return Turn.WRITE_NOW;
        }
        work.add(next);
        chars += next.length();
        return another(AT_ONCE) ? Turn.START_TASK : Turn.WAITS;
    }

    /** Whether one more task has something to do now; it counts as started. */
    synchronized boolean another(int atOnce) {
        boolean more = tasks < Math.min(AT_ONCE, atOnce) && !over && free() != null;
        tasks += more ? 1 : 0;
        return more;
    }

    /** A task could not be started. Whether none is left to see this work through: then it is let go of. */
    synchronized boolean abandon(Work next) {
        tasks--;
        boolean alone = tasks == 0 && work.remove(next);
        chars -= alone ? next.length() : 0;
        return alone;
    }

    /** The next work of a task that has nothing in hand; null at the task's end. */
    synchronized Work next(int atOnce) {
        Work next = over || tasks > atOnce ? null : free();
        if (next == null) {
            tasks--;
        } else {
            next.begun = true;
        }
        return next;
    }

    /** The first query that nobody has begun and that need not wait for one before it. */
    private Work free() {
        for (Work each : work) {
            if (!each.begun
                    && work.stream()
                            .takeWhile(before -> before != each)
                            .noneMatch(before -> before.answer == null && before.ordered(each))) {
                return each;
            }
        }
        return null;
    }

    /** Its answer is known at this moment; what had to wait for it has its time from here on. */
    synchronized void answered(Work done, RequestTask.Reply reply, long now) {
        done.answer = reply.messages();
        done.last = reply.last();
        work.stream().filter(each -> !each.begun && each.ordered(done)).forEach(each -> each.begins = now);
    }

    /** The first, if its answer is there and nobody writes: the caller writes it out then. */
    synchronized Work toWrite() {
        Work first = work.peek();
        if (writing || over || first == null || first.answer == null) {
            return null;
        }
        writing = true;
        return first;
    }

    /** The first is out. */
    synchronized void written() {
        writing = false;
        Work first = work.poll();
        chars -= first == null ? 0 : first.length();
    }

    /** The one whose answer the client waits for, unless that is on its way out already. */
    synchronized Work current() {
        return work.stream().filter(each -> each.answer == null).findFirst().orElse(null);
    }

    /** Queries whose answer has not begun to go out. */
    synchronized int unanswered() {
        int begun = writing ? 1 : 0;
        return (int)
                work.stream().skip(begun).filter(each -> each.query != null).count();
    }

    /** Whether an answer is owed that has not begun to go out. */
    synchronized boolean owes() {
        return work.size() > (writing ? 1 : 0);
    }

    /** Whether there is too much for more to be read now. */
    synchronized boolean full() {
        return !over && (work.size() >= MOST || chars >= MOST_CHARS);
    }

    /** The same, for the reader: it waits then until it is told. */
    synchronized boolean pauses() {
        paused = full();
        return paused;
    }

    /** Whether the reader has waited; it is to be told once. */
    synchronized boolean readerWaits() {
        boolean waits = paused;
        paused = false;
        return waits;
    }

    /** The client has gone, or its end was told: nothing more comes of what was not begun. What there was. */
    synchronized List<Work> end() {
        over = true;
        List<Work> left = List.copyOf(work);
        work.clear();
        chars = 0;
        return left;
    }

    synchronized boolean over() {
        return over;
    }

    /** Whether an answer is not out yet. */
    synchronized boolean busy() {
        return !work.isEmpty();
    }

    synchronized boolean idle() {
        return work.isEmpty() && !over;
    }
}
