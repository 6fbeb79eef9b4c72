package beaconladder.feed;

import beaconladder.storage.DurableRecords;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest state on the own disk, for a start while no upstream answers. Without a folder it is kept in memory only.
 * Not thread-safe: one thread saves and restores.
 */
final class StateStore implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

    private final DurableRecords records;
    private Snapshot stored = new Snapshot(VersionedState.empty(), 0);
    /** Has to replace what is stored, as that version was rejected after it had been written; or null. */
    private Snapshot pendingRestore;

    /**
     * A stored state.
     *
     * @param confirmedAtMillis Unix time when the state was known to be the newest
     */
    record Snapshot(
            @JsonProperty(required = true) VersionedState state,
            @JsonProperty(value = "heard", required = true) long confirmedAtMillis) {}

    /**
     * Opens a folder.
     *
     * @param folder where the state is, or null to store nothing
     * @throws CorruptStateException if the stored state can't be read or fails its checks
     * @throws IOException if the folder can't be used, or another process has it open
     */
    StateStore(Path folder) throws IOException {
        records = folder == null ? null : DurableRecords.open(folder);
        if (records != null && !records.recovered().isEmpty()) {
            byte[] last = records.recovered().get(records.recovered().size() - 1);
            try {
                stored = FeedJson.read(new String(last, StandardCharsets.UTF_8), Snapshot.class);
                stored.state().validated();
            } catch (IOException e) {
                records.close();
                throw new CorruptStateException(folder + " holds no valid state: " + e.getMessage(), e);
            }
        }
    }

    /** What was found when the folder was opened, or was saved last. */
    Snapshot stored() {
        return stored;
    }

    /**
     * Replaces the stored state; it is durable once this returns.
     *
     * @param confirmedAtMillis Unix time when the state was known to be the newest
     * @throws IOException if the disk is full or fails; then the state stored before remains
     */
    void save(VersionedState state, long confirmedAtMillis) throws IOException {
        Snapshot next = new Snapshot(state, confirmedAtMillis);
        if (records != null) {
            records.replace(List.of(FeedJson.text(next).getBytes(StandardCharsets.UTF_8)));
        }
        stored = next;
        pendingRestore = null;
    }

    /** Writes an earlier state back; if that fails, {@link #retryRestore} tries again. */
    void restore(Snapshot earlier) {
        pendingRestore = earlier;
        retryRestore();
    }

    /** Retries a restore that failed, if there is one. */
    void retryRestore() {
        if (pendingRestore == null) {
            return;
        }
        try {
            save(pendingRestore.state(), pendingRestore.confirmedAtMillis());
        } catch (IOException e) {
            LOG.warn(
                    "version {} can't be written back yet: {}",
                    pendingRestore.state().version(),
                    e.getMessage());
        }
    }

    @Override
    public void close() {
        if (records != null) {
            records.close();
        }
    }
}
