package beaconladder.server;

import beaconladder.pg.MessageReader;
import java.util.ArrayDeque;
import java.util.List;

/**
 * The pipelined queries of one client. The reader adds them and several tasks complete them concurrently; one task at a
 * time writes the answers, in the order in which the queries arrived.
 */
final class PipelineQueue {
    /** At most this many pipelined queries are read; further ones stay in the socket's receive buffer. */
    private static final int MAX_ENTRIES = 64;
    /** Bound of the characters of all queries in the queue: those of one query of the maximum length. */
    private static final int MAX_CHARS = MessageReader.MAX_MESSAGE_BYTES / 2;
    /** Bound of one client's concurrent tasks: a quarter of the smallest possible thread limit. */
    private static final int MAX_TASKS = 16;

    /** What the caller of {@link #add} has to do. */
    enum AddResult {
        QUEUED,
        START_TASK,
        WRITE_NOW
    }

    /** The entries whose answers are not completely written, in the order of their arrival. */
    private final ArrayDeque<PipelineEntry> entries = new ArrayDeque<>();

    private int chars;
    private int taskCount;
    /** Whether a task is writing the answer of the first entry. */
    private boolean writing;
    /** Whether the reader waits until answers have been written. */
    private boolean readerPaused;

    private boolean closed;

    /** Adds an entry, unless the queue is closed or the entry has its answer and can be written at once. */
    synchronized AddResult add(PipelineEntry entry) {
        if (closed) {
            return AddResult.QUEUED;
        }
        if (entries.isEmpty() && entry.answer != null) {
            return AddResult.WRITE_NOW;
        }
        entries.add(entry);
        chars += entry.queryLength();
        return reserveTask(MAX_TASKS) ? AddResult.START_TASK : AddResult.QUEUED;
    }

    /** Returns whether one more task can run an entry now; if so, the task counts as started. */
    synchronized boolean reserveTask(int maxTasks) {
        boolean reserved = taskCount < Math.min(MAX_TASKS, maxTasks) && !closed && firstRunnable() != null;
        taskCount += reserved ? 1 : 0;
        return reserved;
    }

    /**
     * Releases a reserved task that could not be started.
     *
     * @return whether the entry was removed, as no other task is running to complete it
     */
    synchronized boolean releaseTask(PipelineEntry entry) {
        taskCount--;
        boolean removed = taskCount == 0 && entries.remove(entry);
        chars -= removed ? entry.queryLength() : 0;
        return removed;
    }

    /** Starts and returns the next entry for a task; null where the task has to end. */
    synchronized PipelineEntry startNext(int maxTasks) {
        PipelineEntry next = closed || taskCount > maxTasks ? null : firstRunnable();
        if (next == null) {
            taskCount--;
        } else {
            next.started = true;
        }
        return next;
    }

    /** The first entry that is not started and conflicts with no earlier entry without an answer. */
    private PipelineEntry firstRunnable() {
        for (PipelineEntry each : entries) {
            if (!each.started
                    && entries.stream()
                            .takeWhile(earlier -> earlier != each)
                            .noneMatch(earlier -> earlier.answer == null && earlier.conflictsWith(each))) {
                return each;
            }
        }
        return null;
    }

    /** Sets an entry's answer; the time budget of the entries that had to wait for it begins now. */
    synchronized void complete(PipelineEntry completed, QueryReply reply, long nowNanos) {
        completed.answer = reply.messages();
        completed.closesConnection = reply.closesConnection();
        entries.stream()
                .filter(each -> !each.started && each.conflictsWith(completed))
                .forEach(each -> each.startNanos = nowNanos);
    }

    /** Returns the first entry if it has its answer and no task is writing, else null; the caller has to write it. */
    synchronized PipelineEntry beginWrite() {
        PipelineEntry first = entries.peek();
        if (writing || closed || first == null || first.answer == null) {
            return null;
        }
        writing = true;
        return first;
    }

    /** Removes the first entry, whose answer has been written. */
    synchronized void endWrite() {
        writing = false;
        PipelineEntry first = entries.poll();
        chars -= first == null ? 0 : first.queryLength();
    }

    /** The first entry without an answer, or null. */
    synchronized PipelineEntry firstUnanswered() {
        return entries.stream().filter(each -> each.answer == null).findFirst().orElse(null);
    }

    /** The number of queries for which the writing of the answer has not begun. */
    synchronized int unansweredQueries() {
        int beingWritten = writing ? 1 : 0;
        return (int) entries.stream()
                .skip(beingWritten)
                .filter(each -> each.query() != null)
                .count();
    }

    /** Returns whether there is an entry for which the writing of the answer has not begun. */
    synchronized boolean hasUnwritten() {
        return entries.size() > (writing ? 1 : 0);
    }

    /** Returns whether no more queries may be read until answers have been written. */
    synchronized boolean isFull() {
        return !closed && (entries.size() >= MAX_ENTRIES || chars >= MAX_CHARS);
    }

    /** Returns whether the queue is full; if so, the reader waits until {@link #resumeReader} has returned true. */
    synchronized boolean pauseReaderIfFull() {
        readerPaused = isFull();
        return readerPaused;
    }

    /** Returns whether the reader has paused, once per pause; the caller then has to wake the reader. */
    synchronized boolean resumeReader() {
        boolean paused = readerPaused;
        readerPaused = false;
        return paused;
    }

    /**
     * Closes the queue, as the client has disconnected or its connection is closing; entries that are not started are
     * dropped.
     *
     * @return the entries that were in the queue
     */
    synchronized List<PipelineEntry> close() {
        closed = true;
        List<PipelineEntry> removed = List.copyOf(entries);
        entries.clear();
        chars = 0;
        return removed;
    }

    synchronized boolean isClosed() {
        return closed;
    }

    /** Returns whether there is an answer that is not completely written. */
    synchronized boolean hasEntries() {
        return !entries.isEmpty();
    }

    synchronized boolean isIdle() {
        return entries.isEmpty() && !closed;
    }
}
