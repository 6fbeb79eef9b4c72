package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.routing.ClientShares;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order and the concurrency of pipelined queries, without threads or sockets. */
class PipelineQueueTest {
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private final MemoryPool queryMemory = new MemoryPool(1 << 20, ClientShares::mayQueue);
    private final MemoryPool answerMemory = new MemoryPool(1 << 20, ClientShares::mayKeepAnswer);
    private final PipelineQueue queue = newQueue();

    @Test
    void oneClientHasAtMostSixteenConcurrentTasks() {
        List<PipelineQueue.AddResult> results = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            results.add(queue.add(read("k")));
        }
        assertThat(results).startsWith(PipelineQueue.AddResult.START_TASK).endsWith(PipelineQueue.AddResult.QUEUED);
        assertThat(results.stream().filter(result -> result == PipelineQueue.AddResult.START_TASK))
                .hasSize(16);
        for (int i = 0; i < 16; i++) {
            assertThat(queue.startNext(UNLIMITED)).isNotNull();
        }
        assertThat(queue.reserveTask(UNLIMITED)).isFalse();
    }

    @Test
    void writesAndReadsOfOneRowRunInTheirOrder() {
        PipelineEntry r1 = read("k");
        PipelineEntry w2 = write("k");
        PipelineEntry r3 = read("k");
        PipelineEntry w4 = write("other");
        List<PipelineQueue.AddResult> results = List.of(queue.add(r1), queue.add(w2), queue.add(r3), queue.add(w4));
        assertThat(results.get(0)).isEqualTo(PipelineQueue.AddResult.START_TASK);
        assertThat(queue.startNext(UNLIMITED)).isSameAs(r1);
        assertThat(queue.startNext(UNLIMITED)).isSameAs(w4);
        assertThat(queue.reserveTask(UNLIMITED)).isFalse();
        complete(r1);
        assertThat(queue.reserveTask(UNLIMITED)).isTrue();
        assertThat(queue.startNext(UNLIMITED)).isSameAs(w2);
        assertThat(queue.reserveTask(UNLIMITED)).isFalse();
        complete(w2);
        assertThat(queue.startNext(UNLIMITED)).isSameAs(r3);
        assertThat(List.of(r1.startNanos(), w4.startNanos(), w2.startNanos(), r3.startNanos()))
                .containsExactly(0L, 0L, 7L, 7L);
    }

    @Test
    void answersAreWrittenInOrderByOneTaskAtATime() {
        PipelineEntry first = read("a");
        PipelineEntry second = read("b");
        queue.add(first);
        queue.add(second);
        queue.startNext(UNLIMITED);
        queue.startNext(UNLIMITED);
        assertThat(queue.add(new PipelineEntry(new MessageWriter().readyForQuery(), false)))
                .isEqualTo(PipelineQueue.AddResult.QUEUED);
        complete(second);
        assertThat(queue.beginWrite()).isNull();
        assertThat(queue.firstUnanswered()).isSameAs(first);
        complete(first);
        assertThat(queue.beginWrite()).isSameAs(first);
        assertThat(queue.beginWrite()).isNull();
        assertThat(queue.unansweredQueries()).isEqualTo(1);
        queue.endWrite();
        assertThat(queue.beginWrite()).isSameAs(second);
        queue.endWrite();
        assertThat(queue.beginWrite().query()).isNull();
        assertThat(queue.unansweredQueries()).isZero();
        assertThat(queue.isIdle()).isFalse();
        queue.endWrite();
        assertThat(queue.isIdle()).isTrue();
    }

    /** Guards against a client whose end is no longer looked for while a host may still have to run its query. */
    @Test
    void aQueryIsUnansweredUntilItsAnswerIsThereBehindTheActiveEntriesToo() {
        assertThat(queue.hasUnansweredQuery()).isFalse();
        List<PipelineEntry> entries = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            entries.add(read("k" + i));
            queue.add(entries.get(i));
        }
        queue.add(new PipelineEntry(new MessageWriter().readyForQuery(), true));
        for (int i = 0; i < 64; i++) {
            assertThat(queue.startNext(UNLIMITED)).isSameAs(entries.get(i));
            complete(entries.get(i));
        }
        assertThat(queue.startNext(UNLIMITED)).isNull();
        assertThat(queue.hasUnansweredQuery()).isTrue();
        for (int i = 0; i < 100; i++) {
            PipelineEntry next = queue.startNext(UNLIMITED);
            if (next != null) {
                complete(next);
            }
            queue.beginWrite();
            queue.endWrite();
        }
        assertThat(queue.hasUnansweredQuery()).isFalse();
        assertThat(queue.hasEntries()).isTrue();
    }

    @Test
    void anEntryWithoutAThreadWaitsForARunningTaskAndIsRejectedInItsTurnWithoutOne() {
        PipelineEntry first = read("a");
        PipelineEntry second = read("b");
        assertThat(queue.add(first)).isEqualTo(PipelineQueue.AddResult.START_TASK);
        assertThat(queue.startNext(UNLIMITED)).isSameAs(first);
        assertThat(queue.add(second)).isEqualTo(PipelineQueue.AddResult.START_TASK);
        assertThat(queue.releaseTask()).isNull();
        complete(first);
        assertThat(queue.startNext(UNLIMITED)).isSameAs(second);
        complete(second);
        queue.beginWrite();
        queue.endWrite();
        queue.beginWrite();
        queue.endWrite();
        assertThat(queue.startNext(UNLIMITED)).isNull();
        PipelineEntry third = read("c");
        assertThat(queue.add(third)).isEqualTo(PipelineQueue.AddResult.START_TASK);
        assertThat(queue.releaseTask()).isSameAs(third);
        assertThat(queue.reserveTask(UNLIMITED)).isFalse();
        complete(third);
        assertThat(queue.beginWrite()).isSameAs(third);
        queue.endWrite();
        assertThat(queue.isIdle()).isTrue();
    }

    @Test
    void nothingIsStartedOrWrittenAfterTheClientDisconnects() {
        PipelineEntry first = read("a");
        queue.add(first);
        queue.startNext(UNLIMITED);
        queue.add(read("b"));
        assertThat(queue.close()).hasSize(2).contains(first);
        complete(first);
        assertThat(queue.beginWrite()).isNull();
        assertThat(queue.startNext(UNLIMITED)).isNull();
        assertThat(queue.add(read("c"))).isEqualTo(PipelineQueue.AddResult.QUEUED);
    }

    /** Guards against a client whose queries fill the memory, and against one whose bytes are left unread. */
    @Test
    void queriesBeyondTheClientsShareAreRejectedInTheirTurn() {
        List<PipelineQueue.AddResult> results = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            results.add(queue.add(read("k" + i)));
        }
        assertThat(results.get(2_999)).isEqualTo(PipelineQueue.AddResult.REJECTED);
        assertThat(queryMemory.freeBytes()).isGreaterThan((1 << 20) / 2);
        assertThat(newQueue().add(read("other"))).isEqualTo(PipelineQueue.AddResult.START_TASK);
        assertThat(queue.unansweredQueries()).isEqualTo(3_000);
        int rejected = 0;
        for (int i = 0; i < 3_000; i++) {
            PipelineEntry next = queue.startNext(UNLIMITED);
            if (next == null) {
                rejected++;
            } else {
                assertThat(rejected).isZero();
                complete(next);
            }
            assertThat(queue.beginWrite()).isNotNull();
            queue.endWrite();
        }
        assertThat(rejected)
                .isEqualTo(results.stream()
                        .filter(result -> result == PipelineQueue.AddResult.REJECTED)
                        .count());
        assertThat(queue.isIdle()).isTrue();
    }

    /** Guards against answers that fill the memory while their clients do not read them. */
    @Test
    void aClientThatHoldsItsShareOfTheAnswersGetsNoFurtherRequestStarted() {
        for (int i = 0; i < 60; i++) {
            queue.add(read("k" + i));
        }
        PipelineEntry first = queue.startNext(UNLIMITED);
        int started = 0;
        for (PipelineEntry next = queue.startNext(UNLIMITED); next != null; next = queue.startNext(UNLIMITED)) {
            started++;
            queue.complete(next, largeAnswer(), 0);
        }
        assertThat(started).isBetween(1, 10);
        assertThat(queue.reserveTask(UNLIMITED)).isFalse();
        queue.complete(first, largeAnswer(), 0);
        queue.beginWrite();
        queue.suspendWrite(false, 1);
        assertThat(queue.isStalled(5, 6)).isFalse();
        assertThat(queue.isStalled(5, 7)).isTrue();
        for (int i = 0; i < 5; i++) {
            queue.beginWrite();
            queue.endWrite();
        }
        assertThat(queue.reserveTask(UNLIMITED)).isTrue();
        queue.close();
        assertThat(List.of(queryMemory.freeBytes(), answerMemory.freeBytes())).containsOnly(1L << 20);
    }

    private PipelineQueue newQueue() {
        return new PipelineQueue(queryMemory, answerMemory, entry -> null);
    }

    private static QueryReply largeAnswer() {
        return QueryReply.of(new MessageWriter().append(new byte[40_000], 0, 40_000));
    }

    private void complete(PipelineEntry entry) {
        queue.complete(entry, QueryReply.of(new MessageWriter().readyForQuery()), 7);
    }

    private static PipelineEntry read(String key) {
        return new PipelineEntry("SELECT doc FROM items WHERE id = '" + key + "' /* id=1,c=any,d=9,cluster=1 */", 0);
    }

    private static PipelineEntry write(String key) {
        return new PipelineEntry(
                "INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x00') RETURNING doc "
                        + "/* id=1,c=write,d=9,cluster=1 */",
                0);
    }
}
