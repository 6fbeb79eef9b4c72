package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Acknowledgements, summed up. */
class AcknowledgementSummaryTest {
    private static final long SECOND = 1_000_000_000;

    @Test
    void onlyTheLatestAcknowledgementOfTheLatestIncarnationCounts() {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        summary.record(new Acknowledgement("a", 7, 3, 0, true), 0);
        summary.record(new Acknowledgement("a", 7, 4, 0, true), SECOND);
        summary.record(new Acknowledgement("b", 1, 4, 5, true), SECOND);
        assertThat(summary.report(5, 0, SECOND).counts())
                .containsExactly(new RelayReport.Count(5, 0, 1), new RelayReport.Count(4, 2, 0));
        summary.record(new Acknowledgement("a", 8, 5, 0, true), SECOND);
        // A word of the life before comes late.
        summary.record(new Acknowledgement("a", 7, 4, 0, true), SECOND);
        assertThat(summary.report(5, 0, SECOND).counts())
                .containsExactly(new RelayReport.Count(5, 1, 1), new RelayReport.Count(4, 1, 0));
        summary.record(new Acknowledgement("c", 1, 5, 0, false), SECOND);
        assertThat(summary.report(5, 0, SECOND).counts().get(0).applied()).isEqualTo(1);
    }

    @Test
    void aSilentRouterIsReportedAndLaterForgotten() {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        summary.record(new Acknowledgement("a", 1, 3, 0, true), 0);
        summary.record(new Acknowledgement("b", 1, 3, 0, true), 2 * SECOND);
        RelayReport report = summary.report(3, 0, 4 * SECOND);
        assertThat(report.counts()).containsExactly(new RelayReport.Count(3, 1, 0));
        assertThat(report.silent()).isEqualTo(1);
        assertThat(summary.report(3, 0, 61 * SECOND).silent()).isEqualTo(1);
        assertThat(summary.report(3, 0, 63 * SECOND).silent()).isZero();
    }

    @Test
    void aReportsSizeDoesNotDependOnTheNumberOfRouters() throws IOException {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        for (int i = 0; i < 1_000; i++) {
            summary.record(new Acknowledgement("n" + i, 1, i % 20, 0, true), 0);
        }
        RelayReport report = summary.report(20, 0, 0);
        assertThat(report.counts()).hasSize(4).allMatch(each -> each.applied() == 50);
        assertThat(report.older()).isEqualTo(800);
        assertThat(FeedJson.text(report).length()).isLessThan(400);
        assertThat(FeedJson.read(FeedJson.text(report), RelayReport.class).validated())
                .isEqualTo(report);
    }

    @Test
    void aRouterThatChangesItsRelayIsCountedOnce() {
        // It spoke to a at 0 last, a reported that at the last moment, and died; b may count it from MOVED.
        AcknowledgementSummary a = new AcknowledgementSummary();
        AcknowledgementSummary b = new AcknowledgementSummary();
        RelayReports leader = new RelayReports();
        a.record(new Acknowledgement("n", 1, 3, 0, true), 0);
        leader.record("a", a.report(3, 0, AcknowledgementSummary.SILENT_NANOS), AcknowledgementSummary.SILENT_NANOS);
        b.record(new Acknowledgement("n", 1, 4, 0, false), SECOND);
        for (long now = SECOND; now < AcknowledgementSummary.RELOCATION_NANOS; now += SECOND / 10) {
            leader.record("b", b.report(4, 0, now), now);
            assertThat(counted(leader, now)).isLessThanOrEqualTo(1);
        }
        b.record(new Acknowledgement("n", 1, 4, 0, true), AcknowledgementSummary.RELOCATION_NANOS);
        leader.record(
                "b", b.report(4, 0, AcknowledgementSummary.RELOCATION_NANOS), AcknowledgementSummary.RELOCATION_NANOS);
        assertThat(leader.summarize(VersionedState.empty(), AcknowledgementSummary.RELOCATION_NANOS)
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
        leader.record("b", new RelayReport(5, 0, List.of(new RelayReport.Count(5, 20, 0)), 0, 0), SECOND);
        RelayReports.FleetStatus sum = leader.summarize(VersionedState.of(5, Map.of("a", "b")), SECOND);
        assertThat(sum.counts()).containsExactly(new RelayReport.Count(5, 30, 1), new RelayReport.Count(4, 3, 0));
        assertThat(sum.older()).isEqualTo(2);
        assertThat(sum.relays()).extracting(RelayReports.ReceivedReport::relay).containsExactly("a", "b");
        assertThat(counted(leader, AcknowledgementSummary.REPORT_EXPIRY_NANOS + SECOND / 2))
                .isEqualTo(20);
        for (int i = 0; i < 1_000; i++) {
            leader.record("x" + i, new RelayReport(5, 0, List.of(), 0, 0), SECOND);
        }
        assertThat(leader.summarize(VersionedState.empty(), SECOND).relays()).hasSizeLessThan(65);
    }

    private static int counted(RelayReports leader, long now) {
        return leader.summarize(VersionedState.empty(), now).counts().stream()
                .mapToInt(RelayReport.Count::applied)
                .sum();
    }
}
