package beaconladder.testbed;

import beaconladder.feed.Relay;
import beaconladder.feed.Update;
import beaconladder.testbed.FeedChecker.Applied;
import beaconladder.testbed.FeedChecker.Outage;
import beaconladder.testbed.FeedWriter.Logged;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Runs lease servers, relays and routers under changes and a fault script drawn from the seed, and checks the versions
 * that routers recorded as applied against the log.
 */
public final class FeedScenario {
    /**
     * Size of the fleet, its load, and the time limits.
     *
     * @param routers the number of simulated routers
     * @param changeIntervalMillis the interval of changes in the steady phase
     * @param steadyMillis the length of the steady phase; the idle phase before it lasts half as long
     * @param burst the number of changes proposed one directly after another
     * @param faultMillis the length of a fault: longer than the feed's time-outs, so that they occur
     * @param usualLimitMillis the time within which a change is in force at all routers but one in a thousand
     * @param limitMillis the time within which a change is in force at all routers
     */
    public record Size(
            int relays,
            int routers,
            int changeIntervalMillis,
            int steadyMillis,
            int burst,
            int faultMillis,
            int usualLimitMillis,
            int limitMillis) {
        /** Returns a size with the time limits that users require. */
        public static Size of(int relays, int routers, int changeIntervalMillis, int steadyMillis) {
            return new Size(relays, routers, changeIntervalMillis, steadyMillis, 100, 4_000, 3_000, 6_000);
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int LATE_ROUTERS_ONE_IN = 1_000;
    /** 0.1 s each: time for each router to return to its own relay and to be counted there. */
    private static final int COUNTED_TRIES = 170;
    /** Significant decimal digits of the recorded times. */
    private static final int HISTOGRAM_DIGITS = 3;

    private final long seed;
    private final Size size;
    private final PrintWriter out;
    private final SplittableRandom random;
    private final List<Outage> outages = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final ObjectNode figures = new ObjectMapper().createObjectNode();
    private FeedFleet fleet;
    private FeedWriter writer;
    private FeedFaults injector;

    public FeedScenario(long seed, Size size, PrintWriter out) {
        this.seed = seed;
        this.size = size;
        this.out = out;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the scenario with {@code count} faults drawn from these; returns whether there was no violation. */
    public boolean run(List<FeedFault> faults, int count) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("feed");
        long startedNanos = System.nanoTime();
        // Draws each fault once before any is repeated.
        List<FeedFault> script = new ArrayList<>();
        List<FeedFault> remaining = new ArrayList<>();
        while (script.size() < count && !faults.isEmpty()) {
            remaining = remaining.isEmpty() ? new ArrayList<>(faults) : remaining;
            script.add(remaining.remove(random.nextInt(remaining.size())));
        }
        figures.put("rehearsal", "feed")
                .put("seed", seed)
                .put("script", script.stream().map(FeedScenario::name).collect(Collectors.joining(",")));
        figures.put("relays", size.relays())
                .put("routers_hollow", size.routers())
                .put("routers_real", FeedFleet.REAL);
        try (FeedFleet newFleet = new FeedFleet(folder, seed, size.relays(), size.routers())) {
            fleet = newFleet;
            writer = new FeedWriter(newFleet.serverAddresses, seed);
            injector = new FeedFaults(newFleet, writer, folder, outages, violations, random.split(), size);
            printPhase("ready");
            measureCosts();
            for (FeedFault fault : script) {
                if (violations.isEmpty()) {
                    printPhase(name(fault));
                    injector.inject(fault);
                }
            }
            writer.change("last");
            awaitLastVersion();
            checkAcknowledgements();
            checkJournals(newFleet.journal());
        }
        violations.forEach(line -> out.println("BROKEN " + line));
        if (!violations.isEmpty()) {
            out.println("logs are in " + folder);
        }
        figures.put("versions", writer.log().size())
                .put("broken", violations.size())
                .put("held", violations.isEmpty())
                .put("seconds", (System.nanoTime() - startedNanos) / NANOS_PER_MILLI / 1_000);
        out.println(figures);
        out.flush();
        return violations.isEmpty();
    }

    static String name(FeedFault fault) {
        return fault.name().toLowerCase(Locale.ROOT);
    }

    private void printPhase(String phase) {
        out.printf("%8.3f %s, leader k%d%n", FeedRouters.unix() / 1e9 % 1_000, phase, fleet.leader());
        out.flush();
    }

    /** Measures the costs without faults: without changes, with regular changes, and with a burst. */
    private void measureCosts() throws IOException, InterruptedException {
        FeedFigures costs = new FeedFigures(fleet);
        writer.change("first");
        Thread.sleep(1_000);
        costs.begin();
        Thread.sleep(size.steadyMillis() / 2);
        costs.end(figures.putObject("rest"), size.routers() + FeedFleet.REAL);
        costs.begin();
        for (int elapsedMillis = 0; elapsedMillis < size.steadyMillis(); elapsedMillis += size.changeIntervalMillis()) {
            writer.change("steady");
            Thread.sleep(size.changeIntervalMillis());
        }
        costs.end(figures.putObject("steady"), size.routers() + FeedFleet.REAL);
        costs.begin();
        for (int i = 0; i < size.burst(); i++) {
            writer.change("burst");
        }
        Thread.sleep(500);
        costs.end(figures.putObject("burst"), size.routers() + FeedFleet.REAL);
    }

    /** Waits until all relays have the last version and their routers had time to apply it. */
    private void awaitLastVersion() throws InterruptedException {
        long last = writer.log().get(writer.log().size() - 1).version();
        long untilNanos = System.nanoTime() + size.limitMillis() * NANOS_PER_MILLI;
        while (System.nanoTime() < untilNanos
                && fleet.statuses().stream()
                                .filter(each -> each.version() == last)
                                .count()
                        < size.relays()) {
            Thread.sleep(50);
        }
        Thread.sleep(Math.min(2_500, size.limitMillis()));
    }

    /** Checks the acknowledgements counted by the leader: no router is counted twice, and finally each once. */
    private void checkAcknowledgements() throws IOException, InterruptedException {
        int routers = size.routers() + FeedFleet.REAL;
        long last = writer.log().get(writer.log().size() - 1).version();
        int counted = 0;
        for (int i = 0; i < COUNTED_TRIES && counted < routers; i++) {
            int countedAll = writer.logClient().status().counts().stream()
                    .mapToInt(each -> each.applied())
                    .sum();
            if (countedAll > routers) {
                violations.add("the leader counts " + countedAll + " of " + routers + " routers");
            }
            counted = writer.logClient().status().counts().stream()
                    .filter(each -> each.version() == last)
                    .mapToInt(each -> each.applied())
                    .sum();
            Thread.sleep(100);
        }
        figures.put("acknowledged", counted);
        if (counted != routers) {
            violations.add("the leader counts version " + last + " as applied at " + counted + " of " + routers + ": "
                    + writer.logClient().status());
        }
    }

    private void checkJournals(List<String> journal) throws IOException {
        List<Logged> log = writer.log();
        Logged last = log.get(log.size() - 1);
        Update logEnd = writer.logClient().updateSince(last.version());
        if (logEnd.version() != last.version() || !logEnd.digest().equals(last.digest())) {
            violations.add("the log ends with " + logEnd + ", but committed " + last);
        }
        List<Applied> applied =
                journal.stream().map(Applied::parse).filter(Objects::nonNull).toList();
        FeedChecker checker = new FeedChecker(log, applied, outages).checkContents();
        ObjectNode times = figures.putObject("in_force_ms");
        for (String phase : new TreeSet<>(log.stream().map(Logged::phase).toList())) {
            Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
            checker.checkTimes(
                    fleet.routerNames(),
                    LATE_ROUTERS_ONE_IN,
                    size.usualLimitMillis() * NANOS_PER_MILLI,
                    size.limitMillis() * NANOS_PER_MILLI,
                    nanos -> histogram.recordValue(nanos / 1_000),
                    each -> each.phase().equals(phase));
            double maxMillis = histogram.getMaxValue() / 1e3;
            times.put(
                    phase,
                    Stream.of(50, 99, 99.9)
                                    .map(each ->
                                            String.valueOf(histogram.getValueAtPercentile(each.doubleValue()) / 1_000))
                                    .collect(Collectors.joining(","))
                            + ","
                            + Math.round(maxMillis));
        }
        times.put("columns", "p50,p99,p999,max");
        violations.addAll(checker.verdict().violations());
        figures.put("late", checker.verdict().late());
        figures.put(
                "propose_ms_most",
                log.stream()
                                .mapToLong(each -> each.committedAtNanos() - each.proposedAtNanos())
                                .max()
                                .orElse(0)
                        / NANOS_PER_MILLI);
        figures.put(
                "bases_told",
                fleet.statuses().stream()
                        .mapToLong(Relay.Status::fullStateAnswers)
                        .sum());
    }
}
