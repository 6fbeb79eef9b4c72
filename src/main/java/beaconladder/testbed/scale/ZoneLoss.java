package beaconladder.testbed.scale;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Measures what the clients of one router get when a zone is lost: a ninth of the hosts stops answering at once, and
 * the groups that lose their primary get a new one 13 s later. The routing module is real; the remaining hosts have all
 * the capacity that they need, and clients do not retry.
 */
public final class ZoneLoss implements SimulatedRouter.Observer {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final int WARM_UP_SECONDS = 30;
    /** Seconds observed after the loss. */
    private static final int OBSERVED_SECONDS = 60;
    /** The share of a second's transactions answered in time from which the outage counts as over. */
    private static final double RECOVERED_SHARE = 0.99;

    private final SimulatedHosts simulatedHosts;
    private final long[] arrived = new long[OBSERVED_SECONDS];
    private final long[] inTime = new long[OBSERVED_SECONDS];
    private final long[] probes = new long[OBSERVED_SECONDS];
    /**
     * Requests during the 13 s to groups that lost their primary: per kind, how many arrived and how many were answered
     * in time.
     */
    private final Map<Consistency, long[]> affected = new LinkedHashMap<>();

    private long lostAtNanos = Long.MAX_VALUE;
    private int inFlight;
    private int maxInFlight;
    private long stale;

    private ZoneLoss(SimulatedHosts simulatedHosts) {
        this.simulatedHosts = simulatedHosts;
        for (Consistency read :
                new Consistency[] {Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY, Consistency.WRITE}) {
            affected.put(read, new long[2]);
        }
    }

    /** Runs so many groups; the same seed gives the same figures. */
    public static Map<String, Object> run(int groups, long seed) {
        SimulatedHosts simulatedHosts = new SimulatedHosts(groups, new SplittableRandom(seed), 0);
        ZoneLoss loss = new ZoneLoss(simulatedHosts);
        SimulatedRouter router = new SimulatedRouter(
                simulatedHosts, new SplittableRandom(seed), SimulatedRouter.MIXED_SHARES, maxIdleNanos -> loss);
        router.runUntilArrivals((long) (SimulatedRouter.STATEMENTS_PER_SECOND * WARM_UP_SECONDS));
        loss.lostAtNanos = router.now();
        router.loseZone();
        router.runUntilArrivals(
                (long) (SimulatedRouter.STATEMENTS_PER_SECOND * (WARM_UP_SECONDS + OBSERVED_SECONDS + 5)));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("groups", groups);
        figures.put("hosts", simulatedHosts.count());
        figures.put("seed", seed);
        loss.figures(figures);
        return figures;
    }

    /** Returns the second after the loss, or -1 for a time that is not observed. */
    private int second(long at) {
        return at >= lostAtNanos && at < lostAtNanos + OBSERVED_SECONDS * SECOND_NANOS
                ? (int) ((at - lostAtNanos) / SECOND_NANOS)
                : -1;
    }

    private boolean isAffected(Request request) {
        return request.arrivedNanos >= lostAtNanos
                && request.arrivedNanos < lostAtNanos + SimulatedHosts.FAILOVER_NANOS
                && simulatedHosts.isInLostZone(request.group.id * SimulatedHosts.GROUP_SIZE);
    }

    @Override
    public void requestArrived(Request request, long now) {
        maxInFlight = Math.max(maxInFlight, ++inFlight);
        if (second(now) >= 0) {
            arrived[second(now)]++;
        }
        if (isAffected(request)) {
            affected.get(request.requestClass.consistency())[0]++;
        }
    }

    @Override
    public void attemptSent(Attempt attempt, long now) {
        // A statement that is sent to a lost host gets no answer.
        if (!attempt.request.requestClass.consistency().requiresPrimary()
                && !simulatedHosts.isCurrentPrimary(attempt.host.id, now)
                && !simulatedHosts.isDown(attempt.host.id, now)) {
            stale += simulatedHosts.position(attempt.host.id, now)
                            < PositionMetrics.target(attempt.request, attempt.request.sessionTarget, now)
                    ? 1
                    : 0;
        }
    }

    @Override
    public void requestAnswered(Request request, long now) {
        if (now > request.arrivedNanos + request.requestClass.slaNanos()) {
            return;
        }
        if (second(request.arrivedNanos) >= 0) {
            inTime[second(request.arrivedNanos)]++;
        }
        if (isAffected(request)) {
            affected.get(request.requestClass.consistency())[1]++;
        }
    }

    @Override
    public void probeSent(Host host, long now) {
        if (second(now) >= 0) {
            probes[second(now)]++;
        }
    }

    @Override
    public void requestEnded(Request request, long now) {
        inFlight--;
    }

    private void figures(Map<String, Object> output) {
        int[][] windows = {{0, 1}, {1, 13}, {13, 20}, {20, OBSERVED_SECONDS}};
        for (int[] window : windows) {
            long total = 0;
            long answeredInTime = 0;
            long probeCount = 0;
            for (int i = window[0]; i < window[1]; i++) {
                total += arrived[i];
                answeredInTime += inTime[i];
                probeCount += probes[i];
            }
            String name = "s" + window[0] + "_to_" + window[1];
            output.put(name + "_in_time", (double) answeredInTime / total);
            output.put(name + "_probes_a_txn", (double) probeCount / total);
        }
        int recoveredAfter = OBSERVED_SECONDS;
        while (recoveredAfter > 0 && inTime[recoveredAfter - 1] >= RECOVERED_SHARE * arrived[recoveredAfter - 1]) {
            recoveredAfter--;
        }
        output.put("well_again_after_s", recoveredAfter);
        output.put("most_in_hand", maxInFlight);
        output.put("stale", stale);
        affected.forEach((read, counts) -> output.put(
                "hit_groups_" + read.name().toLowerCase(Locale.ROOT) + "_in_time",
                counts[0] == 0 ? 0 : (double) counts[1] / counts[0]));
    }

    /** Prints one line of JSON for each size. Arguments: {@code [seed]}. */
    public static void main(String[] args) throws JsonProcessingException {
        for (int groups : Positions.SIZES) {
            System.out.println(
                    new ObjectMapper().writeValueAsString(run(groups, args.length > 0 ? Long.parseLong(args[0]) : 1)));
        }
    }
}
