package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What membership costs at four times the size, within one run. */
class SimulatedFleetTest {
    @Test
    void theSameSeedGivesTheSameFleet() {
        FleetMeasurement one = FleetMeasurement.of(30, new SplittableRandom(7));
        FleetMeasurement again = FleetMeasurement.of(30, new SplittableRandom(7));
        assertThat(again.messages()).isEqualTo(one.messages());
        assertThat(again.bytes()).isEqualTo(one.bytes());
        assertThat(again.known()).isEqualTo(one.known());
        assertThat(again.zone()).isEqualTo(one.zone());
        assertThat(again.buried()).isEqualTo(one.buried());
        assertThat(FleetMeasurement.of(30, new SplittableRandom(8)).known()).isNotEqualTo(one.known());
    }

    @Test
    void aMemberSaysNoMoreInAFleetFourTimesAsLarge() {
        FleetMeasurement small = FleetMeasurement.of(30, new SplittableRandom(1));
        FleetMeasurement large = FleetMeasurement.of(120, new SplittableRandom(1));
        assertThat(large.messages()).isLessThan(1.05 * small.messages());
        assertThat(large.bytes()).isLessThan(1.1 * small.bytes());
        // By the logarithm of the size: 2.1 and 1.5.
        assertThat(large.known().getValueAtPercentile(50))
                .isLessThan(2 * small.known().getValueAtPercentile(50));
        assertThat(large.zone().getMaxValue()).isLessThan(5 * small.zone().getMaxValue());
    }

    @Test
    void twoPausedAloneAreHeldForDeadByNobody() {
        for (int seed = 1; seed <= 3; seed++) {
            assertThat(FleetMeasurement.of(60, new SplittableRandom(seed)).buriedFew())
                    .as("seed %d", seed)
                    .isZero();
        }
    }

    @Test
    void aLookCostsByTheNumberOfMembersAndNoMore() {
        MembershipTickCost.micros(400, 4);
        double[] small = MembershipTickCost.micros(400, 8);
        double[] large = MembershipTickCost.micros(1_600, 8);
        assertThat(large[0]).isLessThan(12 * small[0]);
        assertThat(large[1]).isLessThan(12 * small[1]);
    }
}
