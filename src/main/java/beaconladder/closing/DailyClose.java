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
 * @param name the name of the close
 * @param zone the time zone of the local time
 * @param localTime the local time of the close
 * @param businessDays the business days of the week
 * @param holidays the days without business
 * @param from the first day that the close applies to
 * @param to the last day that the close applies to
 */
public record DailyClose(
        String name,
        ZoneId zone,
        LocalTime localTime,
        Set<DayOfWeek> businessDays,
        Set<LocalDate> holidays,
        LocalDate from,
        LocalDate to) {

    /** Returns whether the close applies to this day and the day is a business day. */
    public boolean isBusinessDay(LocalDate day) {
        return businessDays.contains(day.getDayOfWeek())
                && !holidays.contains(day)
                && !day.isBefore(from)
                && !day.isAfter(to);
    }

    /**
     * Returns the instant of the close on this day, business day or not. If a change of the zone's offset skips the
     * local time, it is the instant of that change; if the local time occurs twice, it is the first occurrence, which
     * is the announced one.
     */
    public Instant instantOf(LocalDate day) {
        LocalDateTime local = day.atTime(localTime);
        ZoneOffsetTransition change = zone.getRules().getTransition(local);
        return change != null && change.isGap()
                ? change.getInstant()
                : local.atZone(zone).toInstant();
    }
}
