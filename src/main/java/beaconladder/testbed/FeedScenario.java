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
 * The rehearsal of the feed: grantors, relays and routers under changes and a fault script drawn from the seed, judged
 * by what routers wrote when they put a version in force, and by the log.
 */
public final class FeedScenario {
    /**
     * What is played.
     *
     * @param everyMillis between two changes when nothing happens
     * @param steadyMillis for so long; and for half of it nothing changes at all, before
     * @param burst changes one right after the other
     * @param lastsMillis so long a fault lasts: longer than the feed's time-outs, so that they are met
     * @param firstMillis in which a change is in force at all but one in a thousand
     * @param allMillis in which it is in force at all
     */
    public record Size(
            int relays,
            int routers,
            int everyMillis,
            int steadyMillis,
            int burst,
            int lastsMillis,
            int firstMillis,
            int allMillis) {
        /** The users' bars. */
        public static Size of(int relays, int routers, int everyMillis, int steadyMillis) {
            return new Size(relays, routers, everyMillis, steadyMillis, 100, 4_000, 3_000, 6_000);
        }
    }

    private static final long MS = 1_000_000;
    private static final int SHARE = 1_000;
    /** A tenth of a second each: the way back to a router's own relay, and until it counts there. */
    private static final int COUNTED_TRIES = 170;
    /** Three figures of a time are enough. */
    private static final int DIGITS = 3;

    private final long seed;
    private final Size size;
    private final PrintWriter out;
    private final SplittableRandom chance;
    private final List<Outage> outages = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final ObjectNode figures = new ObjectMapper().createObjectNode();
    private FeedFleet fleet;
    private FeedWriter writer;
    private FeedFaults faults;

    public FeedScenario(long seed, Size size, PrintWriter out) {
        this.seed = seed;
        this.size = size;
        this.out = out;
        this.chance = new SplittableRandom(seed);
    }

