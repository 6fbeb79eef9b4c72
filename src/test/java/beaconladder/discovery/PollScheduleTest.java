package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Fleets of schedules in a time of their own, before one discovery that bears so much and no more. */
class PollScheduleTest {
    private static final int HOSTS = 40;
    private static final int CALL_LINES = 30;
    private static final int QUEUE_MILLIS = 1_000;

    /** A fleet of routers that all start at once, or whose watches all break at once. */
    private static final class Fleet {
        private record Event(double at, int router, Runnable what) {}

        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparing(Event::at));
        private final DiscoverySchedule[] schedules;
        private final boolean[] listed;
        private final boolean[] goesOn;
        private final double lineMillis;
        private double now;
        private double busyUntil;
        private int heard;
        private double allHeardAt = -1;
        private int calls;
        private int refused;

        /** One call of all for the whole list takes discovery so many seconds. */
        Fleet(int routers, double allCallSeconds, LongFunction<DiscoverySchedule> each) {
            schedules = new DiscoverySchedule[routers];
            listed = new boolean[routers];
            goesOn = new boolean[routers];
            lineMillis = allCallSeconds * 1_000 / routers / (HOSTS + CALL_LINES);
            for (int i = 0; i < routers; i++) {
                schedules[i] = each.apply(i);
                call(i, 0);
            }
        }

        private void call(int i, double at) {
            events.add(new Event(at, i, () -> {
                DiscoverySchedule.Call call = schedules[i].nextCall(goesOn[i]);
                calls++;
                double cost = (CALL_LINES + (listed[i] ? 0 : HOSTS)) * lineMillis;
                double served = Math.max(busyUntil, now) + cost;
                if (served - now > QUEUE_MILLIS) {
                    refused++;
                    goesOn[i] = false;
                    call(i, now + 1 + schedules[i].onRejected(call));
                    return;
                }
                busyUntil = served;
                double answer = served + call.waitMillis();
                if (answer - now > call.timeoutMillis()) {
                    goesOn[i] = false;
                    later(i, now + call.timeoutMillis(), () -> schedules[i].onTimeout(call));
                } else {
                    boolean news = !listed[i];
                    double took = answer - now;
                    later(i, answer, () -> {
                        goesOn[i] = true;
                        listed[i] = true;
                        if (news && ++heard == schedules.length) {
                            allHeardAt = now;
                        }
                        return schedules[i].onAnswer(call, (long) (took * 1e6), news);
                    });
                }
            }));
        }

        private void later(int i, double at, IntSupplier rest) {
            events.add(new Event(at, i, () -> call(i, now + rest.getAsInt())));
        }

        void until(double seconds) {
            calls = 0;
            refused = 0;
            while (events.peek().at() < seconds * 1_000) {
                Event next = events.poll();
                now = next.at();
                next.what().run();
            }
        }
    }

    /** Where discovery bears a call of each in eight seconds a start together is over within three turns. */
    @Property(seed = "1", tries = 30)
    void aStartTogetherIsOverSoonAndThenNobodyIsRefused(
            @ForAll @IntRange(max = 1_000) int seed,
            @ForAll @IntRange(min = 20, max = 1_000) int routers,
            @ForAll @IntRange(min = 2, max = 8) int turn) {
        Fleet fleet = new Fleet(routers, turn, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.until(60);
        assertThat(fleet.allHeardAt).isBetween(0.0, 3_000.0 * turn + 6_000);
        fleet.until(120);
        assertThat(fleet.refused).isLessThanOrEqualTo(fleet.calls / 20);
    }

    /** The size of the fleet that is to come. */
    @Property(seed = "1", tries = 2)
    void aFleetOfFourThousandIsNoWorse(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(4_100, 5, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.until(60);
        assertThat(fleet.allHeardAt).isBetween(0.0, 21_000.0);
        fleet.until(120);
        assertThat(fleet.refused).isLessThanOrEqualTo(fleet.calls / 20);
    }

    /** Seven times too many for watches that end each three seconds: all are heard, and calls get rarer. */
    @Property(seed = "1", tries = 5)
    void whereCallsAreManyTimesTooManyTheFleetComesOutOfIt(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(1_000, 60, i -> new PollSchedule(10_000, seed * 100_003L + i));
        fleet.until(600);
        assertThat(fleet.allHeardAt).isBetween(0.0, 600_000.0);
        fleet.until(900);
        assertThat(fleet.calls).isLessThan(1_000 * 300 / 10);
        assertThat(fleet.refused).isLessThan(fleet.calls / 2);
    }

    /** The schedule of a pushed list, in the same place: what the test is able to see. */
    @Property(seed = "1", tries = 5)
    void theScheduleOfAPushedListKeepsDiscoveryDown(@ForAll @IntRange(max = 1_000) int seed) {
        Fleet fleet = new Fleet(200, 5, i -> new WatchSchedule(500, seed * 100_003L + i));
        fleet.until(60);
        assertThat(fleet.allHeardAt).isEqualTo(-1);
    }

    /** While nobody is refused a silent watch is found, and its news are heard, before they count. */
    @Property(seed = "1")
    void aSilentWatchIsFoundBeforeItsNewsCount(
            @ForAll @IntRange(max = 1_000) int seed, @ForAll @IntRange(max = 400) int beyond) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        schedule.onAnswer(schedule.nextCall(false), beyond * 1_000_000L, true);
        DiscoverySchedule.Call watch = schedule.nextCall(true);
        int rest = schedule.onTimeout(watch);
        assertThat(watch.timeoutMillis() + rest + 2 * beyond).isLessThan(DiscoverySchedule.NOTIFIED_MILLIS);
        assertThat(schedule.nextCall(false).waitMillis()).isZero();
    }

    /** Nor does a refusal before it change that: the watch behind it says a short wait. */
    @Property(seed = "1")
    void aSilentWatchBehindARefusalIsFoundBeforeItsNewsCount(
            @ForAll @IntRange(max = 1_000) int seed,
            @ForAll @IntRange(max = 400) int beyond,
            @ForAll @IntRange(min = 1, max = 5) int refusals) {
        PollSchedule schedule = new PollSchedule(10_000, seed);
        schedule.onAnswer(schedule.nextCall(false), beyond * 1_000_000L, true);
        schedule.onRejected(schedule.nextCall(true));
        for (int i = 1; i < refusals; i++) {
            schedule.onRejected(schedule.nextCall(false));
        }
        DiscoverySchedule.Call watch = schedule.nextCall(false);
        assertThat(watch.timeoutMillis() + schedule.onTimeout(watch) + beyond)
                .isLessThan(DiscoverySchedule.NOTIFIED_MILLIS);
        // What a longer one misses counts two seconds after its wait.
        schedule.onAnswer(watch, watch.waitMillis() * 1_000_000L, false);
        DiscoverySchedule.Call longer = schedule.nextCall(true);
        assertThat(longer.timeoutMillis() + schedule.onTimeout(longer) + beyond)
                .isLessThan(longer.waitMillis() + 2_000);
    }

    /** An outage's end is heard within what counts as told, however long it was, up to half a minute. */
    @Property(seed = "1")
    void theEndOfAnOutageIsHeardInTime(
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
        for (int refusals : new int[] {1, 2, 3, 4, 12, 13, 14}) {
            double sum = 0;
            for (int i = 0; i < 300; i++) {
                PollSchedule schedule = new PollSchedule(10_000, seed * 1_009L + i);
                int rest = 0;
                for (int k = 0; k < refusals; k++) {
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
