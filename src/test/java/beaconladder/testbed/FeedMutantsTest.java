package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import beaconladder.feed.Applier;
import beaconladder.feed.FaultySubscribers;
import beaconladder.feed.InMemoryLog;
import beaconladder.feed.Relay;
import beaconladder.feed.Subscriber;
import beaconladder.feed.VersionedState;
import beaconladder.testbed.FeedChecker.Applied;
import beaconladder.testbed.FeedChecker.Outage;
import beaconladder.testbed.FeedWriter.Logged;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The checker of the feed's scenario finds faulty subscribers, from journals and the log alone. */
@Timeout(60)
class FeedMutantsTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long SECOND = 1_000_000_000;

    private final List<Applied> journal = new CopyOnWriteArrayList<>();
    private final List<Logged> logged = new ArrayList<>();

    private interface SubscriberFactory {
        Subscriber make(String name, Map<String, InetSocketAddress> relays, Applier applier) throws IOException;
    }

    @Test
    void aRouterThatSkipsAChangeIsFoundByItsDigests() throws Exception {
        run(FaultySubscribers::correct);
        assertThat(contentViolations()).isEmpty();
        journal.clear();
        logged.clear();
        run(FaultySubscribers::skipsChanges);
        assertThat(contentViolations()).anyMatch(line -> line.startsWith("two contents under one version"));
    }

    @Test
    void aRouterThatRevertsToAnOlderVersionIsFound() throws Exception {
        run(FaultySubscribers::revertsToOlderVersions);
        assertThat(contentViolations()).anyMatch(line -> line.startsWith("a version went back"));
    }

    private List<String> contentViolations() {
        return new FeedChecker(logged, journal, List.of())
                .checkContents()
                .verdict()
                .violations();
    }

    /** Proposes bursts of changes; then the relay ends, and the router polls another one whose log is older. */
    private void run(SubscriberFactory factory) throws Exception {
        try (InMemoryLog log = new InMemoryLog();
                InMemoryLog old = new InMemoryLog();
                Relay a = new Relay("a", ANY, List.of(log.address()), null, 10);
                Relay b = new Relay("b", ANY, List.of(old.address()), null, 10)) {
            // Chooses a router whose own relay is the first one.
            String name = "n0";
            for (int i = 1; !pollsFirstRelay(name); i++) {
                name = "n" + i;
            }
            Map<String, InetSocketAddress> relays = new TreeMap<>(Map.of("a", a.address(), "b", b.address()));
            String router = name;
            try (Subscriber subscriber = factory.make(name, relays, new Applier() {
                @Override
                public void validate(VersionedState next) {}

                @Override
                public void apply(VersionedState next) {
                    journal.add(new Applied(FeedRouters.unix(), router, 1, next.version(), next.computeDigest()));
                }
            })) {
                propose(log, "long", "a text that is longer than what the changes come to ".repeat(20));
                old.set("long", "a text that is longer than what the changes come to ".repeat(20));
                Thread thread = new Thread(subscriber);
                thread.setDaemon(true);
                thread.start();
                for (int burst = 0; burst < 4; burst++) {
                    for (int i = 0; i < 5; i++) {
                        propose(log, "d" + i, "text " + burst);
                    }
                    long version = logged.size();
                    await().atMost(Duration.ofSeconds(20))
                            .until(() -> journal.stream().anyMatch(each -> each.version() == version));
                }
                AutoCloseable ends = a;
                ends.close();
                Thread.sleep(2_000);
            }
        }
    }

    private static boolean pollsFirstRelay(String name) {
        // The relay order decides which of two relays a subscriber polls first.
        return beaconladder.feed.RelayOrder.first(name, List.of("a", "b")).equals("a");
    }

    private void propose(InMemoryLog log, String name, String text) {
        VersionedState state = log.set(name, text);
        long now = FeedRouters.unix();
        logged.add(new Logged(state.version(), state.digest(), now, now, "test"));
    }

    // ---- Times --------------------------------------------------------------------------------------------

    @Test
    void timesCountFromTheCommitOrTheEndOfAnOutage() {
        logged.add(new Logged(1, "x", 0, 10 * SECOND, "test"));
        journal.add(new Applied(11 * SECOND, "a", 1, 1, "x"));
        journal.add(new Applied(15 * SECOND, "b", 1, 1, "x"));
        assertThat(timeViolations(List.of("a", "b"), List.of()))
                .anyMatch(line -> line.startsWith("at too many"))
                .noneMatch(line -> line.startsWith("in force too late"));
        assertThat(timeViolations(List.of("a", "b"), List.of(new Outage("b"::equals, 9 * SECOND, 14 * SECOND))))
                .isEmpty();
        // An outage after the version was applied, or of another router, does not count.
        assertThat(timeViolations(List.of("a", "b"), List.of(new Outage("b"::equals, 16 * SECOND, 19 * SECOND))))
                .isNotEmpty();
        assertThat(timeViolations(List.of("a", "b"), List.of(new Outage("a"::equals, 9 * SECOND, 14 * SECOND))))
                .isNotEmpty();
        assertThat(timeViolations(List.of("a", "c"), List.of())).anyMatch(line -> line.startsWith("never"));
        journal.add(new Applied(17 * SECOND, "c", 1, 1, "x"));
        assertThat(timeViolations(List.of("a", "c"), List.of())).anyMatch(line -> line.startsWith("in force too late"));
    }

    @Test
    void aNewerVersionCountsAndOneRouterInAThousandMayBeLate() {
        logged.add(new Logged(1, "x", 0, 10 * SECOND, "test"));
        List<String> routers = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            routers.add("n" + i);
            journal.add(new Applied((i == 0 ? 14 : 11) * SECOND, "n" + i, 1, 2, "y"));
        }
        assertThat(timeViolations(routers, List.of())).isEmpty();
        assertThat(timeViolations(routers.subList(0, 999), List.of())).isNotEmpty();
    }

    private List<String> timeViolations(List<String> routers, List<Outage> outages) {
        return new FeedChecker(logged, journal, outages)
                .checkTimes(routers, 1_000, 3 * SECOND, 6 * SECOND, nanos -> {}, each -> true)
                .verdict()
                .violations();
    }

    @Test
    void aTruncatedJournalLineIsIgnored() {
        assertThat(Applied.parse("A 5 n1 1 2 0123456789abcdef0123456789abcdef"))
                .isEqualTo(new Applied(5, "n1", 1, 2, "0123456789abcdef0123456789abcdef"));
        for (String truncated : List.of("", "A 5", "A 5 n1 1 2 0123456789ab", "G 5 n1 1 2")) {
            assertThat(Applied.parse(truncated)).isNull();
        }
    }
}
