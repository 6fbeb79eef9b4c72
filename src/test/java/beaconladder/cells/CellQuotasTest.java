package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.CellQuotas.Result;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CellQuotasTest {
    private static final long MS = 1_000_000;

    @Test
    void oneTenantMayBorrowWhatOthersDoNotUseExceptTheirReserve() {
        CellQuotas quotas = new CellQuotas(100, 0.25, 0.25, 0.25, 0.25);
        int acquired = 0;
        while (quotas.tryAcquire(0, "flood", 1, 1, 1, 0) == Result.ACQUIRED) {
            acquired++;
        }
        // A quarter of each other cell's quota is never lent: 100 - 3 * 7 = 79. A quarter of that is reserved for the
        // other tenants of the cell.
        assertThat(acquired).isEqualTo(59);
        for (int i = 0; i < 7; i++) {
            assertThat(quotas.tryAcquire(1, "usual", 1, 1, 1, 1)).isEqualTo(Result.ACQUIRED);
        }
    }

    @Test
    void loansEndWhenTheLenderNeedsItsQuotaAgain() {
        CellQuotas quotas = new CellQuotas(100, 0.5, 0.5);
        for (int i = 0; i < 20; i++) {
            assertThat(quotas.tryAcquire(1, "usual", 1, 1, 1, 0)).isEqualTo(Result.ACQUIRED);
        }
        // Twice the recent use and the reserve are kept: with 20 used, that is the second cell's whole quota of 50.
        int acquired = 0;
        while (quotas.tryAcquire(0, "flood", 1, 1, 1, 0) == Result.ACQUIRED) {
            acquired++;
        }
        assertThat(acquired).isEqualTo(50);
        assertThat(quotas.isBorrowing(0)).isFalse();
        for (int i = 0; i < 20; i++) {
            quotas.release(1, "usual", 1);
        }
        // Two windows later the released amounts no longer count as recent use.
        long later = 3_000 * MS;
        while (quotas.tryAcquire(0, "flood", 1, 1, 1, later) == Result.ACQUIRED) {
            acquired++;
        }
        assertThat(acquired).isEqualTo(65);
        assertThat(quotas.isBorrowing(0)).isTrue();
        quotas.release(0, "flood", 1);
        assertThat(quotas.tryAcquire(1, "usual", 1, 1, 1, later)).isEqualTo(Result.ACQUIRED);
        // While the lender uses its quota, the borrower can't acquire again what it releases.
        quotas.release(0, "flood", 1);
        assertThat(quotas.tryAcquire(0, "flood", 1, 1, 1, later)).isEqualTo(Result.TENANT_LIMIT);
    }

    @Test
    void oneOfManyTenantsNeverGetsMoreThanHalfOfItsCell() {
        CellQuotas quotas = new CellQuotas(100, 1.0);
        int acquired = 0;
        while (quotas.tryAcquire(0, "flood", 0.2, 1, 1, 0) == Result.ACQUIRED) {
            acquired++;
        }
        assertThat(acquired).isEqualTo(50);
        for (int i = 0; i < 20; i++) {
            assertThat(quotas.tryAcquire(0, "other", 0.2, 1, 1, 0)).isEqualTo(Result.ACQUIRED);
        }
    }

    @Test
    void theLastTenthIsForRequestsOfUsualValueOrMore() {
        CellQuotas quotas = new CellQuotas(100, 0.5, 0.5);
        for (int i = 0; i < 200; i++) {
            if (quotas.tryAcquire(0, "t", 1, 1, 3, 0) == Result.ACQUIRED) {
                quotas.release(0, "t", 1);
            }
        }
        CellQuotas.Result lastResult = Result.ACQUIRED;
        while (lastResult == Result.ACQUIRED) {
            lastResult = quotas.tryAcquire(0, "t", 1, 1, 1, 0);
        }
        assertThat(lastResult).isNotEqualTo(Result.ACQUIRED);
        assertThat(quotas.tryAcquire(0, "t", 1, 1, 3, 0)).isEqualTo(Result.ACQUIRED);
    }

    /** Random acquisitions and releases never exceed the capacity, and the counts match at each step. */
    @Test
    void noOrderOfAcquiringAndReleasingLosesCapacity() {
        SplittableRandom random = new SplittableRandom(5);
        CellQuotas quotas = new CellQuotas(64, 0.1, 0.2, 0.3, 0.4);
        int[][] held = new int[4][5];
        int totalHeld = 0;
        for (int step = 0; step < 200_000; step++) {
            int cell = random.nextInt(4);
            int tenant = random.nextInt(5);
            long nowNanos = step * MS;
            if (random.nextBoolean()) {
                if (quotas.tryAcquire(cell, cell + "/" + tenant, 0.3, 1, random.nextInt(3), nowNanos)
                        == Result.ACQUIRED) {
                    held[cell][tenant]++;
                    totalHeld++;
                }
            } else if (held[cell][tenant] > 0) {
                quotas.release(cell, cell + "/" + tenant, 1);
                held[cell][tenant]--;
                totalHeld--;
            }
            assertThat(totalHeld).isLessThanOrEqualTo(64);
            assertThat(quotas.used(cell))
                    .isEqualTo(java.util.Arrays.stream(held[cell]).sum());
        }
    }
}
