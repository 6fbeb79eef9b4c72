package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PipelineQueueTest {
    private static final int MANY = Integer.MAX_VALUE;
    private final PipelineQueue ahead = new PipelineQueue();

    @Test
    void oneClientHasSixteenInHandAtTheMost() {
        List<PipelineQueue.Turn> turns = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            turns.add(ahead.add(read("k")));
        }
        assertThat(turns).startsWith(PipelineQueue.Turn.START_TASK).endsWith(PipelineQueue.Turn.WAITS);
        assertThat(turns.stream().filter(t -> t == PipelineQueue.Turn.START_TASK))
                .hasSize(16);
        for (int i = 0; i < 16; i++) {
            assertThat(ahead.next(MANY)).isNotNull();
        }
        assertThat(ahead.another(MANY)).isFalse();
    }

    @Test
    void aWriteWaitsForWhatNamesItsRowAndWhatNamesItsRowForIt() {
        PipelineQueue.Work r1 = read("k");
        PipelineQueue.Work w2 = write("k");
        PipelineQueue.Work r3 = read("k");
        PipelineQueue.Work w4 = write("other");
        List<PipelineQueue.Turn> turns = List.of(ahead.add(r1), ahead.add(w2), ahead.add(r3), ahead.add(w4));
        assertThat(turns.get(0)).isEqualTo(PipelineQueue.Turn.START_TASK);
        assertThat(ahead.next(MANY)).isSameAs(r1);
        assertThat(ahead.next(MANY)).isSameAs(w4);
        assertThat(ahead.another(MANY)).isFalse();
        done(r1);
        assertThat(ahead.another(MANY)).isTrue();
        assertThat(ahead.next(MANY)).isSameAs(w2);
        assertThat(ahead.another(MANY)).isFalse();
        done(w2);
        assertThat(ahead.next(MANY)).isSameAs(r3);
        assertThat(List.of(r1.begins(), w4.begins(), w2.begins(), r3.begins())).containsExactly(0L, 0L, 7L, 7L);
    }

    @Test
    void theFirstIsWrittenFirstAndByOneAlone() {
        PipelineQueue.Work first = read("a");
        PipelineQueue.Work second = read("b");
        ahead.add(first);
        ahead.add(second);
        ahead.next(MANY);
        ahead.next(MANY);
        assertThat(ahead.add(new PipelineQueue.Work(new MessageWriter().ready(), false)))
                .isEqualTo(PipelineQueue.Turn.WAITS);
        done(second);
        assertThat(ahead.toWrite()).isNull();
        assertThat(ahead.current()).isSameAs(first);
        done(first);
        assertThat(ahead.toWrite()).isSameAs(first);
        assertThat(ahead.toWrite()).isNull();
        assertThat(ahead.owes()).isTrue();
        ahead.written();
        assertThat(ahead.toWrite()).isSameAs(second);
        ahead.written();
        assertThat(ahead.toWrite().query()).isNull();
        assertThat(ahead.owes()).isFalse();
        ahead.written();
        assertThat(ahead.idle()).isTrue();
    }

    @Test
    void whoFindsNoThreadWaitsForTheTasksThereAreAndIsLetGoOfWithoutAny() {
        PipelineQueue.Work first = read("a");
        PipelineQueue.Work second = read("b");
        assertThat(ahead.add(first)).isEqualTo(PipelineQueue.Turn.START_TASK);
        assertThat(ahead.next(MANY)).isSameAs(first);
        assertThat(ahead.add(second)).isEqualTo(PipelineQueue.Turn.START_TASK);
        assertThat(ahead.abandon(second)).isFalse();
        done(first);
        assertThat(ahead.next(MANY)).isSameAs(second);
        done(second);
        ahead.toWrite();
        ahead.written();
        ahead.toWrite();
        ahead.written();
        assertThat(ahead.next(MANY)).isNull();
        PipelineQueue.Work third = read("c");
        assertThat(ahead.add(third)).isEqualTo(PipelineQueue.Turn.START_TASK);
        assertThat(ahead.abandon(third)).isTrue();
        assertThat(ahead.idle()).isTrue();
    }

    @Test
    void nothingIsBegunOrWrittenOnceTheClientHasGone() {
        PipelineQueue.Work first = read("a");
        ahead.add(first);
        ahead.next(MANY);
        ahead.add(read("b"));
        assertThat(ahead.end()).hasSize(2).contains(first);
        done(first);
        assertThat(ahead.toWrite()).isNull();
        assertThat(ahead.next(MANY)).isNull();
        assertThat(ahead.add(read("c"))).isEqualTo(PipelineQueue.Turn.WAITS);
    }

    private void done(PipelineQueue.Work work) {
        ahead.answered(work, new RequestTask.Reply(new MessageWriter().ready(), false), 7);
    }

    private static PipelineQueue.Work read(String key) {
        return new PipelineQueue.Work(
                "SELECT doc FROM items WHERE id = '" + key + "' /* id=1,c=any,d=9,cluster=1 */", 0);
    }

    private static PipelineQueue.Work write(String key) {
        return new PipelineQueue.Work(
                "INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x00') RETURNING doc "
                        + "/* id=1,c=write,d=9,cluster=1 */",
                0);
    }
}
