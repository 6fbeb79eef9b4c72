package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class GracefulShutdownTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * A request that began by the last read gets its full budget, and a later one does not expire after the process may
     * be killed. Guards against a process that counts on three seconds where the longest deadline is shorter.
     */
    @Property(seed = "1")
    void noRequestExpiresAfterAKillMayCome(
            @ForAll @LongRange(min = 1, max = 20 * SECOND_NANOS) long maxRequestNanos,
            @ForAll @LongRange(min = 0, max = 30 * SECOND_NANOS) long delayNanos,
            @ForAll @LongRange(min = 1, max = 20 * SECOND_NANOS) long budgetNanos) {
        long requestedNanos = 1_767_225_600L * SECOND_NANOS;
        long beginNanos = requestedNanos + delayNanos;
        GracefulShutdown shutdown = new GracefulShutdown(requestedNanos, maxRequestNanos);
        assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, false))
                .isLessThanOrEqualTo(requestedNanos + Math.max(maxRequestNanos, 3 * SECOND_NANOS) + 700_000_000L);
        long killNanos = requestedNanos + Math.min(maxRequestNanos, 3 * SECOND_NANOS) + 700_000_000L;
        if (delayNanos > 700_000_000L) {
            long begunInTimeNanos = Math.max(beginNanos, killNanos);
            assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, false)).isLessThanOrEqualTo(killNanos);
            assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, true)).isLessThanOrEqualTo(begunInTimeNanos);
        }
        assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, true)).isIn(beginNanos, beginNanos + budgetNanos);
        assertThat(shutdown.readDeadlineNanos() - requestedNanos).isEqualTo(700_000_000L);
        if (budgetNanos <= maxRequestNanos && delayNanos <= 700_000_000L) {
            assertThat(shutdown.expiryNanos(beginNanos, budgetNanos, true)).isEqualTo(beginNanos + budgetNanos);
        }
    }
}
