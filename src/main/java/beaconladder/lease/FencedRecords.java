package beaconladder.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The records of all tasks, as a deterministic state machine over a replicated log. A holder's record is accepted only
 * if its token is that of the valid lease at the log's own time; check and write are one step. So at most one of two
 * processes that both act as the holder can write. A writer states how many records precede its own, so that a repeated
 * write is rejected.
 *
 * @param textsByTask the texts of each task, oldest first
 * @param droppedByTask the number of dropped earlier records of each task
 */
public record FencedRecords(Map<String, List<String>> textsByTask, Map<String, Integer> droppedByTask) {
    /** More than any single change writes; stops a writer in an endless loop before it fills the disk. */
    static final int MAX_RECORDS_PER_TASK = 1_000;

    /** The outcome of a write. */
    public enum Outcome {
        /** The record was appended. */
        WRITTEN,
        /** The writer's position is not the current one; it must read the records first. */
        STALE_POSITION,
        /** The writer does not hold a valid lease of the task. */
        NOT_HELD,
        /** The task has {@link #MAX_RECORDS_PER_TASK} records. */
        FULL
    }

    /** The state after a write, and its outcome. */
    public record Transition(FencedRecords next, Outcome outcome) {}

    /** The records of one task. */
    public record TaskRecords(int droppedCount, List<String> texts) {
        /** Returns the number of records written so far, dropped ones included. */
        public int writtenCount() {
            return droppedCount + texts.size();
        }
    }

    /** Returns a state without records. */
    public static FencedRecords empty() {
        return new FencedRecords(Map.of(), Map.of());
    }

    /** Returns the records of a task. */
    public TaskRecords forTask(String task) {
        return new TaskRecords(droppedByTask.getOrDefault(task, 0), textsByTask.getOrDefault(task, List.of()));
    }

    /** Applies a write, with the leases as of the same index of the log. */
    public Transition apply(FencedRecord newRecord, LeaseTable leases) {
        if (newRecord.needsLease() && !isHeldByWriter(newRecord, leases)) {
            return new Transition(this, Outcome.NOT_HELD);
        }
        TaskRecords existing = forTask(newRecord.task());
        if (newRecord.position() != existing.writtenCount()) {
            return new Transition(this, Outcome.STALE_POSITION);
        }
        if (!newRecord.replacesEarlier() && existing.texts().size() >= MAX_RECORDS_PER_TASK) {
            return new Transition(this, Outcome.FULL);
        }
        return new Transition(withRecord(newRecord, existing), Outcome.WRITTEN);
    }

    private static boolean isHeldByWriter(FencedRecord newRecord, LeaseTable leases) {
        Lease lease = leases.leases().get(newRecord.task());
        return lease != null
                && lease.holder().equals(newRecord.holder())
                && lease.token() == newRecord.token()
                && leases.clockNanos() <= lease.expiryNanos();
    }

    private FencedRecords withRecord(FencedRecord newRecord, TaskRecords existing) {
        List<String> texts = newRecord.replacesEarlier() ? new ArrayList<>() : new ArrayList<>(existing.texts());
        texts.add(newRecord.text());
        Map<String, List<String>> nextTexts = new TreeMap<>(textsByTask);
        nextTexts.put(newRecord.task(), List.copyOf(texts));
        Map<String, Integer> nextDropped = new TreeMap<>(droppedByTask);
        nextDropped.put(newRecord.task(), existing.writtenCount() + 1 - texts.size());
        return new FencedRecords(Map.copyOf(nextTexts), Map.copyOf(nextDropped));
    }
}
