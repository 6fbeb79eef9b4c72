package beaconladder.store;

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
 * Records that survive a kill at any instant: once {@link #append} has returned, a record is there whatever
 * happens, and one whose append did not return is there whole or not at all. Kept by H2's MVStore; each
 * record
 * carries a hash of its own, as pages do not.
 */
public final class Records implements AutoCloseable {
    private static final String FILE = "records.mv";
    private static final int HASH = Long.BYTES;

    private final MVStore store;
    private final MVMap<Long, byte[]> map;
    private final List<byte[]> found = new ArrayList<>();
    private long next;

    private Records(MVStore store) {
        this.store = store;
        this.map = store.openMap("records");
    }

    /**
     * Opens the records of a folder, which is made if there is none.
     *
     * @throws IOException where the folder can't be used, another process has it open, or a record is
     * damaged; the
     *                     message says which
     */
    public static Records open(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(FILE);
        MVStore store;
        try {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
        } catch (MVStoreException e) {
            throw new IOException(file + (e.getMessage().contains("locked") ? " is in use by another process"
                    : " can't be opened: " + e.getMessage()), e);
        }
        try {
            Records records = new Records(store);
            for (Long number : records.map.keyList()) {
                records.found.add(body(file, number, records.map.get(number)));
                records.next = number + 1;
            }
            return records;
        } catch (IOException | MVStoreException e) {
            store.closeImmediately();
            throw e instanceof IOException fault ? fault
                    : new IOException(file + " is damaged: " + e.getMessage(), e);
        }
    }

    private static byte[] body(Path file, long number, byte[] stored) throws IOException {
        if (stored.length < HASH || ByteBuffer.wrap(stored).getLong()
                != Hashing.xxh3_64().hashBytesToLong(stored, HASH, stored.length - HASH)) {
            throw new IOException("record " + number + " in " + file + " is damaged");
        }
        byte[] body = new byte[stored.length - HASH];
        System.arraycopy(stored, HASH, body, 0, body.length);
        return body;
    }

    /** What was there when it was opened, oldest first. */
    public List<byte[]> found() {
        return found;
    }

    /** Writes one record; it is on the disk when this returns. */
    public void append(byte[] record) throws IOException {
        try {
            map.put(next++, hashed(record));
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            throw new IOException("the record could not be written: " + e.getMessage(), e);
        }
    }

    /**
     * Puts these in the place of all records, at once: after a kill there are the old ones or the new ones.
     */
    public void replace(List<byte[]> records) throws IOException {
        try {
            map.clear();
            for (byte[] record : records) {
                map.put(next++, hashed(record));
            }
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            throw new IOException("the snapshot could not be written: " + e.getMessage(), e);
        }
    }

    private static byte[] hashed(byte[] record) {
        return ByteBuffer.allocate(HASH + record.length)
                .putLong(Hashing.xxh3_64().hashBytesToLong(record, 0, record.length)).put(record).array();
    }

    @Override
    public void close() {
        store.close();
    }
}
