package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Exact texts of the feed's messages, written and read: processes of two releases have to work together. */
class FeedJsonTest {
    private static final VersionedState STATE = new VersionedState(3, new TreeMap<>(Map.of("b", "2", "a", "1")), "d3");
    private static final String STATE_TEXT = "{\"version\":3,\"entries\":{\"a\":\"1\",\"b\":\"2\"},\"digest\":\"d3\"}";
    private static final Change CHANGE = new Change(3, Map.of("b", "2", "a", "1"), List.of("c"), "d3");
    private static final String CHANGE_TEXT =
            "{\"version\":3,\"set\":{\"a\":\"1\",\"b\":\"2\"},\"remove\":[\"c\"],\"digest\":\"d3\"}";
    private static final RelayReport REPORT = new RelayReport(3, 40, List.of(new RelayReport.Count(3, 5, 6)), 7, 8);
    private static final String REPORT_TEXT = "{\"version\":3,\"lagMillis\":40,\"counts\":"
            + "[{\"version\":3,\"applied\":5,\"refused\":6}],\"older\":7,\"silent\":8}";

    private static <T> void assertRoundTrip(T value, Class<T> type, String text) throws IOException {
        assertThat(FeedJson.text(value)).isEqualTo(text);
        assertThat(FeedJson.read(text, type)).isEqualTo(value);
    }

    @Test
    void statesAndStoredStates() throws IOException {
        assertRoundTrip(STATE, VersionedState.class, STATE_TEXT);
        assertRoundTrip(
                new StateStore.Snapshot(STATE, 12),
                StateStore.Snapshot.class,
                "{\"state\":" + STATE_TEXT + ",\"heard\":12}");
        assertRoundTrip(
                new VersionHistory(STATE, List.of(CHANGE)),
                VersionHistory.class,
                "{\"newest\":" + STATE_TEXT + ",\"changes\":[" + CHANGE_TEXT + "]}");
    }

    @Test
    void theDigestIsOverVersionNamesAndTexts() {
        assertThat(VersionedState.empty().digest()).isEqualTo("2c0a8a99dc147d5445c3b49d035665b2");
        assertThat(VersionedState.of(3, STATE.entries()).digest()).isEqualTo("7f8ebe5702a3a5110311cffaebd2ce94");
    }

    @Test
    void changesAndUpdates() throws IOException {
        assertRoundTrip(CHANGE, Change.class, CHANGE_TEXT);
        assertRoundTrip(
                new Update(3, "d3", 40, STATE, List.of()),
                Update.class,
                "{\"version\":3,\"digest\":\"d3\",\"lagMillis\":40,\"base\":" + STATE_TEXT + ",\"changes\":[]}");
        String changes = ",\"changes\":[" + CHANGE_TEXT + "]}";
        assertRoundTrip(
                new Update(3, "d3", 0, null, List.of(CHANGE)),
                Update.class,
                "{\"version\":3,\"digest\":\"d3\",\"lagMillis\":0,\"base\":null" + changes);
        assertThatThrownBy(
                        () -> FeedJson.read("{\"version\":3,\"digest\":\"d3\",\"lagMillis\":0" + changes, Update.class))
                .as("an update without a base, not even null")
                .isInstanceOf(IOException.class);
    }

    @Test
    void proposalsAndCommitResults() throws IOException {
        assertRoundTrip(
                new Proposal(2, Map.of("b", "2", "a", "1"), List.of("c")),
                Proposal.class,
                "{\"against\":2,\"set\":{\"a\":\"1\",\"b\":\"2\"},\"remove\":[\"c\"]}");
        assertRoundTrip(
                new CommitResult(CommitResult.Outcome.COMMITTED, 3, "d3"),
                CommitResult.class,
                "{\"outcome\":\"WRITTEN\",\"version\":3,\"digest\":\"d3\"}");
        assertRoundTrip(
                new CommitResult(CommitResult.Outcome.VERSION_CONFLICT, 3, "d3"),
                CommitResult.class,
                "{\"outcome\":\"OUT_OF_TURN\",\"version\":3,\"digest\":\"d3\"}");
        assertRoundTrip(
                new CommitResult(CommitResult.Outcome.TOO_LARGE, 3, "d3"),
                CommitResult.class,
                "{\"outcome\":\"TOO_LARGE\",\"version\":3,\"digest\":\"d3\"}");
        assertThat(CommitResult.Outcome.values()).hasSize(3);
    }

    @Test
    void reportsAndTheirSummary() throws IOException {
        assertRoundTrip(REPORT, RelayReport.class, REPORT_TEXT);
        assertRoundTrip(
                new RelayReports.FleetStatus(
                        3,
                        "d3",
                        2,
                        4,
                        REPORT.counts(),
                        7,
                        8,
                        List.of(new RelayReports.ReceivedReport("a", 20, REPORT))),
                RelayReports.FleetStatus.class,
                "{\"version\":3,\"digest\":\"d3\",\"entries\":2,\"size\":4,\"counts\":"
                        + "[{\"version\":3,\"applied\":5,\"refused\":6}],\"older\":7,\"silent\":8,"
                        + "\"relays\":[{\"relay\":\"a\",\"agoMillis\":20,\"report\":" + REPORT_TEXT + "}]}");
        assertRoundTrip(
                new Relay.Status("a", 3, "d3", 1, 2, 4, 5, 6, 7, 8),
                Relay.Status.class,
                "{\"relay\":\"a\",\"version\":3,\"digest\":\"d3\",\"lagMillis\":1,\"connections\":2,"
                        + "\"answers\":4,\"bases\":5,\"refused\":6,\"bytesIn\":7,\"bytesOut\":8}");
    }

    @Test
    void acknowledgementsAreSummedUpAsThisReport() {
        AcknowledgementSummary summary = new AcknowledgementSummary();
        summary.record(new Acknowledgement("n", 1, 3, 0, true), 0);
        summary.record(new Acknowledgement("o", 1, 2, 3, true), 0);
        summary.record(new Acknowledgement("p", 1, 2, 0, false), 0);
        assertThat(FeedJson.text(summary.report(3, 40, 0)))
                .isEqualTo("{\"version\":3,\"lagMillis\":40,"
                        + "\"counts\":[{\"version\":3,\"applied\":1,\"refused\":1},"
                        + "{\"version\":2,\"applied\":1,\"refused\":0}],\"older\":0,\"silent\":0}");
        RelayReports reports = new RelayReports();
        reports.record("a", REPORT, 0);
        assertThat(FeedJson.text(reports.summarize(STATE, 20_000_000)))
                .isEqualTo("{\"version\":3,"
                        + "\"digest\":\"d3\",\"entries\":2,\"size\":4,\"counts\":"
                        + "[{\"version\":3,\"applied\":5,\"refused\":6}],\"older\":7,\"silent\":8,"
                        + "\"relays\":[{\"relay\":\"a\",\"agoMillis\":20,\"report\":" + REPORT_TEXT + "}]}");
    }

    @Test
    void unknownNamesInAMessageAreRejected() {
        assertThatThrownBy(() -> FeedJson.read(STATE_TEXT.replace("entries", "settings"), VersionedState.class))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> FeedJson.read(CHANGE_TEXT.replace("}", ",\"more\":1}"), Change.class))
                .isInstanceOf(IOException.class);
    }
}
