package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Simulates fleets of schedules that call one discovery of limited capacity. */
class PollScheduleTest {
    private static final int HOSTS = 40;
    private static final int CALL_COST = 30;
    private static final int MAX_QUEUE_MILLIS = 1_000;

    /** A fleet of routers that all start at once, with one discovery that queues their calls. */
    private static final class Fleet {
        private record Event(double atMillis, int router, Runnable action) {}

        private final PriorityQueue<Event> pendingEvents = new PriorityQueue<>(Comparator.comparing(Event::atMillis));
        private final DiscoverySchedule[] schedules;
        private final boolean[] hasList;
        private final boolean[] isWatching;
        private final double entryMillis;
        private double nowMillis;
        private double busyUntilMillis;
        private int notified;
        private double allNotifiedAtMillis = -1;
        private int calls;
        private int rejected;

        /**
         * Creates a fleet whose routers all call at time 0.
         *
         * @param allCallSeconds how long discovery needs for one call of each router for the complete list
         */
        Fleet(int routers, double allCallSeconds, LongFunction<DiscoverySchedule> scheduleOf) {
            schedules = new DiscoverySchedule[routers];
            hasList = new boolean[routers];
            isWatching = new boolean[routers];
            entryMillis = allCallSeconds * 1_000 / routers / (HOSTS + CALL_COST);
            for (int i = 0; i < routers; i++) {
                schedules[i] = scheduleOf.apply(i);
                call(i, 0);
            }
        }

        private void call(int i, double atMillis) {
            pendingEvents.add(new Event(atMillis, i, () -> {
                DiscoverySchedule.Call call = schedules[i].nextCall(isWatching[i]);
                calls++;
                double costMillis = (CALL_COST + (hasList[i] ? 0 : HOSTS)) * entryMillis;
                double servedAtMillis = Math.max(busyUntilMillis, nowMillis) + costMillis;
                if (servedAtMillis - nowMillis > MAX_QUEUE_MILLIS) {
                    rejected++;
                    isWatching[i] = false;
                    call(i, nowMillis + 1 + schedules[i].onRejected(call));
                    return;
                }
                busyUntilMillis = servedAtMillis;
                double respondedAtMillis = servedAtMillis + call.waitMillis();
                if (respondedAtMillis - nowMillis > call.timeoutMillis()) {
                    isWatching[i] = false;
                    scheduleAfter(i, nowMillis + call.timeoutMillis(), () -> schedules[i].onTimeout(call));
                } else {
                    boolean isFirst = !hasList[i];
                    double elapsedMillis = respondedAtMillis - nowMillis;
                    scheduleAfter(i, respondedAtMillis, () -> {
                        isWatching[i] = true;
                        hasList[i] = true;
                        if (isFirst && ++notified == schedules.length) {
                            allNotifiedAtMillis = nowMillis;
                        }
                        return schedules[i].onResponse(call, (long) (elapsedMillis * 1e6), isFirst);
                    });
                }
            }));
        }

        private void scheduleAfter(int i, double atMillis, IntSupplier delayMillis) {
            pendingEvents.add(new Event(atMillis, i, () -> call(i, nowMillis + delayMillis.getAsInt())));
        }

        void runUntil(double seconds) {
            calls = 0;
            rejected = 0;
            while (pendingEvents.peek().atMillis() < seconds * 1_000) {
                Event next = pendingEvents.poll();
                nowMillis = next.atMillis();
                next.action().run();
            }
        }
    }

