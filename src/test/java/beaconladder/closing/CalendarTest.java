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

class CalendarTest {
    private static final List<String> ZONES =
            List.of("America/Santiago", "Europe/Lisbon", "Asia/Kolkata", "Australia/Lord_Howe", "Pacific/Apia", "UTC");
    private static final Set<DayOfWeek> WORKDAYS = EnumSet.range(DayOfWeek.MONDAY, DayOfWeek.FRIDAY);

    /** However a stretch of time is cut up, each business day closes once in it, and none on other days. */
    @Property(tries = 200, seed = "1")
    void eachBusinessDayClosesOnceHoweverOftenIsLooked(
            @ForAll @IntRange(max = 5) int zone,
            @ForAll @IntRange(max = 86_399) int at,
            @ForAll @IntRange(min = 1, max = 400_000) int step,
            @ForAll @IntRange(max = 700) int first) {
        Close close = close(ZONES.get(zone), LocalTime.ofSecondOfDay(at));
        Calendar calendar = new Calendar(List.of(close), Duration.ZERO);
        Instant from = Instant.parse("2026-01-01T00:00:00Z").plus(Duration.ofDays(first));
        Instant to = from.plus(Duration.ofDays(40));
        List<Calendar.Due> found = new ArrayList<>();
        for (Instant now = from; now.isBefore(to); now = now.plusSeconds(step)) {
            Instant next = now.plusSeconds(step);
            found.addAll(calendar.between(now, next.isBefore(to) ? next : to));
        }
        List<LocalDate> days = found.stream().map(Calendar.Due::day).toList();
        assertThat(days).doesNotHaveDuplicates();
        assertThat(new HashSet<>(days)).allMatch(close::on);
        LocalDate day = from.atZone(close.zone()).toLocalDate().plusDays(1);
        for (; close.instant(day).isBefore(to); day = day.plusDays(1)) {
            assertThat(days.contains(day)).as(String.valueOf(day)).isEqualTo(close.on(day));
        }
    }

    /** Santiago puts its clocks back at the end of 4 April 2026, and forward at that of 5 September. */
    @Test
    void aDayWithTwoOrNoSuchTimesClosesOnce() {
        Close twice = close("America/Santiago", LocalTime.of(23, 30));
        assertThat(twice.instant(LocalDate.of(2026, 4, 4))).isEqualTo(Instant.parse("2026-04-05T02:30:00Z"));
        Close none = close("America/Santiago", LocalTime.of(0, 30));
        assertThat(none.instant(LocalDate.of(2026, 9, 6))).isEqualTo(Instant.parse("2026-09-06T04:00:00Z"));
        // Apia left out 30 December 2011.
        Close gone = close("Pacific/Apia", LocalTime.of(18, 0));
        assertThat(gone.instant(LocalDate.of(2011, 12, 30))).isEqualTo(Instant.parse("2011-12-30T10:00:00Z"));
    }

    @Test
    void holidaysAndWeekendsAreLeaptOverAndTwoZonesCloseInTheOrderOfTheirInstants() {
        Close east = new Close(
                "east",
                ZoneId.of("Asia/Kolkata"),
                LocalTime.of(18, 0),
                WORKDAYS,
                Set.of(LocalDate.of(2026, 12, 25)),
                LocalDate.MIN,
                LocalDate.MAX);
        Close west = new Close(
                "west",
                ZoneId.of("America/Santiago"),
                LocalTime.of(18, 0),
                WORKDAYS,
                Set.of(LocalDate.of(2026, 12, 25)),
                LocalDate.MIN,
                LocalDate.MAX);
        Calendar calendar = new Calendar(List.of(west, east), Duration.ofMillis(50));
        Instant eve = Instant.parse("2026-12-24T11:00:00Z");
        assertThat(calendar.between(eve, eve.plus(Duration.ofDays(5))).stream().map(Calendar.Due::key))
                .containsExactly("east 2026-12-24", "west 2026-12-24", "east 2026-12-28", "west 2026-12-28");
        assertThat(calendar.next(Instant.parse("2026-12-25T00:00:00Z")).key()).isEqualTo("east 2026-12-28");
        assertThat(calendar.floor(Instant.parse("2026-12-27T00:00:00Z")))
                .isEqualTo(Instant.parse("2026-12-24T21:00:00Z"));
    }

    /** A clock that is late by the bound must not take what came after a close for what came before it. */
    @Test
    void aCloseBindsSoonerByTheBoundOfTheClock() {
        Calendar calendar = new Calendar(List.of(close("UTC", LocalTime.of(18, 0))), Duration.ofMillis(50));
        Instant close = Instant.parse("2026-12-02T18:00:00Z");
        assertThat(calendar.floor(close.minusMillis(50))).isEqualTo(close);
        assertThat(calendar.floor(close.minusMillis(51))).isEqualTo(close.minus(Duration.ofDays(1)));
        assertThat(calendar.near(close.minusSeconds(59), Duration.ofMinutes(1))).isTrue();
        assertThat(calendar.near(close.minusSeconds(61), Duration.ofMinutes(1))).isFalse();
    }

    /** A change of the calendar reaches all before it counts, or counts nowhere. */
    @Test
    void aChangeWithinTheLeadTimeIsRefusedAndTwoOfANameForTheSameDaysAre() {
        LocalDate day = LocalDate.of(2026, 12, 10);
        Calendar before = new Calendar(List.of(close("UTC", LocalTime.of(18, 0))), Duration.ofMillis(50));
        Calendar after = new Calendar(
                List.of(
                        span(LocalTime.of(18, 0), LocalDate.MIN, day.minusDays(1)),
                        span(LocalTime.of(17, 0), day, LocalDate.MAX)),
                Duration.ofMillis(50));
        Duration lead = Duration.ofHours(6);
        assertThat(after.objection(before, Instant.parse("2026-12-10T10:59:00Z"), lead))
                .isNull();
        assertThat(after.objection(before, Instant.parse("2026-12-10T11:01:00Z"), lead))
                .contains("lead time");
        Calendar twice = new Calendar(
                List.of(span(LocalTime.of(18, 0), LocalDate.MIN, day), span(LocalTime.of(17, 0), day, LocalDate.MAX)),
                Duration.ofMillis(50));
        assertThat(twice.objection()).contains("same days");
    }

    private static Close close(String zone, LocalTime at) {
        return new Close(
                "day", ZoneId.of(zone), at, EnumSet.allOf(DayOfWeek.class), Set.of(), LocalDate.MIN, LocalDate.MAX);
    }

    private static Close span(LocalTime at, LocalDate from, LocalDate to) {
        return new Close("day", ZoneId.of("UTC"), at, EnumSet.allOf(DayOfWeek.class), Set.of(), from, to);
    }
}
