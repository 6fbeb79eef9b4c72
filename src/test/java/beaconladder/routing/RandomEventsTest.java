package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RandomEventsTest {
    /** The routing policy decides without an error on random events in any order, and the same in each run. */
    @Test
    void theSameSeedYieldsTheSameDecisions() throws Exception {
        for (int seed = 1; seed <= 3; seed++) {
            RandomEvents events = new RandomEvents(seed, 40);
            String digest = events.run(8_000);
            assertThat(digest)
                    .isEqualTo(new RandomEvents(seed, 40).run(8_000))
                    .isNotEqualTo(new RandomEvents(seed + 1, 40).run(8_000));
            assertThat(events.sends).isGreaterThan(500);
            assertThat(events.probes).isGreaterThan(500);
        }
    }
}
