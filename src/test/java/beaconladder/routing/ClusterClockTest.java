package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import org.junit.jupiter.api.Test;

/** The estimate of the hosts' clock from the positions that they report. */
class ClusterClockTest {
    private static final long MS = 1_000_000L;
    private static final long NOW = 100_000_000 * MS;
    private static final long HOUR = 3_600_000 * MS;

    private final Group group = new Group(1);
    private final Host a = new Host(1, group, 0);
    private final Host b = new Host(2, group, 0);
    private final ClusterClock clock = new ClusterClock();

    @Test
    void aPositionAheadIsAcceptedOnceTwoHostsReportItTwice() {
        assertThat(clock.acceptPosition(a, NOW + 20 * MS, NOW)).isTrue();
        assertThat(clock.acceptPosition(a, NOW + HOUR, NOW)).isFalse();
        assertThat(clock.acceptPosition(b, NOW + HOUR - 3_000 * MS, NOW)).isFalse();
        assertThat(clock.acceptPosition(a, NOW + HOUR, NOW)).isFalse();
        assertThat(clock.hostTimeAt(NOW)).isEqualTo(NOW);
        assertThat(clock.acceptPosition(b, NOW + HOUR - 3_000 * MS, NOW)).isTrue();
        assertThat(clock.hostTimeAt(NOW))
                .as("the offset of the host furthest ahead")
                .isEqualTo(NOW + HOUR);
        assertThat(clock.routerTimeOf(NOW + HOUR)).isEqualTo(NOW);
    }

    /** A staleness bound that is taken too late makes no read stale. */
    @Test
    void aPositionOfOneHostCountsForStalenessBoundsAtOnce() {
        clock.acceptPosition(a, NOW + 5_000 * MS, NOW);
        assertThat(clock.latestHostTimeAt(NOW)).isEqualTo(NOW + 5_000 * MS);
        assertThat(clock.latestHostTimeAt(NOW + 2_001 * MS)).isEqualTo(NOW + 2_001 * MS);
        clock.acceptPosition(a, NOW + 9_000 * MS, NOW + 9_000 * MS);
        assertThat(clock.latestHostTimeAt(NOW + 9_000 * MS)).isEqualTo(NOW + 9_000 * MS);
    }

    @Test
    void corruptPositionsDoNotMoveTheClock() {
        for (int i = 0; i < 40; i++) {
            long now = NOW + 100 * i * MS;
            assertThat(clock.acceptPosition(i % 2 == 0 ? a : b, now + (1 + i * 7L % 40) * 60_000 * MS, now))
                    .isFalse();
            assertThat(clock.acceptPosition(i % 2 == 0 ? b : a, Long.MAX_VALUE, now))
                    .isFalse();
            assertThat(clock.acceptPosition(a, now, now)).isTrue();
        }
        assertThat(clock.hostTimeAt(NOW)).isEqualTo(NOW);
    }

    /** Otherwise hosts in slow start would look warm because one host has a wrong clock. */
    @Test
    void aSingleHostAheadOfTheOthersDoesNotMoveTheClock() {
        for (int i = 0; i < 40; i++) {
            long now = NOW + 100 * i * MS;
            clock.acceptPosition(a, now + HOUR, now);
            clock.acceptPosition(b, now - 20 * MS, now);
        }
        assertThat(clock.hostTimeAt(NOW)).isEqualTo(NOW);
    }

    @Test
    void withoutOtherReportsASingleHostMovesTheClockAfterSixReports() {
        for (int i = 0; i < 5; i++) {
            assertThat(clock.acceptPosition(a, NOW + HOUR, NOW)).isFalse();
        }
        assertThat(clock.acceptPosition(a, NOW + HOUR, NOW)).isTrue();
        assertThat(clock.hostTimeAt(NOW)).isEqualTo(NOW + HOUR);
    }

    @Test
    void answersEarlierThanTheirSendMoveTheClockBackAsLittleAsNeeded() {
        for (int i = 0; i < 5; i++) {
            clock.onPrimaryAnswer(i % 2 == 0 ? a : b, NOW - HOUR + 30 * MS, NOW);
        }
        assertThat(clock.hostTimeAt(NOW)).isEqualTo(NOW);
        clock.onPrimaryAnswer(b, NOW - HOUR + 400 * MS, NOW);
        assertThat(clock.hostTimeAt(NOW))
                .as("no answer is earlier than its send by the corrected clock")
                .isEqualTo(NOW - HOUR + 400 * MS);
    }

    @Test
    void earlyAnswersAmongOthersDoNotMoveTheClock() {
        for (int i = 0; i < 30; i++) {
            clock.onPrimaryAnswer(a, i % 4 == 0 ? NOW + 10 * MS : NOW - 1_000 * MS, NOW);
            clock.onPrimaryAnswer(b, NOW - 200 * MS, NOW);
        }
        assertThat(clock.hostTimeAt(NOW)).isEqualTo(NOW);
    }

    /** A clock that is ahead makes hosts in slow start look warm. */
    @Test
    void theClockIsConfirmedOnceAHostShowsThatItIsNotFarAhead() {
        assertThat(clock.isConfirmed()).isFalse();
        clock.acceptPosition(a, NOW - HOUR, NOW);
        assertThat(clock.isConfirmed())
                .as("either the replica lags or the clock is ahead")
                .isFalse();
        clock.acceptPosition(b, NOW - 400 * MS, NOW);
        assertThat(clock.isConfirmed()).isTrue();
    }

    @Test
    void aClockThatWasMovedIsConfirmed() {
        for (int i = 0; i < 6; i++) {
            assertThat(clock.isConfirmed()).isFalse();
            clock.onPrimaryAnswer(i % 2 == 0 ? a : b, NOW - HOUR, NOW);
        }
        assertThat(clock.isConfirmed()).isTrue();
    }
}
