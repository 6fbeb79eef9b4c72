package beaconladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lease.FencedRecords.Kept;
import org.junit.jupiter.api.Test;

class FencedRecordsTest {
    private static final long LENGTH = 1_000;
    private static final long BOUND = 60;

    private LeaseTable grants = LeaseTable.none();
    private FencedRecords notes = FencedRecords.none();

    /** Of two who both think that they hold the task, one can write, and nothing is written twice. */
    @Test
    void onlyWhoHoldsTheTaskByTheLogsOwnClockWritesAndNothingTwice() {
        take("a#1", 0, 0);
        assertThat(write("a#1", 1, 0, "begun")).isEqualTo(Kept.WRITTEN);
        assertThat(write("b#1", 1, 1, "mine")).isEqualTo(Kept.NOT_HELD);
        // Its lease is over, though nobody else has taken it yet.
        clock(LENGTH + 1);
        assertThat(write("a#1", 1, 1, "late")).isEqualTo(Kept.NOT_HELD);
        take("b#1", LENGTH + BOUND + 1, 0);
        assertThat(write("a#1", 1, 1, "still")).isEqualTo(Kept.NOT_HELD);
        assertThat(write("b#1", 2, 0, "again")).isEqualTo(Kept.OVERTAKEN);
        assertThat(write("b#1", 2, 1, "advanced")).isEqualTo(Kept.WRITTEN);
        assertThat(write("b#1", 2, 1, "advanced")).isEqualTo(Kept.OVERTAKEN);
        // An operator's word needs no lease, but has to know what was written.
        assertThat(write("", 0, 1, "stop")).isEqualTo(Kept.OVERTAKEN);
        assertThat(write("", 0, 2, "stop")).isEqualTo(Kept.WRITTEN);
        assertThat(notes.seen("task").texts()).containsExactly("begun", "advanced", "stop");
    }

    @Test
    void aFreshNoteDropsTheOldOnesAndCountsOn() {
        for (int i = 0; i < FencedRecords.MOST; i++) {
            assertThat(write("", 0, i, "n" + i)).isEqualTo(Kept.WRITTEN);
        }
        assertThat(write("", 0, FencedRecords.MOST, "more")).isEqualTo(Kept.FULL);
        FencedRecords.Applied fresh =
                notes.apply(new FencedRecord("task", "", 0, FencedRecords.MOST, true, "anew"), grants);
        assertThat(fresh.kept()).isEqualTo(Kept.WRITTEN);
        notes = fresh.next();
        assertThat(notes.seen("task")).isEqualTo(new FencedRecords.Seen(FencedRecords.MOST, java.util.List.of("anew")));
        assertThat(write("", 0, FencedRecords.MOST + 1, "next")).isEqualTo(Kept.WRITTEN);
        assertThat(notes.seen("other").size()).isZero();
    }

    private void take(String holder, long at, long token) {
        grants = grants.apply(LeaseRequest.take("task", holder, 1, token, LENGTH), at, BOUND)
                .next();
    }

    private void clock(long at) {
        grants = new LeaseTable(Math.max(grants.clock(), at), grants.leases());
    }

    private Kept write(String holder, long token, int at, String text) {
        FencedRecords.Applied applied = notes.apply(new FencedRecord("task", holder, token, at, false, text), grants);
        notes = applied.next();
        return applied.kept();
    }
}
