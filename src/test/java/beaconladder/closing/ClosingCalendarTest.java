package beaconladder.closing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ClosingCalendarTest {
    private static final List<String> ZONES =
            List.of("America/Santiago", "Europe/Lisbon", "Asia/Kolkata", "Australia/Lord_Howe", "Pacific/Apia", "UTC");
    private static final Set<DayOfWeek> WORKDAYS = EnumSet.range(DayOfWeek.MONDAY, DayOfWeek.FRIDAY);

    /** However an interval is divided, each business day in it has one close, and no other day has any. */
    @Property(tries = 200, seed = "1")
    void eachBusinessDayClosesOnceHoweverTimeIsDivided(
            @ForAll @IntRange(max = 5) int zone,
            @ForAll @IntRange(max = 86_399) int secondOfDay,
            @ForAll @IntRange(min = 1, max = 400_000) int step,
            @ForAll @IntRange(max = 700) int first) {
        DailyClose close = close(ZONES.get(zone), LocalTime.ofSecondOfDay(secondOfDay));
        ClosingCalendar calendar = new ClosingCalendar(List.of(close), Duration.ZERO);
        Instant from = Instant.parse("2026-01-01T00:00:00Z").plus(Duration.ofDays(first));
        Instant to = from.plus(Duration.ofDays(40));
        List<ClosingCalendar.ScheduledClose> found = new ArrayList<>();
        for (Instant now = from; now.isBefore(to); now = now.plusSeconds(step)) {
            Instant next = now.plusSeconds(step);
            found.addAll(calendar.closesBetween(now, next.isBefore(to) ? next : to));
        }
        List<LocalDate> days =
                found.stream().map(ClosingCalendar.ScheduledClose::day).toList();
        assertThat(days).doesNotHaveDuplicates();
        assertThat(new HashSet<>(days)).allMatch(close::isBusinessDay);
        LocalDate day = from.atZone(close.zone()).toLocalDate().plusDays(1);
        for (; close.instantOf(day).isBefore(to); day = day.plusDays(1)) {
            assertThat(days.contains(day)).as(String.valueOf(day)).isEqualTo(close.isBusinessDay(day));
        }
    }

    /** Santiago's clocks go back at the end of 4 April 2026, and forward at the end of 5 September 2026. */
    @Test
    void dayWhoseLocalTimeOccursTwiceOrNeverClosesOnce() {
        DailyClose twice = close("America/Santiago", LocalTime.of(23, 30));
        assertThat(twice.instantOf(LocalDate.of(2026, 4, 4))).isEqualTo(Instant.parse("2026-04-05T02:30:00Z"));
        DailyClose none = close("America/Santiago", LocalTime.of(0, 30));
        assertThat(none.instantOf(LocalDate.of(2026, 9, 6))).isEqualTo(Instant.parse("2026-09-06T04:00:00Z"));
        // Apia skipped 30 December 2011.
        DailyClose skipped = close("Pacific/Apia", LocalTime.of(18, 0));
        assertThat(skipped.instantOf(LocalDate.of(2011, 12, 30))).isEqualTo(Instant.parse("2011-12-30T10:00:00Z"));
    }

    @Test
    void holidaysAndWeekendsAreSkippedAndZonesCloseInOrderOfTheirInstants() {
        DailyClose east = new DailyClose(
                "east",
                ZoneId.of("Asia/Kolkata"),
                LocalTime.of(18, 0),
                WORKDAYS,
                Set.of(LocalDate.of(2026, 12, 25)),
                LocalDate.MIN,
                LocalDate.MAX);
        DailyClose west = new DailyClose(
                "west",
                ZoneId.of("America/Santiago"),
                LocalTime.of(18, 0),
                WORKDAYS,
                Set.of(LocalDate.of(2026, 12, 25)),
                LocalDate.MIN,
                LocalDate.MAX);
        ClosingCalendar calendar = new ClosingCalendar(List.of(west, east), Duration.ofMillis(50));
        Instant eve = Instant.parse("2026-12-24T11:00:00Z");
        assertThat(calendar.closesBetween(eve, eve.plus(Duration.ofDays(5))).stream()
                        .map(ClosingCalendar.ScheduledClose::key))
                .containsExactly("east 2026-12-24", "west 2026-12-24", "east 2026-12-28", "west 2026-12-28");
        assertThat(calendar.nextClose(Instant.parse("2026-12-25T00:00:00Z")).key())
                .isEqualTo("east 2026-12-28");
        assertThat(calendar.newestCloseInstant(Instant.parse("2026-12-27T00:00:00Z")))
                .isEqualTo(Instant.parse("2026-12-24T21:00:00Z"));
    }

    /** A clock that is behind by the bound must not place a read after a close before it. */
    @Test
    void closeAppliesEarlierByTheClockBound() {
        ClosingCalendar calendar =
                new ClosingCalendar(List.of(close("UTC", LocalTime.of(18, 0))), Duration.ofMillis(50));
        Instant close = Instant.parse("2026-12-02T18:00:00Z");
        assertThat(calendar.newestCloseInstant(close.minusMillis(50))).isEqualTo(close);
        assertThat(calendar.newestCloseInstant(close.minusMillis(51))).isEqualTo(close.minus(Duration.ofDays(1)));
        assertThat(calendar.isNear(close.minusSeconds(59), Duration.ofMinutes(1)))
                .isTrue();
        assertThat(calendar.isNear(close.minusSeconds(61), Duration.ofMinutes(1)))
                .isFalse();
    }

    /** A change within the lead time is rejected, because it might not reach all routers before the close. */
    @Test
    void changesWithinTheLeadTimeAndOverlappingClosesAreRejected() {
        LocalDate day = LocalDate.of(2026, 12, 10);
        ClosingCalendar before = new ClosingCalendar(List.of(close("UTC", LocalTime.of(18, 0))), Duration.ofMillis(50));
        ClosingCalendar after = new ClosingCalendar(
                List.of(
                        between(LocalTime.of(18, 0), LocalDate.MIN, day.minusDays(1)),
                        between(LocalTime.of(17, 0), day, LocalDate.MAX)),
                Duration.ofMillis(50));
        Duration leadTime = Duration.ofHours(6);
        assertThat(after.replacementError(before, Instant.parse("2026-12-10T10:59:00Z"), leadTime))
                .isNull();
        assertThat(after.replacementError(before, Instant.parse("2026-12-10T11:01:00Z"), leadTime))
                .contains("lead time");
        ClosingCalendar twice = new ClosingCalendar(
                List.of(
                        between(LocalTime.of(18, 0), LocalDate.MIN, day),
                        between(LocalTime.of(17, 0), day, LocalDate.MAX)),
                Duration.ofMillis(50));
        assertThat(twice.validationError()).contains("same days");
    }

    private static DailyClose close(String zone, LocalTime localTime) {
        return new DailyClose(
                "day",
                ZoneId.of(zone),
                localTime,
                EnumSet.allOf(DayOfWeek.class),
                Set.of(),
                LocalDate.MIN,
                LocalDate.MAX);
    }

    private static DailyClose between(LocalTime localTime, LocalDate from, LocalDate to) {
        return new DailyClose("day", ZoneId.of("UTC"), localTime, EnumSet.allOf(DayOfWeek.class), Set.of(), from, to);
    }
}
