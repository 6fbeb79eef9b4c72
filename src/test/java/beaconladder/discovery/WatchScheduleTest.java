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
        schedule.onTimeout(watch);
        assertThat(watch.timeoutMillis() + millisUntilAnswered(schedule, lastLatencyMillis))
                .isLessThan(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
        schedule.onTimeout(watch);
        DiscoverySchedule.Call lost = schedule.nextCall(false);
        schedule.onTimeout(lost);
        // A fast discovery is heard by the call after a lost one, a slow one by the patient call.
        DiscoverySchedule.Call patient = schedule.patientCall();
        assertThat(patient.timeoutMillis()).isGreaterThan(lastLatencyMillis);
        if (lastLatencyMillis <= 1_000) {
            assertThat(watch.timeoutMillis() + lost.timeoutMillis() + lastLatencyMillis)
                    .isLessThan(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
        }
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
     * Guards against a call that outlasts the grace after an outage: at an address that has never answered, or only
     * slowly, calls of up to 2.5 s were in flight.
     */
    @Property(seed = "1")
    void callsAreShorterThanTheGraceWhateverWasLearned(
            @ForAll @IntRange(max = 300) int timeouts,
            @ForAll @IntRange(min = 450, max = 5_000) int graceMillis,
            @ForAll @IntRange(max = 2_500) int earlierLatencyMillis,
            @ForAll @IntRange(max = 20) int elapsedMillis) {
        WatchSchedule schedule = new WatchSchedule(graceMillis, 1);
        schedule.onTimeout(schedule.nextCall(false));
        if (earlierLatencyMillis > 0) {
            schedule.onResponse(new DiscoverySchedule.Call(0, 2_500, 2_500), earlierLatencyMillis * 1_000_000L, true);
        }
        for (int i = 0; i < timeouts; i++) {
            schedule.onTimeout(schedule.nextCall(false));
        }
        int lostCallMillis = schedule.nextCall(false).timeoutMillis();
        schedule.onTimeout(schedule.nextCall(false));
        assertThat(schedule.nextCall(false).timeoutMillis()).isGreaterThan(elapsedMillis);
        assertThat(lostCallMillis + elapsedMillis).isLessThanOrEqualTo(Math.min(graceMillis, 2_000) + 50);
    }

    /** After refused calls, too, only the first call of a process is longer than the grace allows. */
    @Property(seed = "1")
    void callsAreShorterThanTheGraceAfterRefusals(@ForAll @IntRange(min = 450, max = 5_000) int graceMillis) {
        WatchSchedule schedule = new WatchSchedule(graceMillis, 1);
        schedule.onFailure();
        assertThat(schedule.nextCall(false).timeoutMillis()).isLessThanOrEqualTo(graceMillis / 2);
    }

    /**
     * Discovery is reached at any latency up to 2.5 s, each time, with short calls that it does not answer in between.
     * With a higher latency no schedule can fetch, within six seconds, a change that is too late for the call in
     * flight.
     */
    @Property(seed = "1")
    void slowDiscoveryIsReached(
            @ForAll @IntRange(min = 1, max = DiscoverySchedule.MAX_CALL_MILLIS) int latencyMillis,
            @ForAll @IntRange(min = 100, max = 5_000) int graceMillis) {
        WatchSchedule schedule = new WatchSchedule(graceMillis, 1);
        for (int i = 0; i < CALLS; i++) {
            assertThat(millisUntilAnswered(schedule, latencyMillis))
                    .isLessThan(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
            schedule.onTimeout(schedule.nextCall(true));
        }
    }

    /** A discovery that was fast and becomes slow is still reached. */
    @Property(seed = "1")
    void discoveryThatBecomesSlowIsReached(@ForAll @IntRange(min = 1, max = 2_500) int latencyMillis) {
        WatchSchedule schedule = new WatchSchedule(2_000, 1);
        schedule.onResponse(schedule.nextCall(false), 1_000_000, true);
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        schedule.onTimeout(watch);
        assertThat(watch.timeoutMillis() + millisUntilAnswered(schedule, latencyMillis))
                .isLessThan(latencyMillis <= 1_500 ? DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS : 9_000);
    }

    /**
     * Plays calls without a wait, and the patient calls beside them, to a discovery of this latency until one is
     * answered; returns the time that this takes.
     */
    private static int millisUntilAnswered(WatchSchedule schedule, int latencyMillis) {
        int nowMillis = 0;
        int patientAnsweredMillis = Integer.MAX_VALUE;
        while (nowMillis < 10 * DiscoverySchedule.MAX_CALL_MILLIS) {
            if (patientAnsweredMillis == Integer.MAX_VALUE && schedule.patientCall() != null) {
                assertThat(schedule.patientCall().timeoutMillis()).isGreaterThanOrEqualTo(latencyMillis);
                patientAnsweredMillis = nowMillis + latencyMillis;
            }
            DiscoverySchedule.Call call = schedule.nextCall(false);
            int endMillis = nowMillis + Math.min(call.timeoutMillis(), latencyMillis);
            if (patientAnsweredMillis <= endMillis || latencyMillis <= call.timeoutMillis()) {
                schedule.onResponse(call, latencyMillis * 1_000_000L, true);
                return Math.min(patientAnsweredMillis, endMillis);
            }
            schedule.onTimeout(call);
            nowMillis = endMillis;
        }
        throw new AssertionError("no call is answered with a latency of " + latencyMillis + " ms");
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
