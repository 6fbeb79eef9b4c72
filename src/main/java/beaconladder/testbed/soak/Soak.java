package beaconladder.testbed.soak;

import beaconladder.testbed.StallRecorder;
import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
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

/** Runs rounds of overlapping faults, drawn from a seed, against a fleet of real router processes. */
public final class Soak {
    static final int GROUPS = 2;
    static final int HOSTS_PER_GROUP = 3;
    private static final int CLIENTS_PER_ROUTER = 4;
    private static final int ROUND_MILLIS = 2_500;
    private static final int MAX_FAULTS_PER_ROUND = 3;
    private static final int MAX_VIOLATIONS_SHOWN = 30;
    private static final int MAX_LOG_LINES_PER_ROUTER = 3;
    /** The time for recovery after the last fault, and the length of the measured period after it. */
    private static final int SETTLE_MILLIS = 4_000;
    /** The share of the requests sent after recovery from the last fault that must be served. */
    private static final double MIN_SERVED_SHARE = 0.9;
    /** Lines that no router may log. */
    private static final Pattern FAULT = Pattern.compile("invariant violated: rule|goes on after a fault|internal error"
            + "|a client's connection ends|OutOfMemoryError|Exception in thread");

    private final SoakPlan plan;
    private final PrintWriter out;
    private final SplittableRandom random;
    private final Map<FaultKind, Integer> faultCounts = new EnumMap<>(FaultKind.class);

    /** Creates a soak; {@link #play} runs it. */
    public Soak(SoakPlan plan, PrintWriter out) {
        this.plan = plan;
        this.out = out;
        this.random = new SplittableRandom(plan.seed());
    }

    /** Runs the soak, prints its result and returns whether every rule held. */
    public boolean play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak");
        try (StallRecorder stallRecorder = new StallRecorder();
                SoakFleet fleet = new SoakFleet(plan, folder, FaultShim.build(folder), random.split())) {
            fleet.clients().start(CLIENTS_PER_ROUTER * plan.routers(), random.split());
            StandInThreads.sleep(1_000 * plan.faultFreeSeconds());
            for (int i = 0; i < plan.rounds(); i++) {
                runRound(new FaultInjector(fleet));
            }
            StandInThreads.sleep(SETTLE_MILLIS);
            long recoveredAtNanos = System.nanoTime();
            StandInThreads.sleep(SETTLE_MILLIS);
            fleet.clients().end();
            fleet.end();
            boolean rulesHeld = report(fleet, recoveredAtNanos, folder);
            if (!rulesHeld) {
                reportPauses(fleet, stallRecorder.stalls());
            }
            out.flush();
            return rulesHeld;
        }
    }

    private void runRound(FaultInjector injector) throws IOException, InterruptedException {
        Set<FaultKind> drawn = new HashSet<>();
        for (int i = 2 + random.nextInt(MAX_FAULTS_PER_ROUND - 1); i > 0; i--) {
            drawn.add(plan.faults().get(random.nextInt(plan.faults().size())));
        }
        out.println("round: " + drawn.stream().map(Soak::name).sorted().collect(Collectors.joining(", ")));
        out.flush();
        List<FaultInjector.ActiveFault> activeFaults = new ArrayList<>();
        for (FaultKind fault : drawn.stream().sorted().toList()) {
            faultCounts.merge(fault, 1, Integer::sum);
            activeFaults.add(injector.begin(fault, ROUND_MILLIS, random));
            StandInThreads.sleep(random.nextInt(400));
        }
        StandInThreads.sleep(ROUND_MILLIS);
        for (FaultInjector.ActiveFault fault : activeFaults) {
            fault.end();
            StandInThreads.sleep(random.nextInt(200));
        }
    }

    private boolean report(SoakFleet fleet, long recoveredAtNanos, Path folder) {
        SoakOracle oracle = new SoakOracle(fleet);
        oracle.checkAll();
        List<String> violations = new ArrayList<>(fleet.violations());
        for (SoakRouter router : fleet.routers()) {
            router.log()
                    .lines()
                    .filter(line -> FAULT.matcher(line).find())
                    .limit(MAX_LOG_LINES_PER_ROUTER)
                    .forEach(line -> violations.add("router " + router.number + " logged: " + line));
        }
        List<Request> sentAfterRecovery = fleet.requests().values().stream()
                .filter(request -> request.sentAtNanos > recoveredAtNanos)
                .filter(request ->
                        request.outcome() != Request.Outcome.LEFT && request.outcome() != Request.Outcome.UNREAD)
                .filter(request -> request.budgetMillis == request.kind.budgetMillis)
                .toList();
        long servedAfterRecovery = sentAfterRecovery.stream()
                .filter(request -> request.outcome() == Request.Outcome.SERVED)
                .count();
        if (sentAfterRecovery.isEmpty() || servedAfterRecovery < MIN_SERVED_SHARE * sentAfterRecovery.size()) {
            violations.add("after the last fault only " + servedAfterRecovery + " of " + sentAfterRecovery.size()
                    + " requests were served");
        }
        violations.addAll(oracle.descriptions());
        violations.stream().limit(MAX_VIOLATIONS_SHOWN).forEach(out::println);
        boolean rulesHeld = violations.isEmpty();
        if (!rulesHeld) {
            out.println("logs in " + folder);
        }
        long served = fleet.requests().values().stream()
                .filter(request -> request.outcome() == Request.Outcome.SERVED)
                .count();
        out.printf(
                Locale.ROOT,
                "{\"rehearsal\":\"soak\",\"seed\":%d,\"routers\":%d,\"asks\":%b,"
                        + "\"troubles\":{%s},\"requests\":%d,"
                        + "\"served\":%d,\"served_after\":%.3f,\"broken\":{%s},\"others\":%d,\"held\":%b}%n",
                plan.seed(),
                plan.routers(),
                plan.pollsDiscovery(),
                jsonCounts(faultCounts),
                fleet.requests().size(),
                served,
                servedAfterRecovery / Math.max(1.0, sentAfterRecovery.size()),
                jsonCounts(oracle.counts()),
                violations.size() - oracle.descriptions().size(),
                rulesHeld);
        out.flush();
        return rulesHeld;
    }

    /** Prints which processes stood still and when, so that a violation of a time limit can be traced. */
    private void reportPauses(SoakFleet fleet, List<StallRecorder.Stall> stalls) {
        for (StallRecorder.Stall stall : stalls) {
            out.println("the soak's own process was not scheduled for " + stall.lengthMillis() + " ms until "
                    + Instant.ofEpochMilli(stall.endMillis()));
        }
        for (SoakRouter router : fleet.routers()) {
            for (String pause : JvmPauses.longPauses(router.log())) {
                out.println("router " + router.number + " paused: " + pause);
            }
        }
    }

    private static String jsonCounts(Map<? extends Enum<?>, Integer> counts) {
        return counts.entrySet().stream()
                .map(entry -> "\"" + name(entry.getKey()) + "\":" + entry.getValue())
                .collect(Collectors.joining(","));
    }

    private static String name(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
