package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Versions, digests, and the updates that a relay or the log serves to a client with an older version. */
class VersionHistoryTest {
    @Test
    void versionsAreConsecutiveAndEachHasItsOwnDigest() {
        VersionHistory one = commit(VersionHistory.empty(), Map.of("a", "1"));
        assertThat(one.newest().version()).isEqualTo(1);
        assertThat(one.newest().entries()).isEqualTo(new TreeMap<>(Map.of("a", "1")));
        VersionHistory two = commit(one, Map.of("a", "1"));
        assertThat(two.newest().digest()).isNotEqualTo(one.newest().digest());
        assertThat(VersionedState.of(2, Map.of("a", "1"))).isEqualTo(two.newest());
        // The digest distinguishes where a name, a text or a document ends.
        assertThat(VersionedState.of(1, Map.of("ab", "c")).digest())
                .isNotEqualTo(VersionedState.of(1, Map.of("a", "bc")).digest());
        assertThat(VersionedState.of(1, Map.of("a", "b", "c", "d")).digest())
                .isNotEqualTo(VersionedState.of(1, Map.of("a", "bcd")).digest());
    }

    @Test
    void aConflictingProposalChangesNothingAndARetriedOneIsCommittedOnce() {
        VersionHistory one = commit(VersionHistory.empty(), Map.of("a", "1"));
        Proposal conflicting = new Proposal(0, Map.of("a", "2"), List.of());
        assertThat(one.apply(conflicting).history()).isEqualTo(one);
        assertThat(one.apply(conflicting).result().outcome()).isEqualTo(CommitResult.Outcome.VERSION_CONFLICT);
        assertThat(one.apply(conflicting).result().version()).isEqualTo(1);
        assertThat(one.apply(new Proposal(5, Map.of("a", "2"), List.of()))
                        .result()
                        .outcome())
                .isEqualTo(CommitResult.Outcome.VERSION_CONFLICT);
        Proposal retry = new Proposal(0, Map.of("a", "1"), List.of());
        assertThat(one.apply(retry).history()).isEqualTo(one);
        assertThat(one.apply(retry).result().outcome()).isEqualTo(CommitResult.Outcome.COMMITTED);
    }

    @Test
    void aProposalBeyondTheSizeBoundIsNotCommitted() {
        String half = "x".repeat(VersionedState.MAX_CHARACTERS / 2);
        VersionHistory one = commit(VersionHistory.empty(), Map.of("a", half));
        VersionHistory.Transition two = one.apply(new Proposal(1, Map.of("b", half), List.of()));
        assertThat(two.result().outcome()).isEqualTo(CommitResult.Outcome.TOO_LARGE);
        assertThat(two.history()).isEqualTo(one);
        VersionHistory.Transition other = one.apply(new Proposal(1, Map.of("b", half), List.of("a")));
        assertThat(other.result().outcome()).isEqualTo(CommitResult.Outcome.COMMITTED);
        assertThat(other.history().newest().entries().keySet()).containsExactly("b");
    }

