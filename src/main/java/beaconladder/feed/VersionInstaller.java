package beaconladder.feed;

import java.io.IOException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which version a router holds, applies or has rejected, in memory and on the disk. The subscriber's thread installs;
 * {@link #appliedVersion} may be called by any thread.
 */
final class VersionInstaller implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(VersionInstaller.class);

    private final String router;
    private final Applier applier;
    private final StateStore store;
    /** The newest state received: the applied one, or a newer one that was rejected. */
    private VersionedState held;

    private long appliedVersion;
    private long rejectedVersion;

    /** Opens the folder; see {@link StateStore#StateStore}. */
    VersionInstaller(String router, Path folder, Applier applier) throws IOException {
        this.router = router;
        this.applier = applier;
        store = new StateStore(folder);
        held = store.stored().state();
    }

    /** The newest state received; for the installing thread. */
    VersionedState held() {
        return held;
    }

    /** The version applied; 0 for none. */
    synchronized long appliedVersion() {
        return appliedVersion;
    }

    /** The version rejected last, if none was applied since; else 0. For the installing thread. */
    long rejectedVersion() {
        return rejectedVersion;
    }

    /** The state on the disk. */
    VersionedState stored() {
        return store.stored().state();
    }

    /** Retries to write back what a rejected version replaced on the disk. */
    void retryRestore() {
        store.retryRestore();
    }

    /** Applies or rejects a version; false if it could not be stored yet, and so was neither. */
    synchronized boolean install(VersionedState next) {
        if (next.version() == rejectedVersion || next.version() == held.version() && appliedVersion == held.version()) {
            return true;
        }
        StateStore.Snapshot before = store.stored();
        try {
            applier.validate(next);
        } catch (IOException e) {
            reject(next, e);
            return true;
        }
        try {
            // Before it is applied: after a kill at this point the router must not start with an older version.
            store.save(next, System.currentTimeMillis());
        } catch (IOException e) {
            // A full or failing disk is no reason to reject the version.
            LOG.warn(
                    "{}: version {} can't be written yet, {} stays in force: {}",
                    router,
                    next.version(),
                    appliedVersion,
                    e.getMessage());
            return false;
        }
        try {
            applier.apply(next);
            appliedVersion = next.version();
            rejectedVersion = 0;
            held = next;
        } catch (IOException e) {
            store.restore(before);
            reject(next, e);
        }
        return true;
    }

    private void reject(VersionedState next, IOException reason) {
        LOG.warn(
                "{}: version {} is refused, {} stays in force: {}",
                router,
                next.version(),
                appliedVersion,
                reason.getMessage());
        rejectedVersion = next.version();
        held = next;
    }

    /** At a start while no relay answers: applies the stored state, until a relay has a newer one. */
    synchronized void installStored(LastConfirmation lastConfirmation) {
        if (held.version() == 0 || appliedVersion != 0 || rejectedVersion != 0) {
            return;
        }
        long ageMillis = Math.max(0, System.currentTimeMillis() - store.stored().confirmedAtMillis());
        lastConfirmation.set(System.nanoTime() - ageMillis * 1_000_000);
        try {
            applier.validate(held);
            applier.apply(held);
            appliedVersion = held.version();
            LOG.info("{}: no relay answers; version {} is in force from the disk", router, appliedVersion);
        } catch (IOException e) {
            LOG.warn("{}: version {} on the disk is refused: {}", router, held.version(), e.getMessage());
            rejectedVersion = held.version();
        }
    }

    @Override
    public void close() {
        store.close();
    }
}
