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
     * Whatever happened before, and however short the grace period: a watch that is lost as it starts times out so
     * early that a call for a slow discovery and one more fit in before its changes count.
     */
    @Property(seed = "1")
    void lostWatchIsFollowedByTwoCallsBeforeItsChangesCount(
            @ForAll @Size(max = 40) List<@IntRange(min = -2, max = 2_400) Integer> before,
            @ForAll @IntRange(min = 100, max = 5_000) int grace) {
        WatchSchedule schedule = new WatchSchedule(grace, 1);
        int slowest = 0;
        boolean isWatching = false;
        for (int elapsedMillis : before) {
            DiscoverySchedule.Call call = schedule.nextCall(isWatching);
            if (elapsedMillis == -2) {
                assertThat(schedule.onFailure()).isBetween(1, 500);
                isWatching = false;
            } else if (elapsedMillis == -1 || elapsedMillis > call.timeoutMillis()) {
                schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
                isWatching = false;
            } else {
                assertThat(schedule.onAnswer(call, elapsedMillis * 1_000_000L, elapsedMillis % 2 == 0))
                        .isBetween(0, 200);
                slowest = call.waitMillis() == 0 ? elapsedMillis : slowest;
                isWatching = true;
            }
        }
        if (!isWatching) {
            schedule.onAnswer(schedule.nextCall(false), 5_000_000, true);
            slowest = 5;
        }
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        DiscoverySchedule.Call next = schedule.nextCall(false);
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        // An answer as fast as the last complete list; a discovery slower than a second is reached by the first call.
        int receivedMillis = slowest > 1_000
                ? watch.timeoutMillis() + slowest
                : watch.timeoutMillis() + next.timeoutMillis() + slowest;
        assertThat(receivedMillis).isLessThan(DiscoverySchedule.NOTIFIED_MILLIS);
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(slowest);
        // A long wait is requested, and the router itself times out earlier; changes have time to arrive in between.
        assertThat(watch.waitMillis()).isEqualTo(20_000);
        assertThat(watch.timeoutMillis()).isBetween(slowest + 1, 4_600);
    }

    /** After an outage the list of a fast discovery is fetched within the grace period. */
    @Property(seed = "1")
    void listIsFetchedWithinTheGraceAfterAnOutage(
            @ForAll @IntRange(max = 100) int timeouts,
            @ForAll @IntRange(min = 450, max = 5_000) int grace,
            @ForAll @IntRange(max = 20) int elapsedMillis) {
        WatchSchedule schedule = new WatchSchedule(grace, 1);
        schedule.onAnswer(schedule.nextCall(false), elapsedMillis * 1_000_000L, true);
        for (int i = 0; i < timeouts; i++) {
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        }
        // Discovery returns right after this call was lost.
        int lost = schedule.nextCall(false).timeoutMillis();
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(elapsedMillis);
        assertThat(lost + elapsedMillis).isLessThanOrEqualTo(grace + 50);
    }

    /** Watches that started together call again spread over half a second. */
    @Property(seed = "1", tries = 20)
    void watchesOfAFleetSpreadTheirCalls(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        Set<Integer> waits = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            WatchSchedule schedule = new WatchSchedule(2_000, seed + i);
            schedule.onAnswer(schedule.nextCall(false), 5_000_000, true);
            waits.add(schedule.nextCall(true).timeoutMillis() / 50);
        }
        assertThat(waits).hasSizeGreaterThanOrEqualTo(9);
    }

    /**
     * However slow discovery is, its list is fetched, and then at each call. Beyond two and a half seconds no schedule
     * of one call at a time fetches within six seconds a change that follows a call's snapshot.
     */
    @Property(seed = "1")
    void slowDiscoveryIsReached(@ForAll @IntRange(min = 1, max = DiscoverySchedule.MAX_CALL_MILLIS) int millis) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        int answers = 0;
        for (int i = 0; i < CALLS; i++) {
            DiscoverySchedule.Call call = schedule.nextCall(false);
            if (millis <= call.timeoutMillis()) {
                answers++;
                schedule.onAnswer(call, millis * 1_000_000L, true);
            } else {
                schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
            }
        }
        assertThat(answers).isGreaterThan(CALLS - 25);
    }

    /** A discovery that was fast and becomes slow is reached, too. */
    @Property(seed = "1")
    void discoveryThatBecomesSlowIsReached(@ForAll @IntRange(min = 1, max = 2_500) int millis) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        schedule.onAnswer(schedule.nextCall(false), 1_000_000, true);
        int spent = schedule.nextCall(true).timeoutMillis();
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        while (millis > schedule.nextCall(false).timeoutMillis()) {
            spent += schedule.nextCall(false).timeoutMillis();
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        }
        assertThat(spent + millis).isLessThan(millis <= 1_500 ? DiscoverySchedule.NOTIFIED_MILLIS : 90_000);
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
        assertThat(schedule.nextCall(false).timeoutMillis()).isEqualTo(WatchSchedule.FIRST_MILLIS);
        assertThat(schedule.onFailure()).isBetween(25, 50);
    }
}
