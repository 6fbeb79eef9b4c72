package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The feed's messages as exact texts, written and read: nodes of two releases speak to each other. */
class FeedJsonTest {
    private static final State STATE = new State(3, new TreeMap<>(Map.of("b", "2", "a", "1")), "d3");
    private static final String STATE_TEXT = "{\"version\":3,\"entries\":{\"a\":\"1\",\"b\":\"2\"},\"digest\":\"d3\"}";
    private static final Change CHANGE = new Change(3, Map.of("b", "2", "a", "1"), List.of("c"), "d3");
    private static final String CHANGE_TEXT =
            "{\"version\":3,\"set\":{\"a\":\"1\",\"b\":\"2\"},\"remove\":[\"c\"],\"digest\":\"d3\"}";
    private static final Report REPORT = new Report(3, 40, List.of(new Report.Count(3, 5, 6)), 7, 8);
    private static final String REPORT_TEXT = "{\"version\":3,\"lagMillis\":40,\"counts\":"
            + "[{\"version\":3,\"applied\":5,\"refused\":6}],\"older\":7,\"silent\":8}";

    private static <T> void same(T value, Class<T> type, String text) throws IOException {
        assertThat(FeedText.text(value)).isEqualTo(text);
        assertThat(FeedText.read(text, type)).isEqualTo(value);
    }

    @Test
    void statesAndWhatIsKeptOfThem() throws IOException {
        same(STATE, State.class, STATE_TEXT);
        same(new Disk.Kept(STATE, 12), Disk.Kept.class, "{\"state\":" + STATE_TEXT + ",\"heard\":12}");
        same(
                new History(STATE, List.of(CHANGE)),
                History.class,
                "{\"newest\":" + STATE_TEXT + ",\"changes\":[" + CHANGE_TEXT + "]}");
    }

    @Test
    void theDigestIsOverVersionNamesAndTexts() {
        assertThat(State.none().digest()).isEqualTo("2c0a8a99dc147d5445c3b49d035665b2");
        assertThat(State.of(3, STATE.entries()).digest()).isEqualTo("7f8ebe5702a3a5110311cffaebd2ce94");
    }

    @Test
    void changesAndUpdates() throws IOException {
        same(CHANGE, Change.class, CHANGE_TEXT);
        same(
                new Update(3, "d3", 40, STATE, List.of()),
                Update.class,
                "{\"version\":3,\"digest\":\"d3\",\"lagMillis\":40,\"base\":" + STATE_TEXT + ",\"changes\":[]}");
        String changes = ",\"changes\":[" + CHANGE_TEXT + "]}";
        same(
                new Update(3, "d3", 0, null, List.of(CHANGE)),
                Update.class,
                "{\"version\":3,\"digest\":\"d3\",\"lagMillis\":0,\"base\":null" + changes);
        assertThatThrownBy(
                        () -> FeedText.read("{\"version\":3,\"digest\":\"d3\",\"lagMillis\":0" + changes, Update.class))
                .as("a base that is not even null")
                .isInstanceOf(IOException.class);
    }

    @Test
    void proposalsAndWhatBecameOfThem() throws IOException {
        same(
                new Proposal(2, Map.of("b", "2", "a", "1"), List.of("c")),
                Proposal.class,
                "{\"against\":2,\"set\":{\"a\":\"1\",\"b\":\"2\"},\"remove\":[\"c\"]}");
        same(
                new Written(Written.Outcome.WRITTEN, 3, "d3"),
                Written.class,
                "{\"outcome\":\"WRITTEN\",\"version\":3,\"digest\":\"d3\"}");
        same(
                new Written(Written.Outcome.OUT_OF_TURN, 3, "d3"),
                Written.class,
                "{\"outcome\":\"OUT_OF_TURN\",\"version\":3,\"digest\":\"d3\"}");
        same(
                new Written(Written.Outcome.TOO_LARGE, 3, "d3"),
                Written.class,
                "{\"outcome\":\"TOO_LARGE\",\"version\":3,\"digest\":\"d3\"}");
        assertThat(Written.Outcome.values()).hasSize(3);
    }

    @Test
    void reportsAndTheirSums() throws IOException {
        same(REPORT, Report.class, REPORT_TEXT);
        same(
                new Reports.Sum(3, "d3", 2, 4, REPORT.counts(), 7, 8, List.of(new Reports.Seen("a", 20, REPORT))),
                Reports.Sum.class,
                "{\"version\":3,\"digest\":\"d3\",\"entries\":2,\"size\":4,\"counts\":"
                        + "[{\"version\":3,\"applied\":5,\"refused\":6}],\"older\":7,\"silent\":8,"
                        + "\"relays\":[{\"relay\":\"a\",\"agoMillis\":20,\"report\":" + REPORT_TEXT + "}]}");
        same(
                new Relay.Status("a", 3, "d3", 1, 2, 4, 5, 6, 7, 8),
                Relay.Status.class,
                "{\"relay\":\"a\",\"version\":3,\"digest\":\"d3\",\"lagMillis\":1,\"connections\":2,"
                        + "\"answers\":4,\"bases\":5,\"refused\":6,\"bytesIn\":7,\"bytesOut\":8}");
    }

    @Test
    void acknowledgementsAreSummedUpAsThisReport() {
        Tally tally = new Tally();
        tally.heard(new Ack("n", 1, 3, 0, true), 0);
        tally.heard(new Ack("o", 1, 2, 3, true), 0);
        tally.heard(new Ack("p", 1, 2, 0, false), 0);
        assertThat(FeedText.text(tally.report(3, 40, 0)))
                .isEqualTo("{\"version\":3,\"lagMillis\":40,"
                        + "\"counts\":[{\"version\":3,\"applied\":1,\"refused\":1},"
                        + "{\"version\":2,\"applied\":1,\"refused\":0}],\"older\":0,\"silent\":0}");
        Reports reports = new Reports();
        reports.heard("a", REPORT, 0);
        assertThat(FeedText.text(reports.sum(STATE, 20_000_000)))
                .isEqualTo("{\"version\":3,"
                        + "\"digest\":\"d3\",\"entries\":2,\"size\":4,\"counts\":"
                        + "[{\"version\":3,\"applied\":5,\"refused\":6}],\"older\":7,\"silent\":8,"
                        + "\"relays\":[{\"relay\":\"a\",\"agoMillis\":20,\"report\":" + REPORT_TEXT + "}]}");
    }

    @Test
    void anotherNameInAMessageIsRefused() {
        assertThatThrownBy(() -> FeedText.read(STATE_TEXT.replace("entries", "settings"), State.class))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> FeedText.read(CHANGE_TEXT.replace("}", ",\"more\":1}"), Change.class))
                .isInstanceOf(IOException.class);
    }
}
