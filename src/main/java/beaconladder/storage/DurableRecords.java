package beaconladder.storage;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Records that survive a kill at any instant: once {@link #append} has returned, a record is there whatever happens,
 * and one whose append did not return is there whole or not at all. Kept by H2's MVStore; each record carries a hash of
 * its own, as pages do not.
 */
public final class DurableRecords implements AutoCloseable {
    private static final String FILE = "records.mv";
    private static final int HASH = Long.BYTES;

    private final Path file;
    /** Null between a write that failed and the next that finds the file in order. */
    private MVStore store;

    private MVMap<Long, byte[]> map;
    private final List<byte[]> found = new ArrayList<>();
    private long next;
    private boolean closed;

    private DurableRecords(Path file) {
        this.file = file;
    }

    /**
     * Opens the records of a folder, which is made if there is none.
     *
     * @throws IOException where the folder can't be used, another process has it open, or a record is damaged; the
     *     message says which
     */
    public static DurableRecords open(Path folder) throws IOException {
        Files.createDirectories(folder);
        DurableRecords records = new DurableRecords(folder.resolve(FILE));
        records.openStore();
        try {
            for (Long number : records.map.keyList()) {
                records.found.add(body(records.file, number, records.map.get(number)));
                records.next = number + 1;
            }
            return records;
        } catch (IOException | MVStoreException e) {
            records.abandonStore();
            throw e instanceof IOException fault
                    ? fault
                    : new IOException(records.file + " is damaged: " + e.getMessage(), e);
        }
    }

    private void openStore() throws IOException {
        MVStore opened = null;
        try {
            opened = new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .open();
            map = opened.openMap("records");
            store = opened;
        } catch (MVStoreException e) {
            if (opened != null) {
                opened.closeImmediately();
            }
            throw new IOException(
                    file
                            + (e.getMessage().contains("locked")
                                    ? " is in use by another process"
                                    : " can't be opened: " + e.getMessage()),
                    e);
        }
    }

    /** Lets go of a store that has met a fault: it has closed itself, and what it holds in memory is void. */
    private void abandonStore() {
        MVStore old = store;
        store = null;
        map = null;
        if (old != null) {
            old.closeImmediately();
        }
    }

    private static byte[] body(Path file, long number, byte[] stored) throws IOException {
        if (stored.length < HASH
                || ByteBuffer.wrap(stored).getLong()
                        != Hashing.xxh3_64().hashBytesToLong(stored, HASH, stored.length - HASH)) {
            throw new IOException("record " + number + " in " + file + " is damaged");
        }
        byte[] body = new byte[stored.length - HASH];
        System.arraycopy(stored, HASH, body, 0, body.length);
        return body;
    }

    /** What was there when it was opened, oldest first. */
    public List<byte[]> recovered() {
        return found;
    }

    /** What is to be done to the map before it is committed. */
    private interface Change {
        void apply();
    }

    /**
     * Writes one record; it is on the disk when this returns. Where it can't be written, it is not there once a later
     * write has succeeded, and the next call finds out whether the disk is well again.
     */
    public void append(byte[] record) throws IOException {
        long number = next;
        commit(() -> map.put(number, hashed(record)), "the record could not be written");
        next = number + 1;
    }

    /** Puts these in the place of all records, at once: after a kill there are the old ones or the new ones. */
    public void replace(List<byte[]> records) throws IOException {
        long from = next;
        commit(
                () -> {
                    map.clear();
                    for (int i = 0; i < records.size(); i++) {
                        map.put(from + i, hashed(records.get(i)));
                    }
                },
                "the snapshot could not be written");
        next = from + records.size();
    }

    /** A second try, on a store that is opened anew, sees what the first has left and writes over it. */
    private void commit(Change change, String failure) throws IOException {
        if (closed) {
            throw new IOException(file + " is closed");
        }
        IOException first = store == null ? null : tryCommit(change, failure);
        if (store != null && first == null) {
            return;
        }
        try {
            openStore();
        } catch (IOException e) {
            throw first == null ? e : first;
        }
        IOException second = tryCommit(change, failure);
        if (second != null) {
            throw second;
        }
    }

    private IOException tryCommit(Change change, String failure) {
        try {
            change.apply();
            store.commit();
            store.sync();
            return null;
        } catch (MVStoreException e) {
            abandonStore();
            return new IOException(failure + ": " + e.getMessage(), e);
        }
    }

    private static byte[] hashed(byte[] record) {
        return ByteBuffer.allocate(HASH + record.length)
                .putLong(Hashing.xxh3_64().hashBytesToLong(record, 0, record.length))
                .put(record)
                .array();
    }

    @Override
    public void close() {
        closed = true;
        if (store != null) {
            store.close();
        }
    }
}
