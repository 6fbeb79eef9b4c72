package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import beaconladder.discovery.EndpointWatch;
import beaconladder.discovery.JsonReader;
import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.RowAccess;
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

/** The parsers of settings, load reports, statements and endpoint lists, and the bounds of memory and of held state. */
class ParsersAndResourcesTest {

    /** The same settings as the nested JSON of the configuration file and as the flat lines of the simulator. */
    @Test
    void nestedSettingsAreFlattenedToDottedKeys() throws Exception {
        Map<String, String> flat = new LinkedHashMap<>();
        JsonReader.flatten("", JsonReader.parse("""
                {"clients":{"marks_retry":true},"family_info":{"freshness":["recent","update"],
                 "notes":"position in ms, plus 1","position_zero_us":281993321636},
                 "fees":{"probe":0.069,"waste":0.0},"kinds":["std-3c"],
                 "request_classes":[{"effect":"pure","give_up_us":2000000,"name":"cab-board","points":1.0,
                 "stream":false},{"effect":"side_effect","name":"trip\\u002dbook","points":3.0}],
                 "my_number":0,"nothing":null,"empty":[]}"""), flat);
        Map<String, String> expected = new TreeMap<>();
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
                """.lines().forEach(line -> expected.put(line.split("=")[0], line.substring(line.indexOf('=') + 1)));
        assertThat(new TreeMap<>(flat)).isEqualTo(expected);
    }

    @Test
    void positionsAreExactToTheNanosecondAndRoundedDown() {
        StringBuilder results = new StringBuilder();
        for (String position : new String[] {"1767225600123", "1767225600123.9999999", "0", "-3", "1e30", "x", ""}) {
            long nanos = LoadReportParser.parsePositionNanos(position, 6);
            results.append(position)
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
            HostReport report = LoadReportParser.parse(load);
            results.append(load)
                    .append(": ")
                    .append(report.role())
                    .append(' ')
                    .append(report.position() == HostReport.NO_POSITION ? "none" : report.position())
                    .append(' ')
                    .append(report.inFlight())
                    .append('\n');
        }
        assertThat(results.toString()).isEqualTo("""
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

    /**
     * Parsing a number such as 1e500000000, sent by a client or in an invalid response of a host, took 28 s and all of
     * the heap.
     */
    @Test
    void aNumberWithALongExponentIsParsedQuickly() {
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
    void onlyTheTimeBudgetChangesInAForwardedStatement() {
        String text = "SELECT doc FROM items WHERE id = 'it/d=1,/' " + "/* id=9,c=x , d=480,cluster=2,after=5,k=z */ ";
        Statement statement = Statement.parse(text);
        assertThat(statement.parseError()).isNull();
        assertThat(statement.parameter("id") + statement.parameter("c") + statement.parameter("k"))
                .isEqualTo("9xz");
        assertThat(statement.withDelayMillis(7)).isEqualTo(text.replace(" d=480,", " d=7,"));
        assertThat(Statement.parse(text.replace("9,c", "8,c")).sessionId()).isEqualTo(statement.sessionId());
        assertThat(Statement.parse(text.replace("it", "is")).sessionId()).isNotEqualTo(statement.sessionId());
    }

    /** Checks the position in each error message, which operators need to correct a file; the rest is not checked. */
    @Test
    void jsonErrorsStateTheirPosition() {
        StringBuilder results = new StringBuilder();
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
                results.append(JsonReader.parse(text)).append('\n');
            } catch (JsonReader.ParseException e) {
                results.append(e.getMessage().replaceAll("bad JSON at character (\\d+): .+", "$1 "));
            }
        }
        assertThat(results.toString()).isEqualTo("0 1 5 3 2 3 2 2 0 1 3 0 5 10 3 ");
    }

