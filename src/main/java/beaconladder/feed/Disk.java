package beaconladder.feed;

import beaconladder.store.Records;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** The newest state on the own disk, for a start with no relay there; without a folder it keeps nothing. */
public final class Disk implements AutoCloseable {
    private final Records records;
    private Kept kept = new Kept(State.none(), 0);

    /**
     * What is kept.
     *
     * @param heard Unix milliseconds when the state was known to be the newest
     */
    record Kept(@JsonProperty(required = true) State state, @JsonProperty(required = true) long heard) {
    }

    /** Opens a folder, or none where it is null; a damaged one is an exception that names it. */
    public Disk(Path folder) throws IOException {
        records = folder == null ? null : Records.open(folder);
        if (records != null && !records.found().isEmpty()) {
            byte[] last = records.found().get(records.found().size() - 1);
            try {
                kept = FeedText.read(new String(last, StandardCharsets.UTF_8), Kept.class);
                kept.state().checked();
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
    void keep(State state, long heard) throws IOException {
        Kept next = new Kept(state, heard);
        if (records != null) {
            records.replace(List.of(FeedText.text(next).getBytes(StandardCharsets.UTF_8)));
        }
        kept = next;
    }

    @Override
    public void close() {
        if (records != null) {
            records.close();
        }
    }
}
