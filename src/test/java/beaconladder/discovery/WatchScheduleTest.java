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
     * Whatever came before, and however short the grace of drains: a watch that falls silent as it begins is broken so
     * early that a try for slow answers and one more fit in before its news count.
     */
    @Property(seed = "1")
    void aSilentWatchIsAskedAgainTwiceBeforeItsNewsCount(
            @ForAll @Size(max = 40) List<@IntRange(min = -2, max = 2_400) Integer> before,
            @ForAll @IntRange(min = 100, max = 5_000) int grace) {
        WatchSchedule schedule = new WatchSchedule(grace, 1);
        int slowest = 0;
        boolean listed = false;
        for (int took : before) {
            DiscoverySchedule.Call call = schedule.nextCall(listed);
            if (took == -2) {
                assertThat(schedule.onFailure()).isBetween(1, 500);
                listed = false;
            } else if (took == -1 || took > call.timeoutMillis()) {
                schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
                listed = false;
            } else {
                assertThat(schedule.onAnswer(call, took * 1_000_000L, took % 2 == 0))
                        .isBetween(0, 200);
                slowest = call.waitMillis() == 0 ? took : slowest;
                listed = true;
            }
        }
        if (!listed) {
            schedule.onAnswer(schedule.nextCall(false), 5_000_000, true);
            slowest = 5;
        }
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        DiscoverySchedule.Call next = schedule.nextCall(false);
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        // An answer as quick as the last whole list was; one that is slower than a second is heard at once.
        int heard = slowest > 1_000
                ? watch.timeoutMillis() + slowest
                : watch.timeoutMillis() + next.timeoutMillis() + slowest;
        assertThat(heard).isLessThan(DiscoverySchedule.NOTIFIED_MILLIS);
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(slowest);
        // Long said, and given up by the router itself; news have time to come meanwhile.
        assertThat(watch.waitMillis()).isEqualTo(20_000);
        assertThat(watch.timeoutMillis()).isBetween(slowest + 1, 4_600);
    }

    /** At the return of a quick discovery that was silent so long its list is heard within the grace. */
    @Property(seed = "1")
    void theEndOfAnOutageIsHeardWithinTheGrace(
            @ForAll @IntRange(max = 100) int silences,
            @ForAll @IntRange(min = 450, max = 5_000) int grace,
            @ForAll @IntRange(max = 20) int took) {
        WatchSchedule schedule = new WatchSchedule(grace, 1);
        schedule.onAnswer(schedule.nextCall(false), took * 1_000_000L, true);
        for (int i = 0; i < silences; i++) {
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        }
        // It returns right after this call was let go unheard.
        int lost = schedule.nextCall(false).timeoutMillis();
        schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(took);
        assertThat(lost + took).isLessThanOrEqualTo(grace + 50);
    }

    /** A fleet whose watches began together asks again spread over half a second. */
    @Property(seed = "1", tries = 20)
    void aFleetDoesNotAskAsOne(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        Set<Integer> waits = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            WatchSchedule schedule = new WatchSchedule(2_000, seed + i);
            schedule.onAnswer(schedule.nextCall(false), 5_000_000, true);
            waits.add(schedule.nextCall(true).timeoutMillis() / 50);
        }
        assertThat(waits).hasSizeGreaterThanOrEqualTo(9);
    }

    /**
     * However slow discovery is, its list is heard, and then at each call. Beyond two and a half seconds no schedule of
     * one call at a time knows in six seconds what began behind a call's snapshot.
     */
    @Property(seed = "1")
    void aSlowDiscoveryIsHeard(@ForAll @IntRange(min = 1, max = DiscoverySchedule.MAX_CALL_MILLIS) int millis) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        int heard = 0;
        for (int i = 0; i < CALLS; i++) {
            DiscoverySchedule.Call call = schedule.nextCall(false);
            if (millis <= call.timeoutMillis()) {
                heard++;
                schedule.onAnswer(call, millis * 1_000_000L, true);
            } else {
                schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
            }
        }
        assertThat(heard).isGreaterThan(CALLS - 25);
    }

    /** One that was quick and has become slow is heard too. */
    @Property(seed = "1")
    void aDiscoveryThatBecomesSlowIsHeard(@ForAll @IntRange(min = 1, max = 2_500) int millis) {
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

    /** A move forgets how slow the old address was. */
    @Property(seed = "1")
    void aMoveBeginsAnew(@ForAll @IntRange(max = 20) int silences) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        for (int i = 0; i < silences; i++) {
            schedule.onTimeout(new DiscoverySchedule.Call(0, 1, 1));
            schedule.onFailure();
        }
        schedule.reset();
        assertThat(schedule.nextCall(false).timeoutMillis()).isEqualTo(WatchSchedule.FIRST_MILLIS);
        assertThat(schedule.onFailure()).isBetween(25, 50);
    }
}
