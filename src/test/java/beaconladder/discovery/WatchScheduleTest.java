package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class WatchScheduleTest {
    private static final int CALLS = 200;

    /**
     * After any earlier calls and with any grace period, a watch that is lost as it starts times out early enough that
     * a call for a slow discovery and one more are complete before its changes count as notified.
     *
     * @param outcomes the outcome of each earlier call: -2 for a failure, -1 for a timeout, otherwise the latency in ms
     */
    @Property(seed = "1")
    void lostWatchIsFollowedByTwoCallsBeforeItsChangesCountAsNotified(
            @ForAll @Size(max = 40) List<@IntRange(min = -2, max = 2_400) Integer> outcomes,
            @ForAll @IntRange(min = 100, max = 5_000) int graceMillis) {
        WatchSchedule schedule = new WatchSchedule(graceMillis, 1);
        int lastLatencyMillis = 0;
        boolean isWatching = false;
        for (int elapsedMillis : outcomes) {
            DiscoverySchedule.Call call = schedule.nextCall(isWatching);
            if (elapsedMillis == -2) {
                assertThat(schedule.onFailure()).isBetween(1, 500);
                isWatching = false;
            } else if (elapsedMillis == -1 || elapsedMillis > call.timeoutMillis()) {
                schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
                isWatching = false;
            } else {
                assertThat(schedule.onResponse(call, elapsedMillis * 1_000_000L, elapsedMillis % 2 == 0))
                        .isBetween(0, 200);
                lastLatencyMillis = call.waitMillis() == 0 ? elapsedMillis : lastLatencyMillis;
                isWatching = true;
            }
        }
        if (!isWatching) {
            schedule.onResponse(schedule.nextCall(false), 5_000_000, true);
            lastLatencyMillis = 5;
        }
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        DiscoverySchedule.Call next = schedule.nextCall(false);
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        // Responds as fast as for the last complete list; a discovery slower than a second is reached by the first
        // call.
        int receivedMillis = lastLatencyMillis > 1_000
                ? watch.timeoutMillis() + lastLatencyMillis
                : watch.timeoutMillis() + next.timeoutMillis() + lastLatencyMillis;
        assertThat(receivedMillis).isLessThan(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(lastLatencyMillis);
        // A long wait is requested, but the router itself times out earlier and has time to fetch missed changes.
        assertThat(watch.waitMillis()).isEqualTo(20_000);
        assertThat(watch.timeoutMillis()).isBetween(lastLatencyMillis + 1, 4_600);
    }

    /** After an outage the list of a fast discovery is fetched within the grace period. */
    @Property(seed = "1")
    void listIsFetchedWithinTheGraceAfterAnOutage(
            @ForAll @IntRange(max = 100) int timeouts,
            @ForAll @IntRange(min = 450, max = 5_000) int graceMillis,
            @ForAll @IntRange(max = 20) int elapsedMillis) {
        WatchSchedule schedule = new WatchSchedule(graceMillis, 1);
        schedule.onResponse(schedule.nextCall(false), elapsedMillis * 1_000_000L, true);
        for (int i = 0; i < timeouts; i++) {
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        }
        // Discovery recovers right after this call was lost.
        int lostCallMillis = schedule.nextCall(false).timeoutMillis();
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(elapsedMillis);
        assertThat(lostCallMillis + elapsedMillis).isLessThanOrEqualTo(graceMillis + 50);
    }

    /** The next calls of watches that started together are spread over half a second. */
    @Property(seed = "1", tries = 20)
    void watchesOfAFleetSpreadTheirCalls(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        Set<Integer> timeoutsIn50Millis = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            WatchSchedule schedule = new WatchSchedule(2_000, seed + i);
            schedule.onResponse(schedule.nextCall(false), 5_000_000, true);
            timeoutsIn50Millis.add(schedule.nextCall(true).timeoutMillis() / 50);
        }
        assertThat(timeoutsIn50Millis).hasSizeGreaterThanOrEqualTo(9);
    }

    /**
     * Discovery is reached at any latency up to 2.5 s, and after the first success by each call. With a higher latency
     * no schedule of one call at a time can fetch, within six seconds, a change that is too late for the call in
     * flight.
     */
    @Property(seed = "1")
    void slowDiscoveryIsReached(@ForAll @IntRange(min = 1, max = DiscoverySchedule.MAX_CALL_MILLIS) int latencyMillis) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        int successes = 0;
        for (int i = 0; i < CALLS; i++) {
            DiscoverySchedule.Call call = schedule.nextCall(false);
            if (latencyMillis <= call.timeoutMillis()) {
                successes++;
                schedule.onResponse(call, latencyMillis * 1_000_000L, true);
            } else {
                schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
            }
        }
        assertThat(successes).isGreaterThan(CALLS - 25);
    }

    /** A discovery that was fast and becomes slow is still reached. */
    @Property(seed = "1")
    void discoveryThatBecomesSlowIsReached(@ForAll @IntRange(min = 1, max = 2_500) int latencyMillis) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        schedule.onResponse(schedule.nextCall(false), 1_000_000, true);
        int spentMillis = schedule.nextCall(true).timeoutMillis();
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        while (latencyMillis > schedule.nextCall(false).timeoutMillis()) {
            spentMillis += schedule.nextCall(false).timeoutMillis();
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        }
        assertThat(spentMillis + latencyMillis)
                .isLessThan(latencyMillis <= 1_500 ? DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS : 90_000);
    }

    /** A new address starts with the initial timeouts. */
    @Property(seed = "1")
    void resetForgetsThePreviousAddress(@ForAll @IntRange(max = 20) int timeouts) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        for (int i = 0; i < timeouts; i++) {
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
            schedule.onFailure();
        }
        schedule.reset();
        assertThat(schedule.nextCall(false).timeoutMillis()).isEqualTo(WatchSchedule.FIRST_CALL_TIMEOUT_MILLIS);
        assertThat(schedule.onFailure()).isBetween(25, 50);
    }
}
