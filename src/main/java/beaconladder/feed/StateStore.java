package beaconladder.feed;

import beaconladder.storage.DurableRecords;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The newest state on the own disk, for a start with no relay there; without a folder it keeps nothing. */
public final class StateStore implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

    private final DurableRecords records;
    private Kept kept = new Kept(VersionedState.empty(), 0);
    /** What has to be in the place of what is kept, as a version was refused behind its write. */
    private Kept owed;

    /**
     * What is kept.
     *
     * @param heard Unix milliseconds when the state was known to be the newest
     */
    record Kept(
            @JsonProperty(required = true) VersionedState state,
            @JsonProperty(required = true) long heard) {}

    /** Opens a folder, or none where it is null; a damaged one is an exception that names it. */
    public StateStore(Path folder) throws IOException {
        records = folder == null ? null : DurableRecords.open(folder);
        if (records != null && !records.recovered().isEmpty()) {
            byte[] last = records.recovered().get(records.recovered().size() - 1);
            try {
                kept = FeedJson.read(new String(last, StandardCharsets.UTF_8), Kept.class);
                kept.state().validated();
            } catch (IOException e) {
                records.close();
                throw new IOException(folder + " holds no whole state: " + e.getMessage(), e);
            }
        }
    }

    /** What was there when it was opened, or was kept last. */
    Kept kept() {
        return kept;
    }

    /** Keeps it in the place of the one before; it is there once this returns. */
    void keep(VersionedState state, long heard) throws IOException {
        Kept next = new Kept(state, heard);
        if (records != null) {
            records.replace(List.of(FeedJson.text(next).getBytes(StandardCharsets.UTF_8)));
        }
        kept = next;
        owed = null;
    }

    /** Puts what was kept before back in its place; where that fails it stays owed. */
    void putBack(Kept before) {
        owed = before;
        settle();
    }

    /** Writes what is owed, if anything is. */
    void settle() {
        if (owed == null) {
            return;
        }
        try {
            keep(owed.state(), owed.heard());
        } catch (IOException e) {
            LOG.warn("version {} can't be written back yet: {}", owed.state().version(), e.getMessage());
        }
    }

    @Override
    public void close() {
        if (records != null) {
            records.close();
        }
    }
}
