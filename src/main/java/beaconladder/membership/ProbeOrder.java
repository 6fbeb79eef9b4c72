package beaconladder.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * SWIM's round-robin probe target selection: each member is probed once a round, and each round has a new random order,
 * which bounds the time until a failure is detected.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    /** The names that are still to be probed in this round; the last one is next. */
    private final List<String> remaining = new ArrayList<>();

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    /** Adds a new member at a random position, so that not all members probe it at the same time. */
    void insert(String name) {
        remaining.add(random.nextInt(remaining.size() + 1), name);
    }

    /** Returns the next member to probe, or null if no other member participates. */
    Member next(MemberTable table) {
        for (int round = 0; round < 2; round++) {
            while (!remaining.isEmpty()) {
                MemberEntry entry = table.get(remaining.remove(remaining.size() - 1));
                if (entry != null && entry.member().participates()) {
                    return entry.member();
                }
            }
            for (MemberEntry entry : table.entries()) {
                if (entry.member().participates()) {
                    remaining.add(entry.member().name());
                }
            }
            shuffle(remaining, random);
        }
        return null;
    }

    static void shuffle(List<?> list, SplittableRandom random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
