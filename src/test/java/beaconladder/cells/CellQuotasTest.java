package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.CellQuotas.Answer;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CellQuotasTest {
    private static final long MS = 1_000_000;

    @Test
    void aFloodTakesWhatOthersDoNotUseButNeverTheirFirst() {
        CellQuotas shares = new CellQuotas(100, 0.25, 0.25, 0.25, 0.25);
        int taken = 0;
        while (shares.take(0, "flood", 1, 1, 1, 0) == Answer.TAKEN) {
            taken++;
        }
        // A quarter of each other cell's own is never lent: 100 less three times seven; of the 79 that are
        // left a
        // quarter is kept for the other tenants of the cell.
        assertThat(taken).isEqualTo(59);
        for (int i = 0; i < 7; i++) {
            assertThat(shares.take(1, "usual", 1, 1, 1, 1)).isEqualTo(Answer.TAKEN);
        }
    }

    @Test
    void loansEndWhenTheLenderComesBack() {
        CellQuotas shares = new CellQuotas(100, 0.5, 0.5);
        for (int i = 0; i < 20; i++) {
            assertThat(shares.take(1, "usual", 1, 1, 1, 0)).isEqualTo(Answer.TAKEN);
        }
        // What was used lately is kept twice over: only 50 of the second cell's own are spoken for.
        int taken = 0;
        while (shares.take(0, "flood", 1, 1, 1, 0) == Answer.TAKEN) {
            taken++;
        }
        assertThat(taken).isEqualTo(50);
        assertThat(shares.borrows(0)).isFalse();
        for (int i = 0; i < 20; i++) {
            shares.give(1, "usual", 1);
        }
        // Two windows later nothing tells of them any more.
        long later = 3_000 * MS;
        while (shares.take(0, "flood", 1, 1, 1, later) == Answer.TAKEN) {
            taken++;
        }
        assertThat(taken).isEqualTo(65);
        assertThat(shares.borrows(0)).isTrue();
        shares.give(0, "flood", 1);
        assertThat(shares.take(1, "usual", 1, 1, 1, later)).isEqualTo(Answer.TAKEN);
        // While the other is back, what the flood gives up is not its to take again.
        shares.give(0, "flood", 1);
        assertThat(shares.take(0, "flood", 1, 1, 1, later)).isEqualTo(Answer.TENANT_FULL);
    }

    @Test
    void oneOfManyTenantsIsNeverMostOfItsCell() {
        CellQuotas shares = new CellQuotas(100, 1.0);
        int taken = 0;
        while (shares.take(0, "flood", 0.2, 1, 1, 0) == Answer.TAKEN) {
            taken++;
        }
        assertThat(taken).isEqualTo(50);
        for (int i = 0; i < 20; i++) {
            assertThat(shares.take(0, "other", 0.2, 1, 1, 0)).isEqualTo(Answer.TAKEN);
        }
    }

    @Test
    void theLastPartIsForWhatIsWorthMore() {
        CellQuotas shares = new CellQuotas(100, 0.5, 0.5);
        for (int i = 0; i < 200; i++) {
            if (shares.take(0, "t", 1, 1, 3, 0) == Answer.TAKEN) {
                shares.give(0, "t", 1);
            }
        }
        CellQuotas.Answer last = Answer.TAKEN;
        while (last == Answer.TAKEN) {
            last = shares.take(0, "t", 1, 1, 1, 0);
        }
        assertThat(last).isNotEqualTo(Answer.TAKEN);
        assertThat(shares.take(0, "t", 1, 1, 3, 0)).isEqualTo(Answer.TAKEN);
    }

    /** Whatever comes and goes: never more than there is, and all is free at the end. */
    @Test
    void noOrderOfTakingAndGivingLosesAny() {
        SplittableRandom chance = new SplittableRandom(5);
        CellQuotas shares = new CellQuotas(64, 0.1, 0.2, 0.3, 0.4);
        int[][] held = new int[4][5];
        int all = 0;
        for (int step = 0; step < 200_000; step++) {
            int cell = chance.nextInt(4);
            int tenant = chance.nextInt(5);
            long now = step * MS;
            if (chance.nextBoolean()) {
                if (shares.take(cell, cell + "/" + tenant, 0.3, 1, chance.nextInt(3), now) == Answer.TAKEN) {
                    held[cell][tenant]++;
                    all++;
                }
            } else if (held[cell][tenant] > 0) {
                shares.give(cell, cell + "/" + tenant, 1);
                held[cell][tenant]--;
                all--;
            }
            assertThat(all).isLessThanOrEqualTo(64);
            assertThat(shares.used(cell))
                    .isEqualTo(java.util.Arrays.stream(held[cell]).sum());
        }
    }
}
