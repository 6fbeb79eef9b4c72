package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class PositionsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static double of(Map<String, Object> figures, String name) {
        return ((Number) figures.get(name)).doubleValue();
    }

    @Test
    void sameSeedGivesSameFigures() {
        assertThat(Positions.run(120, 5, 5)).isEqualTo(Positions.run(120, 5, 5)).isNotEqualTo(Positions.run(120, 6, 5));
    }

    @Test
    void noReadIsStaleAndNearlyAllAreSent() {
        for (int groups : new int[] {40, 1_933}) {
            Map<String, Object> figures = Positions.run(groups, 1, 10);
            for (String kind : new String[] {"bounded", "session", "any"}) {
                assertThat(of(figures, kind + "_reads")).as(kind).isGreaterThan(1_000);
                assertThat(of(figures, kind + "_stale")).as(kind).isZero();
                assertThat(of(figures, kind + "_never_sent")).as(kind).isLessThan(0.01);
            }
        }
    }

    /** The check for stale reads can fail: hosts that claim to be 0.4 s further than they are get believed. */
    @Test
    void readsFromHostsThatOverstateTheirPositionAreCountedAsStale() {
        Map<String, Object> figures = Positions.run(40, 1, 2, 5, 400 * NANOS_PER_MILLI);
        assertThat(of(figures, "bounded_stale")).isPositive();
        assertThat(of(figures, "session_stale")).isPositive();
    }

    /** The same statements over more groups: what is known of each group is older, and more probes are needed. */
    @Test
    void recordIsOlderWithMoreGroups() {
        Map<String, Object> few = Positions.run(40, 1, 10);
        Map<String, Object> many = Positions.run(1_933, 1, 10);
        assertThat(of(many, "any_heard_ago_at_use_ms_p50")).isGreaterThan(10 * of(few, "any_heard_ago_at_use_ms_p50"));
        assertThat(of(many, "bounded_none_fresh_by_record"))
                .isGreaterThan(10 * of(few, "bounded_none_fresh_by_record"));
        assertThat(of(many, "bounded_none_fresh_in_truth")).isZero();
        assertThat(of(many, "probes_a_txn")).isBetween(10 * of(few, "probes_a_txn"), 1.0);
    }

    /**
     * With a ninth of the hosts lost, requests that need a lost primary wait for the new one, and all others continue.
     */
    @Test
    void lostZoneAffectsWritesToItsPrimariesUntilTheFailover() {
        Map<String, Object> figures = ZoneLoss.run(120, 1);
        assertThat(figures).isEqualTo(ZoneLoss.run(120, 1));
        assertThat(of(figures, "stale")).isZero();
        assertThat(of(ZoneLoss.run(1_933, 1), "stale")).isZero();
        assertThat(of(figures, "s1_to_13_in_time")).isBetween(0.85, 0.97);
        assertThat(of(figures, "s20_to_60_in_time")).isGreaterThan(0.99);
        assertThat(of(figures, "well_again_after_s")).isBetween(10.0, 16.0);
        assertThat(of(figures, "hit_groups_any_in_time")).isGreaterThan(0.97);
        assertThat(of(figures, "hit_groups_write_in_time")).isLessThan(0.2);
    }

    @Test
    void recordIsEmptyAfterAStart() {
        assertThat(of(Positions.cold(400, 1, 5), "any_none_fresh_by_record"))
                .isGreaterThan(10 * of(Positions.run(400, 1, 5), "any_none_fresh_by_record") + 0.05);
    }
}
