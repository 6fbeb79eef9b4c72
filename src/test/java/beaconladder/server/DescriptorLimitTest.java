package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.server.DescriptorLimit.Use;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DescriptorLimitTest {
    @Test
    void neitherUseCanLockTheOtherOutAndTheProgramsOwnStayFree() {
        DescriptorLimit of = new DescriptorLimit(128);
        StringBuilder trace = new StringBuilder();
        trace.append(of.maxServed())
                .append(' ')
                .append(takeAll(of, Use.CLIENT))
                .append(' ')
                .append(takeAll(of, Use.SERVER))
                .append(' ')
                .append(of.acquire(Use.CLIENT));
        of.release(Use.CLIENT, 72);
        trace.append(' ').append(takeAll(of, Use.SERVER)).append(' ').append(takeAll(of, Use.CLIENT));
        assertThat(trace.toString()).isEqualTo("64 72 24 false 48 24");
    }

    @Test
    void overAnyHistoryNoMoreAreHeldThanThereAreAndEachUseGetsItsPart() {
        SplittableRandom chance = new SplittableRandom(7);
        for (int stated : new int[] {1, 40, 64, 76, 128, 256, 1024}) {
            DescriptorLimit of = new DescriptorLimit(stated);
            int whole = Math.max(4, stated - 32);
            for (int i = 0; i < 20_000; i++) {
                Use use = Use.values()[chance.nextInt(2)];
                if (chance.nextInt(3) > 0) {
                    boolean due = of.held(use) < whole / 4;
                    assertThat(of.acquire(use) || !due)
                            .as("%s has its part of %d", use, stated)
                            .isTrue();
                } else {
                    of.release(use, chance.nextInt(Math.min(4, of.held(use)) + 1));
                }
                assertThat(of.held()).isLessThanOrEqualTo(whole);
                assertThat(of.held(use)).isNotNegative();
            }
        }
    }

    @Test
    void whoWaitsGetsOneThatIsGivenBackAndNoneAfterItsTime() throws Exception {
        DescriptorLimit of = new DescriptorLimit(36);
        takeAll(of, Use.SERVER);
        long from = System.nanoTime();
        assertThat(of.acquire(Use.SERVER, from + 60_000_000)).isFalse();
        assertThat(System.nanoTime() - from).isBetween(50_000_000L, 2_000_000_000L);
        Thread giver = new Thread(() -> {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            of.release(Use.SERVER, 1);
        });
        giver.start();
        assertThat(of.acquire(Use.SERVER, System.nanoTime() + 10_000_000_000L)).isTrue();
        giver.join();
    }

    private static int takeAll(DescriptorLimit of, Use use) {
        int n = 0;
        while (of.acquire(use)) {
            n++;
        }
        return n;
    }
}
