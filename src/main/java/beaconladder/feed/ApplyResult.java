package beaconladder.feed;

import java.io.IOException;

/** What a router makes of what it is told. */
interface ApplyResult {
    /** The router's: whole or not at all, one version after the other, never back. */
    ApplyResult WHOLE = new ApplyResult() {
        @Override
        public long since(VersionedState held) {
            return held.version();
        }

        @Override
        public VersionedState take(VersionedState held, Update told) throws IOException {
            if (told.version() < held.version()) {
                return held;
            }
            VersionedState next = held;
            if (told.base() != null && told.version() > held.version()) {
                next = told.base().validated();
            } else {
                next = held.after(told.changes());
            }
            if (next.version() != told.version() || !next.digest().equals(told.digest())) {
                throw new IOException("told of version " + told.version() + " with digest " + told.digest()
                        + ", but what came is version " + next.version() + " with digest " + next.digest());
            }
            return next;
        }
    };

    /** Since which version the router asks. */
    long since(VersionedState held);

    /**
     * The state that it holds from now on.
     *
     * @throws IOException where what was told does not fit; then nothing of it counts
     */
    VersionedState take(VersionedState held, Update told) throws IOException;
}
