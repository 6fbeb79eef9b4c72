package beaconladder.feed;

/** Defines how a router merges an update into the state that it holds; tests substitute faulty strategies. */
interface UpdateStrategy {
    /** Merges all changes in order, or none of them, and never an older version. */
    UpdateStrategy STRICT = new UpdateStrategy() {
        @Override
        public long requestedVersion(VersionedState held) {
            return held.version();
        }

        @Override
        public VersionedState merge(VersionedState held, Update update) throws InvalidStateException {
            if (update.version() < held.version()) {
                return held;
            }
            VersionedState next;
            if (update.base() != null && update.version() > held.version()) {
                next = update.base().validated();
            } else {
                next = held.apply(update.changes());
            }
            if (next.version() != update.version() || !next.digest().equals(update.digest())) {
                throw new InvalidStateException("the update is to version " + update.version() + " with digest "
                        + update.digest() + ", but leads to version " + next.version() + " with digest "
                        + next.digest());
            }
            return next;
        }
    };

    /** Returns the version since which the router requests changes. */
    long requestedVersion(VersionedState held);

    /**
     * Returns the state after the update; {@code held} itself if the update is older.
     *
     * @throws InvalidStateException if the update does not lead to the version and digest that it states
     */
    VersionedState merge(VersionedState held, Update update) throws InvalidStateException;
}
