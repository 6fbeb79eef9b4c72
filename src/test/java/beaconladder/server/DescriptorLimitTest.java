package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.server.DescriptorLimit.Use;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DescriptorLimitTest {
    @Test
    void neitherUseCanStarveTheOtherAndTheReserveOfTheProcessStaysFree() {
        DescriptorLimit limit = new DescriptorLimit(128);
        StringBuilder trace = new StringBuilder();
        trace.append(limit.maxServed())
                .append(' ')
                .append(acquireAll(limit, Use.CLIENT))
                .append(' ')
                .append(acquireAll(limit, Use.SERVER))
                .append(' ')
                .append(limit.acquire(Use.CLIENT));
        limit.release(Use.CLIENT, 72);
        trace.append(' ').append(acquireAll(limit, Use.SERVER)).append(' ').append(acquireAll(limit, Use.CLIENT));
        assertThat(trace.toString()).isEqualTo("64 72 24 false 48 24");
    }

    @Test
    void afterAnySequenceTheLimitHoldsAndEachUseGetsItsMinimum() {
        SplittableRandom random = new SplittableRandom(7);
        for (int maxDescriptors : new int[] {1, 40, 64, 76, 128, 256, 1024}) {
            DescriptorLimit limit = new DescriptorLimit(maxDescriptors);
            int total = Math.max(4, maxDescriptors - 32);
            for (int i = 0; i < 20_000; i++) {
                Use use = Use.values()[random.nextInt(2)];
                if (random.nextInt(3) > 0) {
                    boolean due = limit.held(use) < total / 4;
                    assertThat(limit.acquire(use) || !due)
                            .as("%s has its minimum of %d", use, maxDescriptors)
                            .isTrue();
                } else {
                    limit.release(use, random.nextInt(Math.min(4, limit.held(use)) + 1));
                }
                assertThat(limit.held()).isLessThanOrEqualTo(total);
                assertThat(limit.held(use)).isNotNegative();
            }
        }
    }

    @Test
    void aWaiterGetsAReleasedDescriptorAndNoneAfterItsDeadline() throws Exception {
        DescriptorLimit limit = new DescriptorLimit(36);
        acquireAll(limit, Use.SERVER);
        long startNanos = System.nanoTime();
        assertThat(limit.acquire(Use.SERVER, startNanos + 60_000_000)).isFalse();
        assertThat(System.nanoTime() - startNanos).isBetween(50_000_000L, 2_000_000_000L);
        Thread releaser = new Thread(() -> {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            limit.release(Use.SERVER, 1);
        });
        releaser.start();
        assertThat(limit.acquire(Use.SERVER, System.nanoTime() + 10_000_000_000L))
                .isTrue();
        releaser.join();
    }

    private static int acquireAll(DescriptorLimit limit, Use use) {
        int count = 0;
        while (limit.acquire(use)) {
            count++;
        }
        return count;
    }
}
