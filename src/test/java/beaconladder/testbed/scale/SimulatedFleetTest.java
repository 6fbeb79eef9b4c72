package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that the cost of membership does not grow too fast at four times the size, within one run. */
class SimulatedFleetTest {
    @Test
    void sameSeedGivesSameMeasurement() {
        FleetMeasurement one = FleetMeasurement.of(30, new SplittableRandom(7));
        FleetMeasurement again = FleetMeasurement.of(30, new SplittableRandom(7));
        assertThat(again.messagesPerSecond()).isEqualTo(one.messagesPerSecond());
        assertThat(again.bytesPerSecond()).isEqualTo(one.bytesPerSecond());
        assertThat(again.detectionMillis()).isEqualTo(one.detectionMillis());
        assertThat(again.zoneDetectionMillis()).isEqualTo(one.zoneDetectionMillis());
        assertThat(again.falseDeaths()).isEqualTo(one.falseDeaths());
        assertThat(FleetMeasurement.of(30, new SplittableRandom(8)).detectionMillis())
                .isNotEqualTo(one.detectionMillis());
    }

    @Test
    void trafficOfAMemberDoesNotGrowWithTheFleet() {
        FleetMeasurement small = FleetMeasurement.of(30, new SplittableRandom(1));
        FleetMeasurement large = FleetMeasurement.of(120, new SplittableRandom(1));
        assertThat(large.messagesPerSecond()).isLessThan(1.05 * small.messagesPerSecond());
        assertThat(large.bytesPerSecond()).isLessThan(1.1 * small.bytesPerSecond());
        // Grows with the logarithm of the size: 2.1 against 1.5.
        assertThat(large.detectionMillis().getValueAtPercentile(50))
                .isLessThan(2 * small.detectionMillis().getValueAtPercentile(50));
        assertThat(large.zoneDetectionMillis().getMaxValue())
                .isLessThan(5 * small.zoneDetectionMillis().getMaxValue());
    }

    @Test
    void twoPausedMembersAreConsideredDeadByNoOther() {
        for (int seed = 1; seed <= 3; seed++) {
            assertThat(FleetMeasurement.of(60, new SplittableRandom(seed)).falseDeathsOfTwo())
                    .as("seed %d", seed)
                    .isZero();
        }
    }

    @Test
    void costOfATickIsAtMostLinearInTheMembers() {
        MembershipTickCost.micros(400, 4);
        double[] small = MembershipTickCost.micros(400, 8);
        double[] large = MembershipTickCost.micros(1_600, 8);
        assertThat(large[0]).isLessThan(12 * small[0]);
        assertThat(large[1]).isLessThan(12 * small[1]);
    }
}
