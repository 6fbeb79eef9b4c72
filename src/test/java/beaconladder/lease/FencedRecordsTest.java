package beaconladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lease.FencedRecords.Outcome;
import org.junit.jupiter.api.Test;

class FencedRecordsTest {
    private static final long LENGTH_NANOS = 1_000;
    private static final long CLOCK_BOUND_NANOS = 60;

    private LeaseTable leases = LeaseTable.empty();
    private FencedRecords records = FencedRecords.empty();

    /** Of two processes that both act as the holder only one can write, and no record is written twice. */
    @Test
    void onlyTheHolderByTheLogsClockWritesAndNoRecordTwice() {
        acquire("a#1", 0, 0);
        assertThat(write("a#1", 1, 0, "begun")).isEqualTo(Outcome.WRITTEN);
        assertThat(write("b#1", 1, 1, "mine")).isEqualTo(Outcome.NOT_HELD);
        // The lease has expired, though no other process holds it yet.
        advanceClock(LENGTH_NANOS + 1);
        assertThat(write("a#1", 1, 1, "late")).isEqualTo(Outcome.NOT_HELD);
        acquire("b#1", LENGTH_NANOS + CLOCK_BOUND_NANOS + 1, 0);
        assertThat(write("a#1", 1, 1, "still")).isEqualTo(Outcome.NOT_HELD);
        assertThat(write("b#1", 2, 0, "again")).isEqualTo(Outcome.STALE_POSITION);
        assertThat(write("b#1", 2, 1, "advanced")).isEqualTo(Outcome.WRITTEN);
        assertThat(write("b#1", 2, 1, "advanced")).isEqualTo(Outcome.STALE_POSITION);
        // An operator needs no lease, but must state the current position.
        assertThat(write("", 0, 1, "stop")).isEqualTo(Outcome.STALE_POSITION);
        assertThat(write("", 0, 2, "stop")).isEqualTo(Outcome.WRITTEN);
        assertThat(records.forTask("task").texts()).containsExactly("begun", "advanced", "stop");
    }

    @Test
    void replacingRecordDropsTheEarlierOnesAndKeepsCounting() {
        for (int i = 0; i < FencedRecords.MAX_RECORDS_PER_TASK; i++) {
            assertThat(write("", 0, i, "n" + i)).isEqualTo(Outcome.WRITTEN);
        }
        assertThat(write("", 0, FencedRecords.MAX_RECORDS_PER_TASK, "more")).isEqualTo(Outcome.FULL);
        FencedRecords.Transition replaced = records.apply(
                new FencedRecord("task", "", 0, FencedRecords.MAX_RECORDS_PER_TASK, true, "anew"), leases);
        assertThat(replaced.outcome()).isEqualTo(Outcome.WRITTEN);
        records = replaced.next();
        assertThat(records.forTask("task"))
                .isEqualTo(
                        new FencedRecords.TaskRecords(FencedRecords.MAX_RECORDS_PER_TASK, java.util.List.of("anew")));
        assertThat(write("", 0, FencedRecords.MAX_RECORDS_PER_TASK + 1, "next")).isEqualTo(Outcome.WRITTEN);
        assertThat(records.forTask("other").writtenCount()).isZero();
    }

    private void acquire(String holder, long nowNanos, long token) {
        leases = leases.apply(LeaseRequest.acquire("task", holder, 1, token, LENGTH_NANOS), nowNanos, CLOCK_BOUND_NANOS)
                .next();
    }

    private void advanceClock(long nowNanos) {
        leases = new LeaseTable(Math.max(leases.clockNanos(), nowNanos), leases.leases());
    }

    private Outcome write(String holder, long token, int position, String text) {
        FencedRecords.Transition applied =
                records.apply(new FencedRecord("task", holder, token, position, false, text), leases);
        records = applied.next();
        return applied.outcome();
    }
}
