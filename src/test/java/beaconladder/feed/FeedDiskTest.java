package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FeedDiskTest {
    @Test
    void whatWasKeptLastIsThereAgainAndNothingWithoutAFolder(@TempDir Path folder) throws IOException {
        try (Disk disk = new Disk(folder)) {
            assertThat(disk.kept().state()).isEqualTo(State.none());
            disk.keep(State.of(1, Map.of("a", "1")), 5);
            disk.keep(State.of(2, Map.of("a", "2")), 7);
        }
        try (Disk disk = new Disk(folder)) {
            assertThat(disk.kept()).isEqualTo(new Disk.Kept(State.of(2, Map.of("a", "2")), 7));
            assertThatThrownBy(() -> new Disk(folder)).isInstanceOf(IOException.class);
        }
        try (Disk none = new Disk(null)) {
            none.keep(State.of(1, Map.of("a", "1")), 5);
        }
        try (Disk none = new Disk(null)) {
            assertThat(none.kept().state()).isEqualTo(State.none());
        }
    }

    @Test
    void aDiskWithAnotherStateThanItsDigestSaysIsNotBelieved(@TempDir Path folder) throws IOException {
        try (beaconladder.store.Records records = beaconladder.store.Records.open(folder)) {
            records.append(FeedText.text(new Disk.Kept(
                            new State(
                                    1,
                                    State.of(1, Map.of("a", "1")).entries(),
                                    State.none().digest()),
                            5))
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        assertThatThrownBy(() -> new Disk(folder)).hasMessageContaining(folder.toString());
    }
}
