package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class GracefulShutdownTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** A request that began by the last read gets its full budget, and none expires after the process may be killed. */
    @Property(seed = "1")
    void noRequestExpiresAfterAKillMayCome(
            @ForAll @LongRange(min = 1, max = 20 * SECOND_NANOS) long maxRequestNanos,
            @ForAll @LongRange(min = 0, max = 30 * SECOND_NANOS) long delayNanos,
            @ForAll @LongRange(min = 1, max = 20 * SECOND_NANOS) long budgetNanos) {
        long requestedNanos = 1_767_225_600L * SECOND_NANOS;
        long beginNanos = requestedNanos + delayNanos;
        GracefulShutdown shutdown = new GracefulShutdown(requestedNanos, maxRequestNanos);
        long killNanos = requestedNanos + Math.max(maxRequestNanos, 3 * SECOND_NANOS) + 700_000_000L;
        assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, false)).isLessThanOrEqualTo(killNanos);
        assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, true)).isIn(beginNanos, beginNanos + budgetNanos);
        assertThat(shutdown.readDeadlineNanos() - requestedNanos).isEqualTo(700_000_000L);
        if (budgetNanos <= maxRequestNanos && delayNanos <= 700_000_000L) {
            assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, true)).isEqualTo(beginNanos + budgetNanos);
        }
    }
}