    @Test
    void invalidProposalsAreRejected() {
        for (Proposal invalid : List.of(
                new Proposal(0, Map.of(), List.of()),
                new Proposal(-1, Map.of("a", "1"), List.of()),
                new Proposal(0, Map.of("../a", "1"), List.of()),
                new Proposal(0, Map.of("a", "1"), List.of("a")),
                new Proposal(0, Map.of(), List.of("a b")),
                new Proposal(0, Map.of("a", "x".repeat(VersionedState.MAX_CHARACTERS)), List.of()))) {
            assertThatThrownBy(invalid::validated).as(invalid.toString()).isInstanceOf(IOException.class);
        }
        for (String invalid : List.of(
                "",
                "{}",
                "null",
                "[]",
                "{\"against\":0,\"set\":null,\"remove\":[]}",
                "{\"against\":0,\"set\":{\"a\":\"1\",\"a\":\"2\"},\"remove\":[]}",
                "{\"against\":0,\"set\":{},\"remove\":[]} {}",
                "{\"against\":null,\"set\":{},\"remove\":[]}")) {
            assertThatThrownBy(() -> FeedJson.read(invalid, Proposal.class))
                    .as(invalid)
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void anUpdateHasWhatTheClientLacksAndNoMore() throws IOException {
        VersionHistory all = VersionHistory.empty();
        for (int i = 1; i <= 10; i++) {
            all = commit(all, Map.of("a", "some text that takes a little room", "n" + i, "" + i));
        }
        assertThat(all.updateSince(10, false))
                .isEqualTo(new Update(10, all.newest().digest(), 0, null, List.of()));
        assertThat(all.updateSince(11, false).changes()).isEmpty();
        Update one = all.updateSince(9, false);
        assertThat(one.base()).isNull();
        assertThat(one.changes()).extracting(Change::version).containsExactly(10L);
        // The changes since version 0 are larger than the full state.
        assertThat(all.updateSince(0, false).base()).isEqualTo(all.newest());
        assertThat(all.updateSince(0, false).changes()).isEmpty();
        assertThat(all.updateSince(9, true).base()).isEqualTo(all.newest());
    }

    @Test
    void changesBeyondTheBoundAreDroppedAndTheFullStateIsSentInstead() {
        VersionHistory all = VersionHistory.empty();
        Map<String, String> large = Map.of("large", "x".repeat(100_000));
        all = commit(all, large);
        for (int i = 0; i < VersionHistory.MAX_CHANGES + 5; i++) {
            all = commit(all, Map.of("a", "" + i));
        }
        assertThat(all.changes()).hasSize(VersionHistory.MAX_CHANGES);
        long newest = all.newest().version();
        assertThat(all.updateSince(newest - VersionHistory.MAX_CHANGES, false).base())
                .isNull();
        assertThat(all.updateSince(newest - VersionHistory.MAX_CHANGES - 1, false)
                        .base())
                .isEqualTo(all.newest());
        // Large changes are dropped sooner.
        for (int i = 0; i < 10; i++) {
            all = commit(all, Map.of("large", i + "x".repeat(100_000)));
        }
        assertThat(all.changes().size()).isLessThan(7);
    }

    @Test
    void aRelayReachesTheLogsStateByFullStatesAndByChanges() throws IOException {
        VersionHistory log = VersionHistory.empty();
        VersionHistory relay = VersionHistory.empty();
        for (int i = 1; i <= 40; i++) {
            log = commit(log, Map.of("n" + i % 7, "text " + i));
            if (i % 3 != 0) {
                String text = FeedJson.text(log.updateSince(relay.newest().version(), false));
                relay = relay.merge(FeedJson.read(text, Update.class));
                assertThat(relay.newest()).isEqualTo(log.newest());
            }
        }
        VersionHistory read =
                FeedJson.read(FeedJson.text(log), VersionHistory.class).validated();
        assertThat(read).isEqualTo(log);
    }

    @Test
    void inconsistentUpdatesAreRejected() throws IOException {
        VersionHistory log = commit(
                commit(commit(VersionHistory.empty(), Map.of("a", "a longer text than most")), Map.of("b", "2")),
                Map.of("c", "3"));
        Update two = log.updateSince(1, false);
        assertThat(two.changes()).hasSize(2);
        VersionedState one =
                log.newest().version() == 3 ? VersionedState.of(1, Map.of("a", "a longer text than most")) : null;
        assertThat(UpdateStrategy.STRICT.merge(one, two)).isEqualTo(log.newest());
        // A gap in the versions, missing changes, wrong contents, wrong digests, wrong versions.
        Change last = two.changes().get(1);
        for (Update invalid : List.of(
                new Update(3, two.digest(), 0, null, List.of(last)),
                new Update(3, two.digest(), 0, null, List.of()),
                new Update(3, two.digest(), 0, null, List.of(two.changes().get(0))),
                new Update(
                        3,
                        two.digest(),
                        0,
                        null,
                        List.of(two.changes().get(0), new Change(3, Map.of("c", "4"), List.of(), last.digest()))),
                new Update(
                        3, two.digest(), 0, new VersionedState(3, log.newest().entries(), "0"), List.of()),
                new Update(3, "0", 0, log.newest(), List.of()),
                new Update(4, two.digest(), 0, log.newest(), List.of()),
                new Update(1, "0", 0, null, List.of()))) {
            assertThatThrownBy(() -> UpdateStrategy.STRICT.merge(one, invalid))
                    .as(invalid.toString())
                    .isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> UpdateStrategy.STRICT.merge(VersionedState.of(1, Map.of("a", "other")), two))
                .isInstanceOf(IOException.class);
    }

    @Test
    void olderUpdatesAreIgnored() throws IOException {
        VersionHistory older = commit(VersionHistory.empty(), Map.of("a", "1"));
        VersionHistory log = commit(older, Map.of("a", "2"));
        assertThat(UpdateStrategy.STRICT.merge(log.newest(), older.updateSince(0, false)))
                .isEqualTo(log.newest());
        assertThat(log.merge(older.updateSince(0, false))).isEqualTo(log);
        assertThat(older.updateSince(2, false).base()).isNull();
    }

    @Test
    void removingARelayMovesOnlyRoutersThatPreferredIt() {
        List<String> eight =
                java.util.stream.IntStream.range(0, 8).mapToObj(i -> "r" + i).toList();
        List<String> seven = eight.subList(0, 7);
        int[] first = new int[8];
        for (int i = 0; i < 4_100; i++) {
            List<String> order = Rendezvous.preferenceOrder("n" + i, eight);
            assertThat(order).containsExactlyInAnyOrderElementsOf(eight);
            first[order.get(0).charAt(1) - '0']++;
            List<String> fewer = Rendezvous.preferenceOrder("n" + i, seven);
            assertThat(fewer).isEqualTo(order.stream().filter(seven::contains).toList());
        }
        for (int each : first) {
            assertThat(each).isBetween(4_100 / 8 * 3 / 4, 4_100 / 8 * 5 / 4);
        }
    }

    static VersionHistory commit(VersionHistory before, Map<String, String> set) {
        VersionHistory.Transition transition =
                before.apply(new Proposal(before.newest().version(), set, List.of()));
        assertThat(transition.result().outcome()).isEqualTo(CommitResult.Outcome.COMMITTED);
        return transition.history();
    }
}