    /**
     * If discovery needs 2 to 8 s (a round) to serve one call of each router, a simultaneous start is complete within
     * three rounds and 6 s, and few calls are rejected afterwards.
     */
    @Property(seed = "1", tries = 30)
    void simultaneousStartCompletesWithoutFurtherRejections(
            @ForAll @IntRange(max = 1_000) int seed,
            @ForAll @IntRange(min = 20, max = 1_000) int routers,
            @ForAll @IntRange(min = 2, max = 8) int roundSeconds) {
        Fleet fleet = new Fleet(routers, roundSeconds, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.runUntil(60);
        assertThat(fleet.allNotifiedAtMillis).isBetween(0.0, 3_000.0 * roundSeconds + 6_000);
        fleet.runUntil(120);
        assertThat(fleet.rejected).isLessThanOrEqualTo(fleet.calls / 20);
    }

    /** A fleet of the largest planned size starts as quickly. */
    @Property(seed = "1", tries = 2)
    void largestPlannedFleetStartsAsQuickly(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(4_100, 5, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.runUntil(60);
        assertThat(fleet.allNotifiedAtMillis).isBetween(0.0, 21_000.0);
        fleet.runUntil(120);
        assertThat(fleet.rejected).isLessThanOrEqualTo(fleet.calls / 20);
    }

    /** A load of seven times the capacity, with watches of 3 s: all routers are served, and calls become rarer. */
    @Property(seed = "1", tries = 5)
    void fleetRecoversFromSevenfoldOverload(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(1_000, 60, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.runUntil(600);
        assertThat(fleet.allNotifiedAtMillis).isBetween(0.0, 600_000.0);
        fleet.runUntil(900);
        assertThat(fleet.calls).isLessThan(1_000 * 300 / 10);
        assertThat(fleet.rejected).isLessThan(fleet.calls / 2);
    }

    /** The schedule for an agent overloads a shared discovery, which shows that this test can detect an overload. */
    @Property(seed = "1", tries = 5)
    void agentScheduleOverloadsASharedDiscovery(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(200, 5, i -> new WatchSchedule(500, seed * 100_003L + i));
        fleet.runUntil(60);
        assertThat(fleet.allNotifiedAtMillis).isEqualTo(-1);
    }

    /** Without rejections a lost watch is detected, and its changes are fetched, before they count as notified. */
    @Property(seed = "1")
    void lostWatchIsDetectedBeforeItsChangesCountAsNotified(
            @ForAll @IntRange(max = 1_000) int seed, @ForAll @IntRange(max = 400) int latencyMillis) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        schedule.onResponse(schedule.nextCall(false), latencyMillis * 1_000_000L, true);
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        int delayMillis = schedule.onTimeout(watch);
        assertThat(watch.timeoutMillis() + delayMillis + 2 * latencyMillis)
                .isLessThan(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
        assertThat(schedule.nextCall(false).waitMillis()).isZero();
    }

    /** After a rejection, too, a lost watch is detected in time: the retried watch has a short wait. */
    @Property(seed = "1")
    void lostWatchAfterARejectionIsDetectedBeforeItsChangesCountAsNotified(
            @ForAll @IntRange(max = 1_000) int seed,
            @ForAll @IntRange(max = 400) int latencyMillis,
            @ForAll @IntRange(min = 1, max = 5) int rejections) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        schedule.onResponse(schedule.nextCall(false), latencyMillis * 1_000_000L, true);
        schedule.onRejected(schedule.nextCall(true));
        for (int i = 1; i < rejections; i++) {
            schedule.onRejected(schedule.nextCall(false));
        }
        DiscoverySchedule.Call watch = schedule.nextCall(false);
        assertThat(watch.timeoutMillis() + schedule.onTimeout(watch) + latencyMillis)
                .isLessThan(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
        // A change that a longer watch misses counts as notified two seconds after its wait.
        schedule.onResponse(watch, watch.waitMillis() * 1_000_000L, false);
        DiscoverySchedule.Call longer = schedule.nextCall(true);
        assertThat(longer.timeoutMillis() + schedule.onTimeout(longer) + latencyMillis)
                .isLessThan(longer.waitMillis() + 2_000);
    }

    /** After an outage of up to half a minute the list is fetched within the notification limit. */
    @Property(seed = "1")
    void listIsFetchedInTimeAfterAnOutage(
            @ForAll @IntRange(max = 1_000) int seed, @ForAll @IntRange(max = 14) int failures) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        for (int i = 0; i < failures; i++) {
            schedule.onFailure();
        }
        int lostCallMillis = schedule.nextCall(false).timeoutMillis();
        assertThat(lostCallMillis + schedule.onTimeout(schedule.nextCall(false)))
                .isLessThanOrEqualTo(DiscoverySchedule.NOTIFICATION_LIMIT_MILLIS);
    }

    /** The mean backoff grows with each rejection, and again once an overload is assumed. */
    @Property(seed = "1", tries = 20)
    void rejectionsMakeCallsRarer(@ForAll @IntRange(max = 1_000) int seed) {
        double previousMeanMillis = 0;
        for (int rejections : new int[] {1, 2, 3, 4, 12, 13, 14}) {
            double sumMillis = 0;
            for (int i = 0; i < 300; i++) {
                PollSchedule schedule = new PollSchedule(10_000, seed * 1_009L + i);
                int delayMillis = 0;
                for (int k = 0; k < rejections; k++) {
                    delayMillis = schedule.onRejected(schedule.nextCall(false));
                }
                assertThat(delayMillis).isBetween(0, 40_000);
                sumMillis += delayMillis;
            }
            assertThat(sumMillis / 300).isGreaterThan(1.4 * previousMeanMillis);
            previousMeanMillis = sumMillis / 300;
        }
    }
}
