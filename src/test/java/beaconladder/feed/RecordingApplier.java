package beaconladder.feed;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the applied states, and rejects states with a document named "bad". */
final class RecordingApplier implements Applier {
    private final List<VersionedState> applied = new CopyOnWriteArrayList<>();

    @Override
    public void validate(VersionedState next) throws IOException {
        if (next.entries().containsKey("bad")) {
            throw new IOException("a document is named bad");
        }
    }

    @Override
    public void apply(VersionedState next) {
        applied.add(next);
    }

    VersionedState last() {
        return applied.isEmpty() ? null : applied.get(applied.size() - 1);
    }

    List<VersionedState> applied() {
        return applied;
    }
}
