package beaconladder.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The notes of all tasks, as replicas of a log apply them alike. A holder's note is taken only while its lease stands
 * by the log's own clock and token, in one step with the look at it: of two who both think that they hold a task, one
 * at the most can write. A writer states how many notes it knows, so that nothing is done twice.
 *
 * @param tasks the texts of each task, oldest first
 * @param begun how many notes of a task were dropped as of no more use
 */
public record FencedRecords(Map<String, List<String>> tasks, Map<String, Integer> begun) {
    /** More than the notes of any one change; a writer that goes on and on is stopped before the disk is full. */
    static final int MOST = 1_000;

    /** What became of a note. */
    public enum Kept {
        /** It is there. */
        WRITTEN,
        /** The writer has missed a note: it reads them first. */
        OVERTAKEN,
        /** The writer does not hold the task now. */
        NOT_HELD,
        /** There are too many of them. */
        FULL
    }

    /** The state after a note, and what became of it. */
    public record Applied(FencedRecords next, Kept kept) {}

    /** What a reader sees of a task. */
    public record Seen(int begun, List<String> texts) {
        /** How many notes there have been. */
        public int size() {
            return begun + texts.size();
        }
    }

    /** No note yet. */
    public static FencedRecords none() {
        return new FencedRecords(Map.of(), Map.of());
    }

    /** The notes of a task. */
    public Seen seen(String task) {
        return new Seen(begun.getOrDefault(task, 0), tasks.getOrDefault(task, List.of()));
    }

    /** The state with this note applied, beside the leases as they are at that place of the log. */
    public Applied apply(FencedRecord note, LeaseTable grants) {
        Seen seen = seen(note.task());
        if (note.token() != 0 || !note.holder().isEmpty()) {
            Lease lease = grants.leases().get(note.task());
            if (lease == null
                    || !lease.holder().equals(note.holder())
                    || lease.token() != note.token()
                    || grants.clock() > lease.expiry()) {
                return new Applied(this, Kept.NOT_HELD);
            }
        }
        if (note.at() != seen.size()) {
            return new Applied(this, Kept.OVERTAKEN);
        }
        if (!note.fresh() && seen.texts().size() >= MOST) {
            return new Applied(this, Kept.FULL);
        }
        List<String> texts = note.fresh() ? new ArrayList<>() : new ArrayList<>(seen.texts());
        texts.add(note.text());
        Map<String, List<String>> all = new TreeMap<>(tasks);
        all.put(note.task(), List.copyOf(texts));
        Map<String, Integer> from = new TreeMap<>(begun);
        from.put(note.task(), seen.size() + 1 - texts.size());
        return new Applied(new FencedRecords(Map.copyOf(all), Map.copyOf(from)), Kept.WRITTEN);
    }
}
