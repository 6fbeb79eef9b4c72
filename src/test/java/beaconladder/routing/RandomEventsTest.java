package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RandomEventsTest {
    /** Whatever comes in whatever order, the routing policy decides, and the same each time. */
    @Test
    void sameSeedSameDecisions() throws Exception {
        for (int seed = 1; seed <= 3; seed++) {
            RandomEvents day = new RandomEvents(seed, 40);
            String digest = day.play(8_000);
            assertThat(digest)
                    .isEqualTo(new RandomEvents(seed, 40).play(8_000))
                    .isNotEqualTo(new RandomEvents(seed + 1, 40).play(8_000));
            assertThat(day.sends).isGreaterThan(500);
            assertThat(day.probes).isGreaterThan(500);
        }
    }
}
