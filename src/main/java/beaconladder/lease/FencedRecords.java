package beaconladder.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The records of all tasks, as the replicas of a log apply them alike. A holder's record is accepted only while its
 * lease is valid by the log's own clock and token, checked in one step with the write: of two processes that both take
 * themselves for the holder, at most one can write. A writer states how many records it knows, so that nothing is done
 * twice.
 *
 * @param textsByTask the texts of each task, oldest first
 * @param droppedByTask how many earlier records of a task were dropped
 */
public record FencedRecords(Map<String, List<String>> textsByTask, Map<String, Integer> droppedByTask) {
    /** More than the records of any one change; a writer in an endless loop is stopped before the disk is full. */
    static final int MAX_RECORDS_PER_TASK = 1_000;

    /** What became of a record. */
    public enum Outcome {
        /** It is appended. */
        WRITTEN,
        /** The writer has missed a record and must read first. */
        STALE_POSITION,
        /** The writer does not hold the task now. */
        NOT_HELD,
        /** The task has {@link #MAX_RECORDS_PER_TASK} records. */
        FULL
    }

    /** The state after a record, and what became of it. */
    public record Applied(FencedRecords next, Outcome outcome) {}

    /** The records of one task. */
    public record TaskRecords(int droppedCount, List<String> texts) {
        /** How many records have been written, dropped ones included. */
        public int writtenCount() {
            return droppedCount + texts.size();
        }
    }

    /** No record yet. */
    public static FencedRecords empty() {
        return new FencedRecords(Map.of(), Map.of());
    }

    /** The records of a task. */
    public TaskRecords of(String task) {
        return new TaskRecords(droppedByTask.getOrDefault(task, 0), textsByTask.getOrDefault(task, List.of()));
    }

    /** The state after this record, with the leases as they are at that place of the log. */
    public Applied apply(FencedRecord written, LeaseTable leases) {
        if (written.needsLease() && !isHeldByWriter(written, leases)) {
            return new Applied(this, Outcome.NOT_HELD);
        }
        TaskRecords known = of(written.task());
        if (written.position() != known.writtenCount()) {
            return new Applied(this, Outcome.STALE_POSITION);
        }
        if (!written.replacesEarlier() && known.texts().size() >= MAX_RECORDS_PER_TASK) {
            return new Applied(this, Outcome.FULL);
        }
        return new Applied(with(written, known), Outcome.WRITTEN);
    }

    private static boolean isHeldByWriter(FencedRecord written, LeaseTable leases) {
        Lease lease = leases.leases().get(written.task());
        return lease != null
                && lease.holder().equals(written.holder())
                && lease.token() == written.token()
                && leases.clockNanos() <= lease.expiryNanos();
    }

    private FencedRecords with(FencedRecord written, TaskRecords known) {
        List<String> texts = written.replacesEarlier() ? new ArrayList<>() : new ArrayList<>(known.texts());
        texts.add(written.text());
        Map<String, List<String>> nextTexts = new TreeMap<>(textsByTask);
        nextTexts.put(written.task(), List.copyOf(texts));
        Map<String, Integer> nextDropped = new TreeMap<>(droppedByTask);
        nextDropped.put(written.task(), known.writtenCount() + 1 - texts.size());
        return new FencedRecords(Map.copyOf(nextTexts), Map.copyOf(nextDropped));
    }
}