    @Test
    void anInvalidEntryInvalidatesTheCompleteEndpointList() throws Exception {
        StringBuilder results = new StringBuilder();
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
                Map<?, ?> response = (Map<?, ?>) JsonReader.parse("{\"servers\":[" + entry + "]}");
                results.append(EndpointWatch.parseEntries(response)).append('\n');
            } catch (IOException e) {
                results.append(e.getMessage()).append('\n');
            }
        }
        assertThat(results.toString().replace("Entry", "")).isEqualTo("""
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

    /** Guards against queries whose parsed form takes many times the memory of their text. */
    @Test
    void aCommentWithVeryManyNamesIsInvalid() {
        StringBuilder names = new StringBuilder("id=1,c=x,d=9");
        for (int i = 0; i < 61; i++) {
            names.append(",k").append(i).append("=v");
        }
        String read = "SELECT doc FROM items WHERE id = 'k' /* %s */";
        assertThat(Statement.parse(read.formatted(names)).parseError()).isNull();
        assertThat(Statement.parse(read.formatted(names + ",one=more")).parseError())
                .isEqualTo("the comment holds more than 64 names");
    }

    @Test
    void theRowOfAStatementIsReadFromItsBeginning() {
        String read = "SELECT doc FROM items WHERE id = 'k' /* id=1,c=x,d=9 */";
        String write = "INSERT INTO items (id, doc) VALUES ('k', '\\x" + "ab".repeat(50_000)
                + "') RETURNING doc /* id=1,c=x,d=9 */";
        assertThat(RowAccess.of(read))
                .isEqualTo(new RowAccess(Statement.parse(read).sessionId(), false));
        assertThat(RowAccess.of(write))
                .isEqualTo(new RowAccess(Statement.parse(write).sessionId(), true));
        assertThat(RowAccess.of("DROP TABLE items")).isNull();
        assertThat(RowAccess.of(read).conflictsWith(RowAccess.of(write))).isTrue();
        assertThat(RowAccess.of(read).conflictsWith(RowAccess.of(read))).isFalse();
    }

    /** Hosts are continually replaced under new ids; the dispatcher must hold no state for those that are gone. */
    @Test
    void hostsThatAreGoneAreRemoved() throws Exception {
        Map<String, String> settings = new LinkedHashMap<>(
                Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
        RequestDispatcher dispatcher = new RequestDispatcher(1, settings, null);
        dispatcher.setHostActions(new ServerConnectionPool(
                dispatcher,
                settings,
                task -> {
                    task.run();
                    return true;
                },
                new MemoryLimit(0),
                new DescriptorLimit(64),
                (address, memory) -> {
                    throw new IOException("no host at this address");
                }));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        for (int i = 0; i < 3_000; i++) {
            dispatcher.onEndpoints(
                    false,
                    List.of(
                            new EndpointWatch.Entry(
                                    "s" + i, address, "east", i % 2, EndpointWatch.State.READY, false, 0),
                            new EndpointWatch.Entry(
                                    "s" + (i - 5), null, "east", i % 2, EndpointWatch.State.GONE, false, 0)));
            Statement read = Statement.parse("SELECT doc FROM items WHERE id = 'k' /* id=1,c=x,d=9 */");
            InFlightRequest inFlight = dispatcher.submit(new RequestParameters(
                    "t" + i,
                    0,
                    dispatcher.group(i % 2),
                    read,
                    HostReport.NO_POSITION,
                    dispatcher.nowNanos(),
                    dispatcher.nowNanos() + 1_000_000,
                    null));
            dispatcher.abandon(inFlight);
            dispatcher.releaseAbandonedId(inFlight);
            dispatcher.sweep();
        }
        assertThat(dispatcher.trackedCount()).isLessThan(30);
    }

    /** A sweep for hosts that are gone must not iterate over the complete endpoint list. */
    @Test
    void theCostOfASweepDoesNotGrowWithTheEndpointList() throws Exception {
        RequestDispatcher shortList = dispatcherWithHosts(58);
        RequestDispatcher longList = dispatcherWithHosts(5_800);
        sweepNanos(shortList);
        sweepNanos(longList);
        long shortNanos = Long.MAX_VALUE;
        long longNanos = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            shortNanos = Math.min(shortNanos, sweepNanos(shortList));
            longNanos = Math.min(longNanos, sweepNanos(longList));
        }
        assertThat(longNanos).isLessThan(10 * shortNanos);
    }

    private static RequestDispatcher dispatcherWithHosts(int count) {
        RequestDispatcher dispatcher = new RequestDispatcher(
                1,
                new LinkedHashMap<>(
                        Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east")),
                null);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        dispatcher.onEndpoints(
                true,
                IntStream.range(0, count)
                        .mapToObj(i -> new EndpointWatch.Entry(
                                "s" + i, address, "east", i / 3, EndpointWatch.State.READY, false, 0))
                        .toList());
        return dispatcher;
    }

    private static long sweepNanos(RequestDispatcher dispatcher) {
        long startNanos = System.nanoTime();
        for (int i = 0; i < 300; i++) {
            dispatcher.sweep();
        }
        return System.nanoTime() - startNanos;
    }

    /** The memory of a cell's clients counts towards the total too, and none is granted beyond the cell's own limit. */
    @Test
    void theMemoryOfACellIsBoundedByItsOwnLimitAndTheTotal() throws Exception {
        MemoryLimit totalLimit = new MemoryLimit(8_192);
        MemoryLimit cellLimit = new MemoryLimit(2_048, totalLimit);
        MessageReader in = new MessageReader(totalLimit);
        in.chargeTo(cellLimit);
        byte[] message = new byte[6_000];
        message[0] = 'Q';
        message[3] = 0x20;
        ReadableByteChannel channel = Channels.newChannel(new ByteArrayInputStream(message));
        MessageReader.ReadStatus readStatus = MessageReader.ReadStatus.INCOMPLETE;
        while (readStatus == MessageReader.ReadStatus.INCOMPLETE && in.readFrom(channel) > 0) {
            readStatus = in.nextMessage(false);
        }
        assertThat(readStatus).isEqualTo(MessageReader.ReadStatus.OUT_OF_MEMORY);
        assertThat(cellLimit.availableBytes()).isZero();
        assertThat(totalLimit.availableBytes()).isEqualTo(8_192 - 2_048);
        in.release();
        assertThat(totalLimit.availableBytes()).isEqualTo(8_192);
        assertThat(cellLimit.availableBytes()).isEqualTo(2_048);
    }
}
