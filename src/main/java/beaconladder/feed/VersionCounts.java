package beaconladder.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the routers that applied or rejected each version, newest version first. */
final class VersionCounts {
    private static final int APPLIED = 0;
    private static final int REJECTED = 1;

    private final TreeMap<Long, int[]> countsByVersion = new TreeMap<>(Comparator.reverseOrder());

    void add(long version, int applied, int rejected) {
        int[] counts = countsByVersion.computeIfAbsent(version, v -> new int[2]);
        counts[APPLIED] += applied;
        counts[REJECTED] += rejected;
    }

    /** Returns the counts of the newest versions, at most {@code maxVersions}. */
    List<RelayReport.Count> newest(int maxVersions) {
        List<RelayReport.Count> newest = new ArrayList<>();
        for (Map.Entry<Long, int[]> entry : countsByVersion.entrySet()) {
            if (newest.size() == maxVersions) {
                break;
            }
            newest.add(new RelayReport.Count(entry.getKey(), entry.getValue()[APPLIED], entry.getValue()[REJECTED]));
        }
        return newest;
    }

    /** Returns how many routers have applied a version that is not among the {@code maxVersions} newest. */
    int countAppliedBeyond(int maxVersions) {
        return countsByVersion.values().stream()
                .skip(maxVersions)
                .mapToInt(counts -> counts[APPLIED])
                .sum();
    }
}
