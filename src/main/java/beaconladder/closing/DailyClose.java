package beaconladder.closing;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.zone.ZoneOffsetTransition;
import java.util.Set;

/**
 * A close on each business day at a local time.
 *
 * @param name of the close
 * @param zone of the local time
 * @param at the local time
 * @param days the business days of the week
 * @param holidays days without business
 * @param from the first day that it applies to
 * @param to the last day that it applies to
 */
public record DailyClose(
        String name,
        ZoneId zone,
        LocalTime at,
        Set<DayOfWeek> days,
        Set<LocalDate> holidays,
        LocalDate from,
        LocalDate to) {

    /** Whether this day is a business day. */
    public boolean isBusinessDay(LocalDate day) {
        return days.contains(day.getDayOfWeek()) && !holidays.contains(day) && !day.isBefore(from) && !day.isAfter(to);
    }

    /**
     * The one instant of this day's close, on any day. Where the local time is skipped by a change of clocks, the
     * instant of that change; where it occurs twice, the first time, which is the announced one.
     */
    public Instant instantOf(LocalDate day) {
        LocalDateTime local = day.atTime(at);
        ZoneOffsetTransition change = zone.getRules().getTransition(local);
        return change != null && change.isGap()
                ? change.getInstant()
                : local.atZone(zone).toInstant();
    }
}
