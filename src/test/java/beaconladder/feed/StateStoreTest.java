package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StateStoreTest {
    @Test
    void theStateSavedLastIsFoundAgainButNotWithoutAFolder(@TempDir Path folder) throws IOException {
        try (StateStore store = new StateStore(folder)) {
            assertThat(store.stored().state()).isEqualTo(VersionedState.empty());
            store.save(VersionedState.of(1, Map.of("a", "1")), 5);
            store.save(VersionedState.of(2, Map.of("a", "2")), 7);
        }
        try (StateStore store = new StateStore(folder)) {
            assertThat(store.stored()).isEqualTo(new StateStore.Snapshot(VersionedState.of(2, Map.of("a", "2")), 7));
            assertThatThrownBy(() -> new StateStore(folder)).isInstanceOf(IOException.class);
        }
        try (StateStore none = new StateStore(null)) {
            none.save(VersionedState.of(1, Map.of("a", "1")), 5);
        }
        try (StateStore none = new StateStore(null)) {
            assertThat(none.stored().state()).isEqualTo(VersionedState.empty());
        }
    }

    @Test
    void aStoredStateWithAWrongDigestIsRejected(@TempDir Path folder) throws IOException {
        try (DurableRecords records = DurableRecords.open(folder)) {
            records.append(FeedJson.text(new StateStore.Snapshot(
                            new VersionedState(
                                    1,
                                    VersionedState.of(1, Map.of("a", "1")).entries(),
                                    VersionedState.empty().digest()),
                            5))
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        assertThatThrownBy(() -> new StateStore(folder)).hasMessageContaining(folder.toString());
    }
}
