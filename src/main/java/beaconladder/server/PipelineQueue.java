package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.routing.ClientShares;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The pipelined queries of one client. The reader adds them and several tasks complete them concurrently; one thread at
 * a time writes the answers, in the order in which the queries arrived.
 *
 * <p>The first {@value #MAX_ACTIVE_ENTRIES} queries are active: parsed, and run as far as they do not have to wait for
 * each other. Later ones are only kept as texts, as far as the memory for them allows, and rejected beyond it, so that
 * the reader never has to leave a client's bytes unread and notices its close behind them.
 */
final class PipelineQueue {
    private static final int MAX_ACTIVE_ENTRIES = 64;
    /** The memory of an active query: its parsed statement and its request. */
    private static final int ACTIVE_BYTES = 1_024;

    /** What the caller of {@link #add} has to do. */
    enum AddResult {
        QUEUED,
        START_TASK,
        WRITE_NOW,
        /** As WRITE_NOW; the query is rejected in its turn. */
        REJECTED
    }

    private final ClientMemory memory;
    /** Returns the router's own answer to a query that no host has to run, or null. */
    private final Function<PipelineEntry, MessageWriter> localAnswers;

    /** The active entries: those whose answers are not completely written, in the order of their arrival. */
    private final ArrayDeque<PipelineEntry> entries = new ArrayDeque<>();
    /** The entries behind the active ones. */
    private final ArrayDeque<PipelineEntry> backlog = new ArrayDeque<>();
    /** The active entries that can be started. */
    private final PriorityQueue<PipelineEntry> runnable =
            new PriorityQueue<>(Comparator.comparingLong(entry -> entry.sequenceNumber));

    private long nextSequenceNumber;
    private int taskCount;
    /** The tasks that were reserved and have not taken an entry yet. */
    private int startingTasks;
    /** Whether a thread is writing the answer of the first entry. */
    private boolean writing;
    /** Whether the client's receive window was full at the last write; written under the monitor. */
    private volatile boolean writeBlocked;
    /** The {@code System.nanoTime} of the last write that transferred something, or of its first failure to. */
    private volatile long lastProgressNanoTime;

    private volatile boolean closed;
    /** Returns the answer to each query that is not started, once the connection is refused; null before. */
    private Supplier<MessageWriter> refusal;
    /** The {@code System.nanoTime} at which the connection was refused, or 0. */
    private volatile long refusedSinceNanoTime;

    PipelineQueue(
            MemoryPool queryMemory, MemoryPool answerMemory, Function<PipelineEntry, MessageWriter> localAnswers) {
        this.memory = new ClientMemory(queryMemory, answerMemory);
        this.localAnswers = localAnswers;
    }

    /**
     * Adds an entry, or its rejection where the client holds its share of the memory already. Ignored once the queue is
     * closed.
     */
    synchronized AddResult add(PipelineEntry entry) {
        if (closed) {
            return AddResult.QUEUED;
        }
        if (memory.reserveQuery(entry, entry.queuedBytes()) || entry.closesConnection) {
            backlog.add(entry);
        } else {
            addRejection();
            activate();
            return AddResult.REJECTED;
        }
        activate();
        if (reserveTask(ClientShares.MAX_CONCURRENT_REQUESTS)) {
            return AddResult.START_TASK;
        }
        return isWriteDue() ? AddResult.WRITE_NOW : AddResult.QUEUED;
    }

    private void addRejection() {
        PipelineEntry last = backlog.peekLast();
        if (last != null && last.rejections > 0) {
            last.rejections++;
        } else {
            backlog.add(PipelineEntry.rejection());
        }
    }

    /** Moves entries from the backlog to the active ones, as far as their number and the memory allow. */
    private void activate() {
        while (!backlog.isEmpty() && entries.size() < MAX_ACTIVE_ENTRIES) {
            PipelineEntry next = backlog.peek();
            if (next.rejections > 0) {
                entries.add(takeRejection(next));
            } else if (next.answer != null || entries.isEmpty() || memory.reserveQuery(next, ACTIVE_BYTES)) {
                activate(backlog.poll());
            } else {
                return;
            }
        }
    }

    private PipelineEntry takeRejection(PipelineEntry rejections) {
        rejections.rejections--;
        if (rejections.rejections == 0) {
            backlog.poll();
        }
        return PipelineEntry.rejected(ErrorResponse.rejected("too many queries of this client are queued", 0));
    }

    private void activate(PipelineEntry entry) {
        entry.sequenceNumber = nextSequenceNumber++;
        if (entry.answer == null && !entry.isLong()) {
            entry.answer = localAnswers.apply(entry);
        }
        if (entry.answer == null && refusal != null) {
            entry.answer = refusal.get();
        }
        if (entry.answer == null) {
            for (PipelineEntry earlier : entries) {
                entry.conflictsBefore += earlier.answer == null && earlier.conflictsWith(entry) ? 1 : 0;
            }
            if (entry.conflictsBefore == 0) {
                runnable.add(entry);
            }
        }
        entries.add(entry);
    }

    /** Returns whether one more task can run an entry now; if so, the task counts as started. */
    synchronized boolean reserveTask(int maxTasks) {
        boolean reserved = taskCount < Math.min(ClientShares.MAX_CONCURRENT_REQUESTS, maxTasks)
                && runnable.size() > startingTasks
                && mayStart();
        taskCount += reserved ? 1 : 0;
        startingTasks += reserved ? 1 : 0;
        return reserved;
    }

    /** Whether the first of the entries that can be started may be: always if its answer is due next. */
    private boolean mayStart() {
        return !closed && !runnable.isEmpty() && (runnable.peek() == entries.peek() || memory.mayStartRequest());
    }

    /**
     * Releases a reserved task that could not be started.
     *
     * @return the entry that the caller has to complete with a rejection, as no other task is running; or null
     */
    synchronized PipelineEntry releaseTask() {
        taskCount--;
        startingTasks = Math.max(0, startingTasks - 1);
        return taskCount == 0 ? runnable.poll() : null;
    }

    /** The number of tasks that are started or reserved. */
    synchronized int taskCount() {
        return taskCount;
    }

    /** Starts and returns the next entry for a task; null where the task has to end. */
    synchronized PipelineEntry startNext(int maxTasks) {
        startingTasks = Math.max(0, startingTasks - 1);
        PipelineEntry next = taskCount <= maxTasks && mayStart() ? runnable.poll() : null;
        taskCount -= next == null ? 1 : 0;
        return next;
    }

    /**
     * Sets an entry's answer; the time budget of the entries that had to wait for it begins now. An answer for which
     * there is no memory is replaced by an error.
     *
     * @return whether the answer will be written; not if the queue has been closed
     */
    synchronized boolean complete(PipelineEntry completed, QueryReply reply, long nowNanos) {
        if (closed) {
            return false;
        }
        completed.answer = reply.messages();
        memory.keepAnswer(completed, entries.peek() != completed || writeBlocked);
        for (PipelineEntry each : entries) {
            if (each.conflictsBefore > 0
                    && each.sequenceNumber > completed.sequenceNumber
                    && each.conflictsWith(completed)) {
                each.startNanos = nowNanos;
                each.conflictsBefore--;
                if (each.conflictsBefore == 0) {
                    runnable.add(each);
                }
            }
        }
        return true;
    }

    /**
     * Answers all queries that are not started with a refusal, in their order, and so all that are added from now on.
     *
     * @param answer returns the answer to one query
     */
    synchronized void refuse(Supplier<MessageWriter> answer) {
        if (refusal != null) {
            return;
        }
        refusal = answer;
        refusedSinceNanoTime = System.nanoTime();
        for (PipelineEntry each : entries) {
            if (runnable.contains(each) || each.conflictsBefore > 0) {
                each.conflictsBefore = 0;
                each.answer = refusal.get();
            }
        }
        runnable.clear();
    }

    /** Returns the {@code System.nanoTime} at which the connection was refused, or 0. */
    long refusedSinceNanoTime() {
        return refusedSinceNanoTime;
    }

    /** Returns the first entry if it has its answer and no thread is writing, else null; the caller has to write it. */
    synchronized PipelineEntry beginWrite() {
        if (!isWriteDue()) {
            return null;
        }
        writing = true;
        return entries.peek();
    }

    private boolean isWriteDue() {
        PipelineEntry first = entries.peek();
        return !writing && !closed && first != null && first.answer != null;
    }

    /** Removes the first entry, whose answer has been written. */
    synchronized void endWrite() {
        writing = false;
        writeBlocked = false;
        PipelineEntry first = entries.poll();
        if (first != null) {
            memory.release(first);
        }
        activate();
    }

    /** Ends the writing for now, as the client's receive window is full. */
    synchronized void suspendWrite(boolean progressed, long nowNanoTime) {
        lastProgressNanoTime = progressed || !writeBlocked ? nowNanoTime : lastProgressNanoTime;
        writing = false;
        writeBlocked = true;
    }

    /** Returns whether an answer waits until the client can receive more. */
    boolean isWriteBlocked() {
        return writeBlocked && !closed;
    }

    /** Returns whether nothing could be written to the client for this long. */
    boolean isStalled(long timeoutNanos, long nowNanoTime) {
        return writeBlocked && !closed && nowNanoTime - lastProgressNanoTime > timeoutNanos;
    }

    /** The first entry without an answer, or null. */
    synchronized PipelineEntry firstUnanswered() {
        return entries.stream().filter(each -> each.answer == null).findFirst().orElse(null);
    }

    /** The number of queries for which the writing of the answer has not begun. */
    synchronized int unansweredQueries() {
        int count = 0;
        for (PipelineEntry entry : entries) {
            count += entry.isQuery() && !isBeingWritten(entry) ? 1 : 0;
        }
        for (PipelineEntry entry : backlog) {
            count += entry.rejections + (entry.isQuery() ? 1 : 0);
        }
        return count;
    }

    /** Returns whether a part of an answer has been written, so that the client can tell that it is not whole. */
    synchronized boolean isAnswerCut() {
        PipelineEntry first = entries.peek();
        return first != null && first.isWriteBegun() && first.unwritten().position() > 0;
    }

    private boolean isBeingWritten(PipelineEntry entry) {
        return entry == entries.peek() && (writing || entry.isWriteBegun());
    }

    /** Returns whether there is a query without an answer, which a host may still have to run. */
    synchronized boolean hasUnansweredQuery() {
        return entries.stream().anyMatch(PipelineEntry::isUnansweredQuery)
                || backlog.stream().anyMatch(PipelineEntry::isUnansweredQuery);
    }

    /**
     * Closes the queue, as the client has disconnected or its connection is closing; entries that are not started are
     * dropped.
     *
     * @return the active entries that were in the queue
     */
    synchronized List<PipelineEntry> close() {
        closed = true;
        List<PipelineEntry> removed = List.copyOf(entries);
        entries.forEach(memory::release);
        backlog.forEach(memory::release);
        entries.clear();
        backlog.clear();
        runnable.clear();
        return removed;
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns whether there is an answer that is not completely written. */
    synchronized boolean hasEntries() {
        return !entries.isEmpty();
    }

    synchronized boolean isIdle() {
        return entries.isEmpty() && backlog.isEmpty() && !closed;
    }
}
