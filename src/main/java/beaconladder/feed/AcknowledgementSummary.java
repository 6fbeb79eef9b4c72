package beaconladder.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a relay's routers have acknowledged, by name; summed up for the log's leader, which never learns their names.
 * Times are nanoseconds of one clock.
 *
 * <p>A router is counted once although it changes relay: a relay counts it for {@link #SILENT} after its last word, the
 * leader counts a relay for {@link #REPORTED} after its last report, and a router's word to another relay, or of
 * another life, counts only {@link #MOVED} later, which is more than both together.
 */
final class AcknowledgementSummary {
    /** Three polls at rest. */
    static final long SILENT = 3_000_000_000L;
    /** Four reports at rest. */
    static final long REPORTED = 2_000_000_000L;
    /** Both, and a second for what is on its way. */
    static final long MOVED = SILENT + REPORTED + 1_000_000_000L;
    /** One that was silent for so long is no longer told of as silent: it is replaced, or elsewhere. */
    private static final long FORGOTTEN = 60_000_000_000L;
    /** A fleet of twice the size aimed at, all at one relay. */
    private static final int MOST = 8_192;
    /** So many versions are told one by one; older ones in one number. */
    private static final int TOLD = 4;

    /** A router's newest word: what is in force there, and the version that it refused last, or 0. */
    private record Word(long life, long inForce, long refused, long at) {}

    private final Map<String, Word> words = new HashMap<>();

    /** A router's word; one of an earlier life of it, or of one too many, counts for nothing. */
    synchronized void heard(Acknowledgement ack, long now) {
        Word before = words.get(ack.router());
        if (!ack.counts() || before != null && before.life() > ack.life() || before == null && words.size() >= MOST) {
            return;
        }
        words.put(ack.router(), new Word(ack.life(), ack.inForce(), ack.refused(), now));
    }

    /** The sums as of now. */
    synchronized RelayReport report(long version, long lagMillis, long now) {
        words.values().removeIf(word -> now - word.at() > FORGOTTEN);
        TreeMap<Long, int[]> counts = new TreeMap<>(java.util.Comparator.reverseOrder());
        int silent = 0;
        for (Word word : words.values()) {
            if (now - word.at() > SILENT) {
                silent++;
                continue;
            }
            counts.computeIfAbsent(word.inForce(), v -> new int[2])[0]++;
            if (word.refused() > word.inForce()) {
                counts.computeIfAbsent(word.refused(), v -> new int[2])[1]++;
            }
        }
        List<RelayReport.Count> told = new ArrayList<>();
        int older = 0;
        for (Map.Entry<Long, int[]> each : counts.entrySet()) {
            if (told.size() < TOLD) {
                told.add(new RelayReport.Count(each.getKey(), each.getValue()[0], each.getValue()[1]));
            } else {
                older += each.getValue()[0];
            }
        }
        return new RelayReport(version, lagMillis, told, older, silent);
    }
}
