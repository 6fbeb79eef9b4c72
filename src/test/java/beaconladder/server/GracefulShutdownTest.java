package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class GracefulShutdownTest {
    private static final long SECOND = 1_000_000_000L;

    /** A request that began by the last read has its full budget; none expires after a kill may come. */
    @Property(seed = "1")
    void noRequestExpiresAfterAKillMayCome(
            @ForAll @LongRange(min = 1, max = 20 * SECOND) long maxRequest,
            @ForAll @LongRange(min = 0, max = 30 * SECOND) long delay,
            @ForAll @LongRange(min = 1, max = 20 * SECOND) long budget) {
        long requested = 1_767_225_600L * SECOND;
        long begin = requested + delay;
        GracefulShutdown shutdown = new GracefulShutdown(requested, maxRequest);
        long kill = requested + Math.max(maxRequest, 3 * SECOND) + 700_000_000L;
        assertThat(shutdown.expiryNanos(begin, budget, false)).isLessThanOrEqualTo(kill);
        assertThat(shutdown.expiryNanos(begin, budget, true)).isIn(begin, begin + budget);
        assertThat(shutdown.readDeadlineNanos() - requested).isEqualTo(700_000_000L);
        if (budget <= maxRequest && delay <= 700_000_000L) {
            assertThat(shutdown.expiryNanos(begin, budget, true)).isEqualTo(begin + budget);
        }
    }
}
