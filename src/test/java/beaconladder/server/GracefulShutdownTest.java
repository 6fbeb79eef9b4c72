package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class GracefulShutdownTest {
    private static final long S = 1_000_000_000L;

    /** Whatever was taken by the last look has the whole of its time; nothing ends after a kill may come. */
    @Property(seed = "1")
    void nothingEndsAfterAKillMayCome(
            @ForAll @LongRange(min = 1, max = 20 * S) long longest,
            @ForAll @LongRange(min = 0, max = 30 * S) long begins,
            @ForAll @LongRange(min = 1, max = 20 * S) long budget) {
        long told = 1_767_225_600L * S;
        GracefulShutdown drain = new GracefulShutdown(told, longest);
        long kill = told + Math.max(longest, 3 * S) + 700_000_000L;
        assertThat(drain.expiryNanos(told + begins, budget, false)).isLessThanOrEqualTo(kill);
        assertThat(drain.expiryNanos(told + begins, budget, true)).isIn(told + begins, told + begins + budget);
        assertThat(drain.readDeadlineNanos() - told).isEqualTo(700_000_000L);
        if (budget <= longest && begins <= 700_000_000L) {
            assertThat(drain.expiryNanos(told + begins, budget, true)).isEqualTo(told + begins + budget);
        }
    }
}
