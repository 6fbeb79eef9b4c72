package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Simulated fleets of schedules and one discovery of limited capacity. */
class PollScheduleTest {
    private static final int HOSTS = 40;
    private static final int CALL_COST = 30;
    private static final int QUEUE_MILLIS = 1_000;

    /** A fleet of routers that all start at once, or whose watches all break at once. */
    private static final class Fleet {
        private record Event(double at, int router, Runnable what) {}

        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparing(Event::at));
        private final DiscoverySchedule[] schedules;
        private final boolean[] hasList;
        private final boolean[] isWatching;
        private final double entryMillis;
        private double now;
        private double busyUntil;
        private int notified;
        private double allNotifiedAtMillis = -1;
        private int calls;
        private int rejected;

        /** One call of each router for the complete list takes discovery so many seconds. */
        Fleet(int routers, double allCallSeconds, LongFunction<DiscoverySchedule> each) {
            schedules = new DiscoverySchedule[routers];
            hasList = new boolean[routers];
            isWatching = new boolean[routers];
            entryMillis = allCallSeconds * 1_000 / routers / (HOSTS + CALL_COST);
            for (int i = 0; i < routers; i++) {
                schedules[i] = each.apply(i);
                call(i, 0);
            }
        }

        private void call(int i, double at) {
            events.add(new Event(at, i, () -> {
                DiscoverySchedule.Call call = schedules[i].nextCall(isWatching[i]);
                calls++;
                double cost = (CALL_COST + (hasList[i] ? 0 : HOSTS)) * entryMillis;
                double served = Math.max(busyUntil, now) + cost;
                if (served - now > QUEUE_MILLIS) {
                    rejected++;
                    isWatching[i] = false;
                    call(i, now + 1 + schedules[i].onRejected(call));
                    return;
                }
                busyUntil = served;
                double answer = served + call.waitMillis();
                if (answer - now > call.timeoutMillis()) {
                    isWatching[i] = false;
                    scheduleAfter(i, now + call.timeoutMillis(), () -> schedules[i].onTimeout(call));
                } else {
                    boolean isFirst = !hasList[i];
                    double elapsedMillis = answer - now;
                    scheduleAfter(i, answer, () -> {
                        isWatching[i] = true;
                        hasList[i] = true;
                        if (isFirst && ++notified == schedules.length) {
                            allNotifiedAtMillis = now;
                        }
                        return schedules[i].onAnswer(call, (long) (elapsedMillis * 1e6), isFirst);
                    });
                }
            }));
        }

        private void scheduleAfter(int i, double at, IntSupplier rest) {
            events.add(new Event(at, i, () -> call(i, now + rest.getAsInt())));
        }

