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
 * A zone is lost: a ninth of the hosts falls silent at once, and the groups that lose their primary have a new one 13 s
 * later. What one router's clients get meanwhile, by the real module; hosts that stay have all the room they need, and
 * clients don't come again.
 */
public final class ZoneLoss implements SimulatedRouter.Watcher {
    private static final long SECOND = 1_000_000_000;
    private static final int WARM_UP_SECONDS = 30;
    /** Seconds watched after the loss. */
    private static final int WATCHED = 60;
    /** From which share of a second's txns in time on it counts as over. */
    private static final double WELL = 0.99;

    private final SimulatedHosts truth;
    private final long[] came = new long[WATCHED];
    private final long[] inTime = new long[WATCHED];
    private final long[] probes = new long[WATCHED];
    /** Of the 13 s in the groups that lost their primary: how many of a kind came, and were in time. */
    private final Map<Consistency, long[]> hit = new LinkedHashMap<>();

    private long lostAt = Long.MAX_VALUE;
    private int inFlight;
    private int maxInFlight;
    private long stale;

    private ZoneLoss(SimulatedHosts truth) {
        this.truth = truth;
        for (Consistency read :
                new Consistency[] {Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY, Consistency.WRITE}) {
            hit.put(read, new long[2]);
        }
    }

    /** So many groups; the same seed gives the same figures. */
    public static Map<String, Object> run(int groups, long seed) {
        SimulatedHosts truth = new SimulatedHosts(groups, new SplittableRandom(seed), 0);
        ZoneLoss loss = new ZoneLoss(truth);
        SimulatedRouter router =
                new SimulatedRouter(truth, new SplittableRandom(seed), SimulatedRouter.MIXED, keepIdle -> loss);
        router.play((long) (SimulatedRouter.RATE * WARM_UP_SECONDS));
        loss.lostAt = router.now();
        router.lose();
        router.play((long) (SimulatedRouter.RATE * (WARM_UP_SECONDS + WATCHED + 5)));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("groups", groups);
        figures.put("hosts", truth.count());
        figures.put("seed", seed);
        loss.figures(figures);
        return figures;
    }

    /** The second after the loss, or -1 for one that is not watched. */
    private int second(long at) {
        return at >= lostAt && at < lostAt + WATCHED * SECOND ? (int) ((at - lostAt) / SECOND) : -1;
    }

    private boolean isHit(Request txn) {
        return txn.arrivedNanos >= lostAt
                && txn.arrivedNanos < lostAt + SimulatedHosts.FAILOVER
                && truth.lostWith(txn.group.id * SimulatedHosts.MEMBERS);
    }

    @Override
    public void came(Request txn, long now) {
        maxInFlight = Math.max(maxInFlight, ++inFlight);
        if (second(now) >= 0) {
            came[second(now)]++;
        }
        if (isHit(txn)) {
            hit.get(txn.requestClass.consistency())[0]++;
        }
    }

    @Override
    public void sent(Attempt s, long now) {
        // One that is sent to a host that is lost is answered by nobody.
        if (!s.request.requestClass.consistency().requiresPrimary()
                && !truth.leads(s.host.id, now)
                && !truth.down(s.host.id, now)) {
            stale += truth.position(s.host.id, now) < PositionMetrics.target(s.request, s.request.sessionTarget, now)
                    ? 1
                    : 0;
        }
    }

    @Override
    public void answered(Request txn, long now) {
        if (now > txn.arrivedNanos + txn.requestClass.slaNanos()) {
            return;
        }
        if (second(txn.arrivedNanos) >= 0) {
            inTime[second(txn.arrivedNanos)]++;
        }
        if (isHit(txn)) {
            hit.get(txn.requestClass.consistency())[1]++;
        }
    }

    @Override
    public void probed(Host host, long now) {
        if (second(now) >= 0) {
            probes[second(now)]++;
        }
    }

    @Override
    public void ended(Request txn, long now) {
        inFlight--;
    }

    private void figures(Map<String, Object> to) {
        int[][] windows = {{0, 1}, {1, 13}, {13, 20}, {20, WATCHED}};
        for (int[] window : windows) {
            long all = 0;
            long good = 0;
            long asked = 0;
            for (int i = window[0]; i < window[1]; i++) {
                all += came[i];
                good += inTime[i];
                asked += probes[i];
            }
            String name = "s" + window[0] + "_to_" + window[1];
            to.put(name + "_in_time", (double) good / all);
            to.put(name + "_probes_a_txn", (double) asked / all);
        }
        int over = WATCHED;
        while (over > 0 && inTime[over - 1] >= WELL * came[over - 1]) {
            over--;
        }
        to.put("well_again_after_s", over);
        to.put("most_in_hand", maxInFlight);
        to.put("stale", stale);
        hit.forEach((read, counts) -> to.put(
                "hit_groups_" + read.name().toLowerCase(Locale.ROOT) + "_in_time",
                counts[0] == 0 ? 0 : (double) counts[1] / counts[0]));
    }

    /** Prints each size, a line of JSON each: {@code [seed]}. */
    public static void main(String[] args) throws JsonProcessingException {
        for (int groups : Positions.SIZES) {
            System.out.println(
                    new ObjectMapper().writeValueAsString(run(groups, args.length > 0 ? Long.parseLong(args[0]) : 1)));
        }
    }
}
