package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A relay's summary of acknowledgements and the leader's summary of relays' reports. */
class AcknowledgementSummaryTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    @Test
    void onlyTheLatestAcknowledgementOfTheLatestIncarnationCounts() {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        summary.record(new Acknowledgement("a", 7, 3, 0, true), 0);
        summary.record(new Acknowledgement("a", 7, 4, 0, true), SECOND_NANOS);
        summary.record(new Acknowledgement("b", 1, 4, 5, true), SECOND_NANOS);
        assertThat(summary.report(5, 0, SECOND_NANOS).counts())
                .containsExactly(new RelayReport.Count(5, 0, 1), new RelayReport.Count(4, 2, 0));
        summary.record(new Acknowledgement("a", 8, 5, 0, true), SECOND_NANOS);
        // An acknowledgement of the previous incarnation arrives late.
        summary.record(new Acknowledgement("a", 7, 4, 0, true), SECOND_NANOS);
        assertThat(summary.report(5, 0, SECOND_NANOS).counts())
                .containsExactly(new RelayReport.Count(5, 1, 1), new RelayReport.Count(4, 1, 0));
        summary.record(new Acknowledgement("c", 1, 5, 0, false), SECOND_NANOS);
        assertThat(summary.report(5, 0, SECOND_NANOS).counts().get(0).applied()).isEqualTo(1);
    }

    /** Guards against sums in which a version that is applied or rejected counts as neither, by a late poll. */
    @Test
    void anAcknowledgementThatArrivesBehindANewerOneOfTheSameRunDoesNotCount() {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        summary.record(new Acknowledgement("a", 7, 4, 0, true), 0);
        summary.record(new Acknowledgement("a", 7, 3, 0, true), 0);
        summary.record(new Acknowledgement("b", 7, 3, 4, true), 0);
        summary.record(new Acknowledgement("b", 7, 3, 0, true), 0);
        assertThat(summary.report(4, 0, 0).counts())
                .containsExactly(new RelayReport.Count(4, 1, 1), new RelayReport.Count(3, 1, 0));
        summary.record(new Acknowledgement("b", 7, 5, 0, true), 0);
        assertThat(summary.report(5, 0, 0).counts())
                .containsExactly(new RelayReport.Count(5, 1, 0), new RelayReport.Count(4, 1, 0));
    }

    /** Guards against a fleet's sums that fall back to an older version, by a late report of a relay. */
    @Test
    void aRelaysReportThatArrivesBehindANewerOneDoesNotCountAndKeepsNothingAlive() {
        RelayReports leader = new RelayReports();
        leader.record("a", new RelayReport(5, 0, List.of(new RelayReport.Count(5, 10, 0)), 0, 0), 0);
        leader.record("a", new RelayReport(4, 0, List.of(new RelayReport.Count(4, 10, 0)), 0, 0), SECOND_NANOS);
        assertThat(leader.summarize(VersionedState.empty(), SECOND_NANOS).counts())
                .containsExactly(new RelayReport.Count(5, 10, 0));
        assertThat(countApplied(leader, AcknowledgementSummary.REPORT_EXPIRY_NANOS + SECOND_NANOS / 2))
                .isZero();
    }

    @Test
    void aSilentRouterIsReportedAndLaterForgotten() {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        summary.record(new Acknowledgement("a", 1, 3, 0, true), 0);
        summary.record(new Acknowledgement("b", 1, 3, 0, true), 2 * SECOND_NANOS);
        RelayReport report = summary.report(3, 0, 4 * SECOND_NANOS);
        assertThat(report.counts()).containsExactly(new RelayReport.Count(3, 1, 0));
        assertThat(report.silent()).isEqualTo(1);
        assertThat(summary.report(3, 0, 61 * SECOND_NANOS).silent()).isEqualTo(1);
        assertThat(summary.report(3, 0, 63 * SECOND_NANOS).silent()).isZero();
    }

    @Test
    void aReportsSizeDoesNotDependOnTheNumberOfRouters() throws IOException {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        for (int i = 0; i < 1_000; i++) {
            summary.record(new Acknowledgement("n" + i, 1, i % 20, 0, true), 0);
        }
        RelayReport report = summary.report(20, 0, 0);
        assertThat(report.counts()).hasSize(4).allMatch(count -> count.applied() == 50);
        assertThat(report.older()).isEqualTo(800);
        assertThat(FeedJson.text(report).length()).isLessThan(400);
        assertThat(FeedJson.read(FeedJson.text(report), RelayReport.class).validated())
                .isEqualTo(report);
    }

    @Test
    void aRouterThatChangesItsRelayIsCountedOnce() {
        // Relay a receives the router's last acknowledgement at 0, reports it as late as possible, and fails. Relay b
        // may count the router from RELAY_CHANGE_NANOS on.
        AcknowledgementSummary a = new AcknowledgementSummary();
        AcknowledgementSummary b = new AcknowledgementSummary();
        RelayReports leader = new RelayReports();
        a.record(new Acknowledgement("n", 1, 3, 0, true), 0);
        leader.record(
                "a",
                a.report(3, 0, AcknowledgementSummary.SILENCE_TIMEOUT_NANOS),
                AcknowledgementSummary.SILENCE_TIMEOUT_NANOS);
        b.record(new Acknowledgement("n", 1, 4, 0, false), SECOND_NANOS);
        for (long nowNanos = SECOND_NANOS;
                nowNanos < AcknowledgementSummary.RELAY_CHANGE_NANOS;
                nowNanos += SECOND_NANOS / 10) {
            leader.record("b", b.report(4, 0, nowNanos), nowNanos);
            assertThat(countApplied(leader, nowNanos)).isLessThanOrEqualTo(1);
        }
        b.record(new Acknowledgement("n", 1, 4, 0, true), AcknowledgementSummary.RELAY_CHANGE_NANOS);
        leader.record(
                "b",
                b.report(4, 0, AcknowledgementSummary.RELAY_CHANGE_NANOS),
                AcknowledgementSummary.RELAY_CHANGE_NANOS);
        assertThat(leader.summarize(VersionedState.empty(), AcknowledgementSummary.RELAY_CHANGE_NANOS)
                        .counts())
                .containsExactly(new RelayReport.Count(4, 1, 0));
    }

    @Test
    void theLeaderSumsUpReportsAndDropsExpiredOnes() {
        RelayReports leader = new RelayReports();
        leader.record(
                "a",
                new RelayReport(5, 0, List.of(new RelayReport.Count(5, 10, 1), new RelayReport.Count(4, 3, 0)), 2, 1),
                0);
        leader.record("b", new RelayReport(5, 0, List.of(new RelayReport.Count(5, 20, 0)), 0, 0), SECOND_NANOS);
        RelayReports.FleetStatus status = leader.summarize(VersionedState.of(5, Map.of("a", "b")), SECOND_NANOS);
        assertThat(status.counts()).containsExactly(new RelayReport.Count(5, 30, 1), new RelayReport.Count(4, 3, 0));
        assertThat(status.older()).isEqualTo(2);
        assertThat(status.relays())
                .extracting(RelayReports.ReceivedReport::relay)
                .containsExactly("a", "b");
        assertThat(countApplied(leader, AcknowledgementSummary.REPORT_EXPIRY_NANOS + SECOND_NANOS / 2))
                .isEqualTo(20);
        for (int i = 0; i < 1_000; i++) {
            leader.record("x" + i, new RelayReport(5, 0, List.of(), 0, 0), SECOND_NANOS);
        }
        assertThat(leader.summarize(VersionedState.empty(), SECOND_NANOS).relays())
                .hasSizeLessThan(65);
    }

    private static int countApplied(RelayReports leader, long nowNanos) {
        return leader.summarize(VersionedState.empty(), nowNanos).counts().stream()
                .mapToInt(RelayReport.Count::applied)
                .sum();
    }
}
