package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What one client may use of the resources of all. */
class ClientSharesTest {
    private static final long POOL_BYTES = 10_000_000;

    /** Clients that take all they may, one after the other, never exhaust a pool. */
    @Test
    void aClientThatHoldsNothingGetsSomethingHoweverManyHoldTheirShares() {
        long free = POOL_BYTES;
        for (int client = 0; client < 1_000; client++) {
            long held = 0;
            while (ClientShares.mayQueue(held, 1_000, free, POOL_BYTES)) {
                held += 1_000;
                free -= 1_000;
            }
            assertThat(held).isPositive();
            assertThat(free).isNotNegative();
        }
    }

    @Test
    void theLargestHolderIsRefusedFirst() {
        long free = POOL_BYTES / 3;
        assertThat(ClientShares.mayQueue(300_000, 1_000, free, POOL_BYTES)).isFalse();
        assertThat(ClientShares.mayKeepAnswer(300_000, 1_000, free, POOL_BYTES)).isFalse();
        assertThat(ClientShares.mayQueue(1_000, 1_000, free, POOL_BYTES)).isTrue();
        assertThat(ClientShares.mayKeepAnswer(0, 300_000, free, POOL_BYTES)).isTrue();
        assertThat(ClientShares.mayKeepAnswer(0, 4_000_000, free, POOL_BYTES)).isFalse();
    }

    @Test
    void aClientWithUnreadAnswersGetsNoFurtherRequestStarted() {
        assertThat(ClientShares.mayStartRequest(0, 0, POOL_BYTES)).isTrue();
        assertThat(ClientShares.mayStartRequest(100_000, POOL_BYTES, POOL_BYTES))
                .isTrue();
        assertThat(ClientShares.mayStartRequest(300_000, POOL_BYTES, POOL_BYTES))
                .isFalse();
        assertThat(ClientShares.mayStartRequest(100_000, POOL_BYTES / 3, POOL_BYTES))
                .isFalse();
    }

    @Test
    void threadsAreLeftForClientsThatUseNone() {
        assertThat(ClientShares.mayUseThread(0, 1)).isTrue();
        assertThat(ClientShares.mayUseThread(0, 0)).isFalse();
        assertThat(ClientShares.mayUseThread(15, 128)).isTrue();
        assertThat(ClientShares.mayUseThread(15, 64)).isFalse();
    }

    @Test
    void aTurnGetsShorterTheMoreClientsWait() {
        assertThat(ClientShares.turnNanos(10)).isLessThan(ClientShares.turnNanos(2));
        assertThat(ClientShares.turnNanos(10_000)).isPositive();
    }
}
