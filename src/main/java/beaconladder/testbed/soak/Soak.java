package beaconladder.testbed.soak;

import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Plays rounds of overlapping faults to a fleet of real routers; the seed draws them. */
public final class Soak {
    static final int GROUPS = 2;
    static final int HOSTS_PER_GROUP = 3;
    private static final int CLIENTS_A_ROUTER = 4;
    private static final int ROUND_MILLIS = 2_500;
    private static final int MOST_AT_ONCE = 3;
    private static final int MOST_SHOWN = 30;
    private static final int SETTLE_MILLIS = 4_000;
    /** Of what clients sent while all was well again, so much has to be served. */
    private static final double SERVED_AT_END = 0.9;
    /** What no router may log. */
    private static final Pattern FAULT = Pattern.compile("invariant violated: rule|goes on after a fault|internal error"
            + "|a client's connection ends|OutOfMemoryError|Exception in thread");

    private final SoakPlan plan;
    private final PrintWriter out;
    private final SplittableRandom random;
    private final Map<FaultKind, Integer> played = new EnumMap<>(FaultKind.class);

    /** One that has not begun. */
    public Soak(SoakPlan plan, PrintWriter out) {
        this.plan = plan;
        this.out = out;
        this.random = new SplittableRandom(plan.seed());
    }

    /** Plays it; whether every rule held. */
    public boolean play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak");
        try (SoakFleet fleet = new SoakFleet(plan, folder, FaultShim.build(folder), random.split())) {
            fleet.clients().start(CLIENTS_A_ROUTER * plan.routers(), random.split());
            StandInThreads.sleep(1_000 * plan.quietSeconds());
            for (int i = 0; i < plan.rounds(); i++) {
                round(new FaultInjector(fleet));
            }
            StandInThreads.sleep(SETTLE_MILLIS);
            long wellFrom = System.nanoTime();
            StandInThreads.sleep(SETTLE_MILLIS);
            fleet.clients().end();
            fleet.end();
            return verdict(fleet, wellFrom, folder);
        }
    }

    private void round(FaultInjector faults) throws IOException, InterruptedException {
        Set<FaultKind> drawn = new HashSet<>();
        for (int i = 2 + random.nextInt(MOST_AT_ONCE - 1); i > 0; i--) {
            drawn.add(plan.faults().get(random.nextInt(plan.faults().size())));
        }
        out.println("round: " + drawn.stream().map(Soak::name).sorted().collect(Collectors.joining(", ")));
        out.flush();
        List<FaultInjector.ActiveFault> activeFaults = new ArrayList<>();
        for (FaultKind fault : drawn.stream().sorted().toList()) {
            played.merge(fault, 1, Integer::sum);
            activeFaults.add(faults.begin(fault, ROUND_MILLIS, random));
            StandInThreads.sleep(random.nextInt(400));
        }
        StandInThreads.sleep(ROUND_MILLIS);
        for (FaultInjector.ActiveFault fault : activeFaults) {
            fault.end();
            StandInThreads.sleep(random.nextInt(200));
        }
    }

    private boolean verdict(SoakFleet fleet, long wellFrom, Path folder) {
        SoakOracle oracle = new SoakOracle(fleet);
        oracle.checkAll();
        List<String> broken = new ArrayList<>(fleet.broken());
        for (SoakRouter router : fleet.routers()) {
            router.log()
                    .lines()
                    .filter(line -> FAULT.matcher(line).find())
                    .limit(3)
                    .forEach(line -> broken.add("router " + router.number + " logged: " + line));
        }
        List<Request> well = fleet.requests().values().stream()
                .filter(r -> r.sentAtNanos > wellFrom)
                .filter(r -> r.outcome() != Request.Outcome.LEFT && r.outcome() != Request.Outcome.UNREAD)
                .filter(r -> r.budgetMillis == r.kind.budgetMillis)
                .toList();
        long servedWell =
                well.stream().filter(r -> r.outcome() == Request.Outcome.SERVED).count();
        if (well.isEmpty() || servedWell < SERVED_AT_END * well.size()) {
            broken.add("after the last fault only " + servedWell + " of " + well.size() + " were served");
        }
        broken.addAll(oracle.descriptions());
        broken.stream().limit(MOST_SHOWN).forEach(out::println);
        boolean held = broken.isEmpty();
        if (!held) {
            out.println("logs in " + folder);
        }
        long served = fleet.requests().values().stream()
                .filter(r -> r.outcome() == Request.Outcome.SERVED)
                .count();
        out.printf(
                Locale.ROOT,
                "{\"rehearsal\":\"soak\",\"seed\":%d,\"routers\":%d,\"asks\":%b,"
                        + "\"troubles\":{%s},\"requests\":%d,"
                        + "\"served\":%d,\"served_after\":%.3f,\"broken\":{%s},\"others\":%d,\"held\":%b}%n",
                plan.seed(),
                plan.routers(),
                plan.asks(),
                counts(played),
                fleet.requests().size(),
                served,
                servedWell / Math.max(1.0, well.size()),
                counts(oracle.counts()),
                broken.size() - oracle.descriptions().size(),
                held);
        out.flush();
        return held;
    }

    private static String counts(Map<? extends Enum<?>, Integer> of) {
        return of.entrySet().stream()
                .map(e -> "\"" + name(e.getKey()) + "\":" + e.getValue())
                .collect(Collectors.joining(","));
    }

    private static String name(Enum<?> of) {
        return of.name().toLowerCase(Locale.ROOT);
    }
}
