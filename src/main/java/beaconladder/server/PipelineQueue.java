package beaconladder.server;

import beaconladder.pg.MessageReader;
import java.util.ArrayDeque;
import java.util.List;

/**
 * The pipelined queries of one client, shared by the reader that adds them, the tasks that complete them concurrently,
 * and whichever task writes the answers, in the order in which the queries arrived.
 */
final class PipelineQueue {
    /** This many pipelined queries are read; further ones wait in the socket. */
    private static final int MAX_ENTRIES = 64;
    /** Their characters together are bounded by those of one query of the maximum length. */
    private static final int MAX_CHARS = MessageReader.MAX_MESSAGE_BYTES / 2;
    /** Concurrent tasks of one client: a quarter of the smallest thread limit that is possible. */
    private static final int MAX_TASKS = 16;

    /** What the caller has to do after adding an entry. */
    enum AddResult {
        QUEUED,
        START_TASK,
        WRITE_NOW
    }

    /** In order of arrival, each until its answer is written. */
    private final ArrayDeque<PipelineEntry> entries = new ArrayDeque<>();

    private int chars;
    private int tasks;
    /** Whether a task is writing the answer of the first entry. */
    private boolean writing;
    /** Whether the reader waits until the tasks have made progress. */
    private boolean readerPaused;

    private boolean closed;

    /** Adds an entry; the caller may have to start a task for it, or to write it at once. */
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

    /** Whether one more task has something to do now; if so, it counts as started. */
    synchronized boolean reserveTask(int maxTasks) {
        boolean reserved = tasks < Math.min(MAX_TASKS, maxTasks) && !closed && firstRunnable() != null;
        tasks += reserved ? 1 : 0;
        return reserved;
    }

    /**
     * Takes back a reserved task that could not be started.
     *
     * @return whether the entry was removed, as no other task is left to complete it
     */
    synchronized boolean releaseTask(PipelineEntry entry) {
        tasks--;
        boolean removed = tasks == 0 && entries.remove(entry);
        chars -= removed ? entry.queryLength() : 0;
        return removed;
    }

    /** The next entry for a task that is free; null ends the task. */
    synchronized PipelineEntry startNext(int maxTasks) {
        PipelineEntry next = closed || tasks > maxTasks ? null : firstRunnable();
        if (next == null) {
            tasks--;
        } else {
            next.started = true;
        }
        return next;
    }

    /** The first entry that is not started and does not have to wait for the answer of an earlier one. */
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

    /** Sets an entry's answer; the time budget of those that had to wait for it begins now. */
    synchronized void complete(PipelineEntry done, QueryReply reply, long nowNanos) {
        done.answer = reply.messages();
        done.closesConnection = reply.closesConnection();
        entries.stream()
                .filter(each -> !each.started && each.conflictsWith(done))
                .forEach(each -> each.startNanos = nowNanos);
    }

    /** The first entry, if it has its answer and no task is writing: the caller then has to write it. */
    synchronized PipelineEntry beginWrite() {
        PipelineEntry first = entries.peek();
        if (writing || closed || first == null || first.answer == null) {
            return null;
        }
        writing = true;
        return first;
    }

    /** The answer of the first entry has been written. */
    synchronized void endWrite() {
        writing = false;
        PipelineEntry first = entries.poll();
        chars -= first == null ? 0 : first.queryLength();
    }

    /** The first entry without an answer, or null. */
    synchronized PipelineEntry firstUnanswered() {
        return entries.stream().filter(each -> each.answer == null).findFirst().orElse(null);
    }

    /** The number of queries whose answer has not begun to be written. */
    synchronized int unansweredQueries() {
        int begun = writing ? 1 : 0;
        return (int) entries.stream()
                .skip(begun)
                .filter(each -> each.query() != null)
                .count();
    }

    /** Whether an answer is due that has not begun to be written. */
    synchronized boolean hasUnwritten() {
        return entries.size() > (writing ? 1 : 0);
    }

    /** Whether no more is to be read until answers have been written. */
    synchronized boolean isFull() {
        return !closed && (entries.size() >= MAX_ENTRIES || chars >= MAX_CHARS);
    }

    /** Whether the queue is full; if so, the reader waits until {@link #resumeReader} has returned true. */
    synchronized boolean pauseReaderIfFull() {
        readerPaused = isFull();
        return readerPaused;
    }

    /** Whether the reader has paused; returned once per pause, the caller has to wake the reader. */
    synchronized boolean resumeReader() {
        boolean paused = readerPaused;
        readerPaused = false;
        return paused;
    }

    /**
     * The client has disconnected or its connection is closing: what is not started is dropped.
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

    /** Whether an answer is not completely written. */
    synchronized boolean hasEntries() {
        return !entries.isEmpty();
    }

    synchronized boolean isIdle() {
        return entries.isEmpty() && !closed;
    }
}
