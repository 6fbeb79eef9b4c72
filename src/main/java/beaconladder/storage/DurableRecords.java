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
 * An append-only sequence of records that survives a crash at any time: once {@link #append} has returned, the record
 * is durable; a record whose append did not return is stored completely or not at all. The records are stored in an H2
 * MVStore file; each has a checksum, because MVStore's pages have none. Not thread-safe.
 */
public final class DurableRecords implements AutoCloseable {
    private static final String FILE = "records.mv";
    private static final int CHECKSUM_BYTES = Long.BYTES;

    private final Path file;
    /** The open store; null after a failed write, until the file is opened again. */
    private MVStore store;

    private MVMap<Long, byte[]> map;
    private final List<byte[]> recovered = new ArrayList<>();
    private long nextNumber;
    private boolean closed;

    private DurableRecords(Path file) {
        this.file = file;
    }

    /**
     * Opens the records in a folder, and creates the folder if it does not exist.
     *
     * @throws IOException if the folder can't be used, the file is in use by another process, or a record is damaged;
     *     the message states which
     */
    public static DurableRecords open(Path folder) throws IOException {
        Files.createDirectories(folder);
        DurableRecords records = new DurableRecords(folder.resolve(FILE));
        records.openStore();
        try {
            for (Long number : records.map.keyList()) {
                records.recovered.add(verifiedBody(records.file, number, records.map.get(number)));
                records.nextNumber = number + 1;
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

    /** Discards the store after an error: MVStore has closed it, and its state in memory is not valid any more. */
    private void abandonStore() {
        MVStore failed = store;
        store = null;
        map = null;
        if (failed != null) {
            failed.closeImmediately();
        }
    }

    private static byte[] verifiedBody(Path file, long number, byte[] stored) throws IOException {
        if (stored.length < CHECKSUM_BYTES
                || ByteBuffer.wrap(stored).getLong()
                        != Hashing.xxh3_64().hashBytesToLong(stored, CHECKSUM_BYTES, stored.length - CHECKSUM_BYTES)) {
            throw new IOException("record " + number + " in " + file + " is damaged");
        }
        byte[] body = new byte[stored.length - CHECKSUM_BYTES];
        System.arraycopy(stored, CHECKSUM_BYTES, body, 0, body.length);
        return body;
    }

    /** Returns the records that were stored when the file was opened, oldest first. */
    public List<byte[]> recovered() {
        return recovered;
    }

    /** A change of the map, applied before each attempt to commit it. */
    private interface Change {
        void apply();
    }

    /**
     * Appends one record, which is durable when this returns.
     *
     * @throws IOException if the record can't be written; the next write opens the file again, and if it succeeds,
     *     discards the failed record in case that was stored after all
     */
    public void append(byte[] record) throws IOException {
        long number = nextNumber;
        commit(() -> map.put(number, withChecksum(record)), "the record could not be written");
        nextNumber = number + 1;
    }

    /**
     * Replaces all records atomically: after a crash either the old or the new ones are stored.
     *
     * @throws IOException if the records can't be written, as with {@link #append}
     */
    public void replace(List<byte[]> records) throws IOException {
        long firstNumber = nextNumber;
        commit(
                () -> {
                    map.clear();
                    for (int i = 0; i < records.size(); i++) {
                        map.put(firstNumber + i, withChecksum(records.get(i)));
                    }
                },
                "the snapshot could not be written");
        nextNumber = firstNumber + records.size();
    }

    /**
     * Commits a change, and after an error retries once with the file opened again. The retry overwrites what the first
     * attempt may have stored.
     */
    private void commit(Change change, String failure) throws IOException {
        if (closed) {
            throw new IOException(file + " is closed");
        }
        IOException firstFault = store == null ? null : tryCommit(change, failure);
        if (store != null && firstFault == null) {
            return;
        }
        try {
            openStore();
        } catch (IOException e) {
            throw firstFault == null ? e : firstFault;
        }
        IOException secondFault = tryCommit(change, failure);
        if (secondFault != null) {
            throw secondFault;
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

    private static byte[] withChecksum(byte[] record) {
        return ByteBuffer.allocate(CHECKSUM_BYTES + record.length)
                .putLong(Hashing.xxh3_64().hashBytesToLong(record, 0, record.length))
                .put(record)
                .array();
    }

    /** Closes the file; further writes fail. */
    @Override
    public void close() {
        closed = true;
        if (store != null) {
            store.close();
        }
    }
}
