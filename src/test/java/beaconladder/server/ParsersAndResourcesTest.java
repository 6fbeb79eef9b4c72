package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import beaconladder.discovery.EndpointWatch;
import beaconladder.discovery.JsonReader;
import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.ReadableByteChannel;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The parsers at the door: figures stay exact, and what can't be read is said so. */
class ParsersAndResourcesTest {

    /** One object of settings, in the form of the sockets and in the drill's. */
    @Test
    void nestedSettingsBecomeTheDrillsFlatLines() throws Exception {
        Map<String, String> flat = new LinkedHashMap<>();
        JsonReader.flatten("", JsonReader.parse("""
                {"clients":{"marks_retry":true},"family_info":{"freshness":["recent","update"],
                 "notes":"position in ms, plus 1","position_zero_us":281993321636},
                 "fees":{"probe":0.069,"waste":0.0},"kinds":["std-3c"],
                 "request_classes":[{"effect":"pure","give_up_us":2000000,"name":"cab-board","points":1.0,
                 "stream":false},{"effect":"side_effect","name":"trip\\u002dbook","points":3.0}],
                 "my_number":0,"nothing":null,"empty":[]}"""), flat);
        Map<String, String> drill = new TreeMap<>();
        """
                clients.marks_retry=true
                empty=
                family_info.freshness=recent,update
                family_info.notes=position_in_ms__plus_1
                family_info.position_zero_us=281993321636
                fees.probe=0.069
                fees.waste=0.0
                kinds=std-3c
                my_number=0
                request_classes.count=2
                request_classes.0.effect=pure
                request_classes.0.give_up_us=2000000
                request_classes.0.name=cab-board
                request_classes.0.points=1.0
                request_classes.0.stream=false
                request_classes.1.effect=side_effect
                request_classes.1.name=trip-book
                request_classes.1.points=3.0
                """.lines().forEach(line -> drill.put(line.split("=")[0], line.substring(line.indexOf('=') + 1)));
        assertThat(new TreeMap<>(flat)).isEqualTo(drill);
    }

