package beaconladder.feed;

import java.io.IOException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Installs versions in a router, and holds which version was received, applied and rejected, in memory and on disk.
 * Only the subscriber's thread installs versions; {@link #appliedVersion} may be called by any thread.
 */
final class VersionInstaller implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(VersionInstaller.class);

    private final String router;
    private final Applier applier;
    private final StateStore store;
    /** The newest state received: the applied one or a newer one that was rejected. */
    private VersionedState held;

    private long appliedVersion;
    private long rejectedVersion;

    /** Opens the folder as {@link StateStore#StateStore} does. */
    VersionInstaller(String router, Path folder, Applier applier) throws IOException {
        this.router = router;
        this.applier = applier;
        store = new StateStore(folder);
        held = store.stored().state();
    }

    /** Returns the newest state received; only for the installing thread. */
    VersionedState held() {
        return held;
    }

    /** Returns the version that is applied; 0 for none. */
    synchronized long appliedVersion() {
        return appliedVersion;
    }

    /** Returns the last rejected version, or 0 if one was applied since; only for the installing thread. */
    long rejectedVersion() {
        return rejectedVersion;
    }

    /** Returns the state on the disk. */
    VersionedState stored() {
        return store.stored().state();
    }

    /** Retries to restore the state that a rejected version has replaced on the disk. */
    void retryRestore() {
        store.retryRestore();
    }

    /** Applies or rejects a version; returns false if it was neither, as it could not be stored yet. */
    synchronized boolean install(VersionedState next) {
        if (next.version() == rejectedVersion || next.version() == held.version() && appliedVersion == held.version()) {
            return true;
        }
        StateStore.Snapshot previous = store.stored();
        try {
            applier.validate(next);
        } catch (IOException e) {
            reject(next, e);
            return true;
        }
        try {
            // Stored before it is applied: after a kill the router must not restart with an older version than it
            // applied.
            store.save(next, System.currentTimeMillis());
        } catch (IOException e) {
            // A full or failing disk is not a reason to reject the version.
            LOG.warn(
                    "{}: version {} can't be stored yet, version {} remains applied: {}",
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
            store.restore(previous);
            reject(next, e);
        }
        return true;
    }

    private void reject(VersionedState next, IOException reason) {
        LOG.warn(
                "{}: version {} is rejected, version {} remains applied: {}",
                router,
                next.version(),
                appliedVersion,
                reason.getMessage());
        rejectedVersion = next.version();
        held = next;
    }

    /** Applies the stored state on a start while no relay responds, until a relay has a newer one. */
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
            LOG.info("{}: no relay responds; version {} is applied from the disk", router, appliedVersion);
        } catch (IOException e) {
            LOG.warn("{}: version {} on the disk is rejected: {}", router, held.version(), e.getMessage());
            rejectedVersion = held.version();
        }
    }

    @Override
    public void close() {
        store.close();
    }
}