    /** Plays so many faults of these; says whether every rule held. */
    public boolean play(List<FeedFault> from, int count) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("feed");
        long started = System.nanoTime();
        // Each once before any twice.
        List<FeedFault> script = new ArrayList<>();
        List<FeedFault> left = new ArrayList<>();
        while (script.size() < count && !from.isEmpty()) {
            left = left.isEmpty() ? new ArrayList<>(from) : left;
            script.add(left.remove(chance.nextInt(left.size())));
        }
        figures.put("rehearsal", "feed")
                .put("seed", seed)
                .put("script", script.stream().map(FeedScenario::name).collect(Collectors.joining(",")));
        figures.put("relays", size.relays())
                .put("routers_hollow", size.routers())
                .put("routers_real", FeedFleet.REAL);
        try (FeedFleet set = new FeedFleet(folder, seed, size.relays(), size.routers())) {
            fleet = set;
            writer = new FeedWriter(set.doors, seed);
            faults = new FeedFaults(set, writer, folder, outages, broken, chance.split(), size);
            say("ready");
            quiet();
            for (FeedFault fault : script) {
                if (broken.isEmpty()) {
                    say(name(fault));
                    faults.play(fault);
                }
            }
            writer.change("last");
            settle();
            sums();
            judge(set.journal());
        }
        broken.forEach(line -> out.println("BROKEN " + line));
        if (!broken.isEmpty()) {
            out.println("logs are in " + folder);
        }
        figures.put("versions", writer.log().size())
                .put("broken", broken.size())
                .put("held", broken.isEmpty())
                .put("seconds", (System.nanoTime() - started) / MS / 1_000);
        out.println(figures);
        out.flush();
        return broken.isEmpty();
    }

    static String name(FeedFault fault) {
        return fault.name().toLowerCase(Locale.ROOT);
    }

    private void say(String what) {
        out.printf("%8.3f %s, leader k%d%n", FeedRouters.unix() / 1e9 % 1_000, what, fleet.leader());
        out.flush();
    }

    /** Nothing at all; a change now and then; a burst. */
    private void quiet() throws IOException, InterruptedException {
        FeedFigures costs = new FeedFigures(fleet);
        writer.change("first");
        Thread.sleep(1_000);
        costs.begin();
        Thread.sleep(size.steadyMillis() / 2);
        costs.end(figures.putObject("rest"), size.routers() + FeedFleet.REAL);
        costs.begin();
        for (int at = 0; at < size.steadyMillis(); at += size.everyMillis()) {
            writer.change("steady");
            Thread.sleep(size.everyMillis());
        }
        costs.end(figures.putObject("steady"), size.routers() + FeedFleet.REAL);
        costs.begin();
        for (int i = 0; i < size.burst(); i++) {
            writer.change("burst");
        }
        Thread.sleep(500);
        costs.end(figures.putObject("burst"), size.routers() + FeedFleet.REAL);
    }

    /** Until all relays hold the last version and their routers had the time to take it. */
    private void settle() throws InterruptedException {
        long last = writer.log().get(writer.log().size() - 1).version();
        long until = System.nanoTime() + size.allMillis() * MS;
        while (System.nanoTime() < until
                && fleet.statuses().stream()
                                .filter(each -> each.version() == last)
                                .count()
                        < size.relays()) {
            Thread.sleep(50);
        }
        Thread.sleep(Math.min(2_500, size.allMillis()));
    }

    /** What the leader was told of acknowledgements: no router is counted twice, and in the end each once. */
    private void sums() throws IOException, InterruptedException {
        int routers = size.routers() + FeedFleet.REAL;
        long last = writer.log().get(writer.log().size() - 1).version();
        int counted = 0;
        for (int i = 0; i < COUNTED_TRIES && counted < routers; i++) {
            int all = writer.logClient().status().counts().stream()
                    .mapToInt(each -> each.applied())
                    .sum();
            if (all > routers) {
                broken.add("the leader counts " + all + " of " + routers + " routers");
            }
            counted = writer.logClient().status().counts().stream()
                    .filter(each -> each.version() == last)
                    .mapToInt(each -> each.applied())
                    .sum();
            Thread.sleep(100);
        }
        figures.put("acknowledged", counted);
        if (counted != routers) {
            broken.add("the leader counts version " + last + " in force at " + counted + " of " + routers + ": "
                    + writer.logClient().status());
        }
    }

    private void judge(List<String> journal) throws IOException {
        List<Logged> log = writer.log();
        Logged last = log.get(log.size() - 1);
        Update told = writer.logClient().updateSince(last.version());
        if (told.version() != last.version() || !told.digest().equals(last.digest())) {
            broken.add("the log ends with " + told + ", and answered " + last);
        }
        List<Applied> applied =
                journal.stream().map(Applied::parse).filter(Objects::nonNull).toList();
        FeedChecker judge = new FeedChecker(log, applied, outages).contents();
        ObjectNode times = figures.putObject("in_force_ms");
        for (String phase : new TreeSet<>(log.stream().map(Logged::phase).toList())) {
            Histogram histogram = new Histogram(DIGITS);
            judge.inForce(
                    fleet.names(),
                    SHARE,
                    size.firstMillis() * MS,
                    size.allMillis() * MS,
                    nanos -> histogram.recordValue(nanos / 1_000),
                    each -> each.phase().equals(phase));
            double most = histogram.getMaxValue() / 1e3;
            times.put(
                    phase,
                    Stream.of(50, 99, 99.9)
                                    .map(each ->
                                            String.valueOf(histogram.getValueAtPercentile(each.doubleValue()) / 1_000))
                                    .collect(Collectors.joining(","))
                            + ","
                            + Math.round(most));
        }
        times.put("columns", "p50,p99,p999,max");
        broken.addAll(judge.verdict().broken());
        figures.put("late", judge.verdict().late());
        figures.put(
                "propose_ms_most",
                log.stream()
                                .mapToLong(each -> each.committedAtNanos() - each.proposedAtNanos())
                                .max()
                                .orElse(0)
                        / MS);
        figures.put(
                "bases_told",
                fleet.statuses().stream()
                        .mapToLong(Relay.Status::fullStateAnswers)
                        .sum());
    }
}
