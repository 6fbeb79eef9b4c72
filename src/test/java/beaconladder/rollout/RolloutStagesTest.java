package beaconladder.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.rollout.RolloutStages.RouterLocation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RolloutStagesTest {
    /**
     * Whatever the order of the list: the first stage has one router in each zone; each stage includes the previous.
     */
    @Property(tries = 200, seed = "1")
    void everyProcessComputesTheSameStagesAndEachIncludesTheOneBefore(
            @ForAll @IntRange(min = 1, max = 120) int count,
            @ForAll @IntRange(min = 1, max = 5) int zones,
            @ForAll @IntRange(min = 1, max = 1_000) int change) {
        List<RouterLocation> routers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routers.add(new RouterLocation("n" + i, "z" + i % zones));
        }
        List<RouterLocation> shuffled = new ArrayList<>(routers);
        Collections.shuffle(shuffled, new Random(change));
        Set<String> before = RolloutStages.changedRouters(routers, change, -1);
        assertThat(before).isEmpty();
        for (int stage = 0; stage < RolloutStages.STAGE_COUNT; stage++) {
            Set<String> now = RolloutStages.changedRouters(routers, change, stage);
            assertThat(now)
                    .isEqualTo(RolloutStages.changedRouters(shuffled, change, stage))
                    .containsAll(before);
            if (stage == 0) {
                assertThat(routers.stream().filter(r -> now.contains(r.name())).map(RouterLocation::zone))
                        .doesNotHaveDuplicates()
                        .hasSize(Math.min(count, zones));
            }
            before = now;
        }
        assertThat(before).hasSize(count);
    }

    @Property(tries = 20, seed = "1")
    void anotherChangeStartsWithOtherRouters(@ForAll @IntRange(min = 1, max = 1_000) int change) {
        List<RouterLocation> routers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            routers.add(new RouterLocation("n" + i, "z" + i % 3));
        }
        Set<Set<String>> first = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            first.add(RolloutStages.changedRouters(routers, change + i, 0));
        }
        assertThat(first.stream().flatMap(Set::stream).collect(Collectors.toSet()))
                .hasSizeGreaterThan(5);
    }
}
