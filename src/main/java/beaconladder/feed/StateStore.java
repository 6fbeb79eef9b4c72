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
 * Stores the newest state on the local disk, for a start while no upstream responds. Without a folder the state is kept
 * in memory only. Not thread-safe: one thread saves and restores.
 */
final class StateStore implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

    private final DurableRecords records;
    private Snapshot stored = new Snapshot(VersionedState.empty(), 0);
    /** The state that has to replace the stored one, whose version was rejected after it had been written; or null. */
    private Snapshot pendingRestore;

    /**
     * A stored state.
     *
     * @param confirmedAtMillis the Unix time at which the state was known to be the newest
     */
    record Snapshot(
            @JsonProperty(required = true) VersionedState state,
            @JsonProperty(value = "heard", required = true) long confirmedAtMillis) {}

    /**
     * Opens the store and reads the stored state.
     *
     * @param folder the folder of the state, or null to store nothing
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

    /** Returns the state that was saved last, or found when the folder was opened. */
    Snapshot stored() {
        return stored;
    }

    /**
     * Replaces the stored state. The new state is durable once this returns.
     *
     * @param confirmedAtMillis the Unix time at which the state was known to be the newest
     * @throws IOException if the disk is full or fails; the previous state remains stored then
     */
    void save(VersionedState state, long confirmedAtMillis) throws IOException {
        Snapshot next = new Snapshot(state, confirmedAtMillis);
        if (records != null) {
            records.replace(List.of(FeedJson.text(next).getBytes(StandardCharsets.UTF_8)));
        }
        stored = next;
        pendingRestore = null;
    }

    /** Stores an earlier state again; if that fails, {@link #retryRestore} retries it. */
    void restore(Snapshot earlier) {
        pendingRestore = earlier;
        retryRestore();
    }

    /** Retries a failed restore, if there is one. */
    void retryRestore() {
        if (pendingRestore == null) {
            return;
        }
        try {
            save(pendingRestore.state(), pendingRestore.confirmedAtMillis());
        } catch (IOException e) {
            LOG.warn(
                    "version {} can't be restored on the disk yet: {}",
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