    @Test
    void positionsStayExactAndAreRoundedDownOnly() {
        StringBuilder trace = new StringBuilder();
        for (String position : new String[] {"1767225600123", "1767225600123.9999999", "0", "-3", "1e30", "x", ""}) {
            long nanos = LoadReportParser.parsePositionNanos(position, 6);
            trace.append(position)
                    .append(" ms: ")
                    .append(nanos == HostReport.NO_POSITION ? "none" : nanos)
                    .append('\n');
        }
        for (String load : new String[] {
            "x0=1767225600.123456789,x1=1,inflight=7",
            "x0=1767225600.1239999999,x1=0",
            "inflight=7,util=0.61",
            "rif=2.5",
            "x0=NaN,x1=none,inflight=-1",
            "inflight=1e9",
            "nonsense",
            ""
        }) {
            HostReport word = LoadReportParser.parse(load);
            trace.append(load)
                    .append(": ")
                    .append(word.role())
                    .append(' ')
                    .append(word.position() == HostReport.NO_POSITION ? "none" : word.position())
                    .append(' ')
                    .append(word.inFlight())
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo("""
                1767225600123 ms: 1767225600123000000
                1767225600123.9999999 ms: 1767225600123999999
                0 ms: none
                -3 ms: none
                1e30 ms: none
                x ms: none
                 ms: none
                x0=1767225600.123456789,x1=1,inflight=7: PRIMARY 1767225600123456789 7.0
                x0=1767225600.1239999999,x1=0: REPLICA 1767225600123999999 -1.0
                inflight=7,util=0.61: UNKNOWN none 7.0
                rif=2.5: UNKNOWN none 2.5
                x0=NaN,x1=none,inflight=-1: UNKNOWN none -1.0
                inflight=1e9: UNKNOWN none -1.0
                nonsense: UNKNOWN none -1.0
                : UNKNOWN none -1.0
                """);
    }

    /** Seen: 28 s and all of the heap for the eleven characters of one number, of a client or of a spoilt answer. */
    @Test
    void aNumberWithALongExponentIsReadAtOnce() {
        for (String number : new String[] {
            "1e5000000",
            "1e50000000",
            "1e500000000",
            "1e2147483640",
            "1e-2147483640",
            "-1e50000000",
            "1" + "0".repeat(200_000),
            "0." + "0".repeat(200_000) + "1"
        }) {
            assertTimeoutPreemptively(
                    Duration.ofSeconds(2),
                    () -> {
                        assertThat(LoadReportParser.parsePositionNanos(number, 6))
                                .isEqualTo(HostReport.NO_POSITION);
                        assertThat(LoadReportParser.parse("x0=" + number + ",x1=1"))
                                .isEqualTo(HostReport.EMPTY);
                    },
                    () -> number.substring(0, Math.min(20, number.length())));
        }
    }

    @Test
    void onlyTheTimeToWaitChangesInAStatementThatIsPassedOn() {
        String text = "SELECT doc FROM items WHERE id = 'it/d=1,/' " + "/* id=9,c=x , d=480,cluster=2,after=5,k=z */ ";
        Statement statement = Statement.parse(text);
        assertThat(statement.parseError()).isNull();
        assertThat(statement.parameter("id") + statement.parameter("c") + statement.parameter("k"))
                .isEqualTo("9xz");
        assertThat(statement.withDelayMillis(7)).isEqualTo(text.replace(" d=480,", " d=7,"));
        assertThat(Statement.parse(text.replace("9,c", "8,c")).sessionId()).isEqualTo(statement.sessionId());
        assertThat(Statement.parse(text.replace("it", "is")).sessionId()).isNotEqualTo(statement.sessionId());
    }

    /** The place, at which a file is to be mended; the words are the parser's. */
    @Test
    void badJsonIsNamedWithItsPlace() {
        StringBuilder trace = new StringBuilder();
        for (String text : new String[] {
            "",
            "{",
            "{\"a\" 1}",
            "[1,]",
            "[1",
            "tru",
            "\"a",
            "\"\\x\"",
            "1e999999999",
            "01x",
            "{} {}",
            "[".repeat(100_000),
            "\"\\u00zz\"",
            "{\"a\":1,\"a\":2}",
            "NaN"
        }) {
            try {
                trace.append(JsonReader.parse(text)).append('\n');
            } catch (JsonReader.ParseException e) {
                trace.append(e.getMessage().replaceAll("bad JSON at character (\\d+): .+", "$1 "));
            }
        }
        assertThat(trace.toString()).isEqualTo("0 1 5 3 2 3 2 2 0 1 3 0 5 10 3 ");
    }

    @Test
    void anEntryThatCannotBeReadMakesTheListVoid() throws Exception {
        StringBuilder trace = new StringBuilder();
        String good = """
                {"id":"s-1","addr":"10.1.0.18:5432","zone":"a","cell":3,"state":"Ready",
                 "started_ms":1767225600123,"role":"leader"}""";
        for (String entry : new String[] {
            good,
            good.replace("Ready", "Gone").replace("10.1.0.18:5432", ""),
            good.replace("Ready", "Sleeping"),
            good.replace("10.1.0.18", "db.internal"),
            good.replace(":5432", ":99999"),
            good.replace("\"cell\":3", "\"cell\":\"x\""),
            "7"
        }) {
            try {
                Map<?, ?> news = (Map<?, ?>) JsonReader.parse("{\"servers\":[" + entry + "]}");
                trace.append(EndpointWatch.parseEntries(news)).append('\n');
            } catch (IOException e) {
                trace.append(e.getMessage()).append('\n');
            }
        }
        assertThat(trace.toString().replace("Entry", "")).isEqualTo("""
                [[id=s-1, address=/10.1.0.18:5432, zone=a, group=3, state=READY, leader=true, \
                launchedMillis=1767225600123]]
                [[id=s-1, address=null, zone=a, group=3, state=GONE, leader=true, \
                launchedMillis=1767225600123]]
                an unknown state Sleeping
                no address of s-1
                no address of s-1
                an entry without id or group
                an entry without id or group
                """);
    }

    /** Hosts come and go under new ids all day; nothing is held for those that are gone. */
    @Test
    void hostsThatAreGoneAreLetGo() throws Exception {
        Map<String, String> start = new LinkedHashMap<>(
                Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
        RequestDispatcher desk = new RequestDispatcher(1, start, null);
        desk.setHostActions(new ServerConnectionPool(
                desk,
                start,
                task -> {
                    task.run();
                    return true;
                },
                new MemoryLimit(0),
                new DescriptorLimit(64),
                (address, room) -> {
                    throw new IOException("nobody there");
                }));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        for (int i = 0; i < 3_000; i++) {
            desk.onEndpoints(
                    false,
                    List.of(
                            new EndpointWatch.Entry(
                                    "s" + i, address, "east", i % 2, EndpointWatch.State.READY, false, 0),
                            new EndpointWatch.Entry(
                                    "s" + (i - 5), null, "east", i % 2, EndpointWatch.State.GONE, false, 0)));
            Statement read = Statement.parse("SELECT doc FROM items WHERE id = 'k' /* id=1,c=x,d=9 */");
            InFlightRequest hand = desk.submit(new RequestParameters(
                    "t" + i,
                    0,
                    desk.group(i % 2),
                    read,
                    HostReport.NO_POSITION,
                    desk.nowNanos(),
                    desk.nowNanos() + 1_000_000,
                    null));
            desk.abandon(hand);
            desk.releaseId("t" + i);
            desk.sweep();
        }
        assertThat(desk.trackedCount()).isLessThan(30);
    }

    /** At rest a list costs nothing: what looks for hosts that are gone does not walk all others. */
    @Test
    void aSweepCostsNoMoreOfALongList() throws Exception {
        RequestDispatcher few = listing(58);
        RequestDispatcher many = listing(5_800);
        sweeps(few);
        sweeps(many);
        long short58 = Long.MAX_VALUE;
        long long5800 = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            short58 = Math.min(short58, sweeps(few));
            long5800 = Math.min(long5800, sweeps(many));
        }
        assertThat(long5800).isLessThan(10 * short58);
    }

    private static RequestDispatcher listing(int count) {
        RequestDispatcher desk = new RequestDispatcher(
                1,
                new LinkedHashMap<>(
                        Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east")),
                null);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        desk.onEndpoints(
                true,
                IntStream.range(0, count)
                        .mapToObj(i -> new EndpointWatch.Entry(
                                "s" + i, address, "east", i / 3, EndpointWatch.State.READY, false, 0))
                        .toList());
        return desk;
    }

    private static long sweeps(RequestDispatcher desk) {
        long from = System.nanoTime();
        for (int i = 0; i < 300; i++) {
            desk.sweep();
        }
        return System.nanoTime() - from;
    }

    /** What a cell's clients take, they take from all, and beyond their part they get nothing. */
    @Test
    void aPartOfTheRoomIsBoundedByItselfAndByTheWhole() throws Exception {
        MemoryLimit whole = new MemoryLimit(8_192);
        MemoryLimit part = new MemoryLimit(2_048, whole);
        MessageReader in = new MessageReader(whole);
        in.chargeTo(part);
        byte[] message = new byte[6_000];
        message[0] = 'Q';
        message[3] = 0x20;
        ReadableByteChannel channel = Channels.newChannel(new ByteArrayInputStream(message));
        MessageReader.ReadStatus got = MessageReader.ReadStatus.INCOMPLETE;
        while (got == MessageReader.ReadStatus.INCOMPLETE && in.readFrom(channel) > 0) {
            got = in.nextMessage(false);
        }
        assertThat(got).isEqualTo(MessageReader.ReadStatus.OUT_OF_MEMORY);
        assertThat(part.availableBytes()).isZero();
        assertThat(whole.availableBytes()).isEqualTo(8_192 - 2_048);
        in.release();
        assertThat(whole.availableBytes()).isEqualTo(8_192);
        assertThat(part.availableBytes()).isEqualTo(2_048);
    }
}