        void until(double seconds) {
            calls = 0;
            rejected = 0;
            while (events.peek().at() < seconds * 1_000) {
                Event next = events.poll();
                now = next.at();
                next.what().run();
            }
        }
    }

    /**
     * If discovery serves one call of each router in eight seconds, a simultaneous start settles within three rounds.
     */
    @Property(seed = "1", tries = 30)
    void simultaneousStartSettlesSoonWithoutFurtherRejections(
            @ForAll @IntRange(max = 1_000) int seed,
            @ForAll @IntRange(min = 20, max = 1_000) int routers,
            @ForAll @IntRange(min = 2, max = 8) int turn) {
        Fleet fleet = new Fleet(routers, turn, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.until(60);
        assertThat(fleet.allNotifiedAtMillis).isBetween(0.0, 3_000.0 * turn + 6_000);
        fleet.until(120);
        assertThat(fleet.rejected).isLessThanOrEqualTo(fleet.calls / 20);
    }

    /** The size of the largest planned fleet. */
    @Property(seed = "1", tries = 2)
    void fleetOfFourThousandSettlesAsSoon(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(4_100, 5, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.until(60);
        assertThat(fleet.allNotifiedAtMillis).isBetween(0.0, 21_000.0);
        fleet.until(120);
        assertThat(fleet.rejected).isLessThanOrEqualTo(fleet.calls / 20);
    }

    /** Seven times too many for watches of three seconds: all are answered, and calls become rarer. */
    @Property(seed = "1", tries = 5)
    void fleetRecoversFromManyTimesTooManyCalls(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(1_000, 60, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.until(600);
        assertThat(fleet.allNotifiedAtMillis).isBetween(0.0, 600_000.0);
        fleet.until(900);
        assertThat(fleet.calls).isLessThan(1_000 * 300 / 10);
        assertThat(fleet.rejected).isLessThan(fleet.calls / 2);
    }

    /** The schedule for an agent, used with a shared discovery: shows that the test can detect an overload. */
    @Property(seed = "1", tries = 5)
    void agentScheduleOverloadsASharedDiscovery(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(200, 5, i -> new WatchSchedule(500, seed * 100_003L + i));
        fleet.until(60);
        assertThat(fleet.allNotifiedAtMillis).isEqualTo(-1);
    }

    /** Without rejections a lost watch is detected, and its changes are fetched, before they count. */
    @Property(seed = "1")
    void lostWatchIsDetectedBeforeItsChangesCount(
            @ForAll @IntRange(max = 1_000) int seed, @ForAll @IntRange(max = 400) int latencyMillis) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        schedule.onAnswer(schedule.nextCall(false), latencyMillis * 1_000_000L, true);
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        int rest = schedule.onTimeout(watch);
        assertThat(watch.timeoutMillis() + rest + 2 * latencyMillis).isLessThan(DiscoverySchedule.NOTIFIED_MILLIS);
        assertThat(schedule.nextCall(false).waitMillis()).isZero();
    }

    /** A rejection before it does not change that: the repeated watch has a short wait. */
    @Property(seed = "1")
    void lostWatchAfterARejectionIsDetectedBeforeItsChangesCount(
            @ForAll @IntRange(max = 1_000) int seed,
            @ForAll @IntRange(max = 400) int latencyMillis,
            @ForAll @IntRange(min = 1, max = 5) int rejections) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        schedule.onAnswer(schedule.nextCall(false), latencyMillis * 1_000_000L, true);
        schedule.onRejected(schedule.nextCall(true));
        for (int i = 1; i < rejections; i++) {
            schedule.onRejected(schedule.nextCall(false));
        }
        DiscoverySchedule.Call watch = schedule.nextCall(false);
        assertThat(watch.timeoutMillis() + schedule.onTimeout(watch) + latencyMillis)
                .isLessThan(DiscoverySchedule.NOTIFIED_MILLIS);
        // A change missed by a longer watch counts two seconds after its wait.
        schedule.onAnswer(watch, watch.waitMillis() * 1_000_000L, false);
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
        int lost = schedule.nextCall(false).timeoutMillis();
        assertThat(lost + schedule.onTimeout(schedule.nextCall(false)))
                .isLessThanOrEqualTo(DiscoverySchedule.NOTIFIED_MILLIS);
    }

    /** Who is refused comes again later and later by the mean, and then, without hope, later still. */
    @Property(seed = "1", tries = 20)
    void refusalsMakeCallsRarer(@ForAll @IntRange(max = 1_000) int seed) {
        double before = 0;
        for (int rejections : new int[] {1, 2, 3, 4, 12, 13, 14}) {
            double sum = 0;
            for (int i = 0; i < 300; i++) {
                PollSchedule schedule = new PollSchedule(10_000, seed * 1_009L + i);
                int rest = 0;
                for (int k = 0; k < rejections; k++) {
                    rest = schedule.onRejected(schedule.nextCall(false));
                }
                assertThat(rest).isBetween(0, 40_000);
                sum += rest;
            }
            assertThat(sum / 300).isGreaterThan(1.4 * before);
            before = sum / 300;
        }
    }
}
