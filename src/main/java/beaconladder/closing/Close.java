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
 * A close that comes on business days at a local time.
 *
 * @param name of the close
 * @param zone whose clocks tell the time
 * @param at the local time
 * @param days of the week on which there is business
 * @param holidays on which there is none
 * @param from the first day that it is for
 * @param to the last day that it is for
 */
public record Close(
        String name,
        ZoneId zone,
        LocalTime at,
        Set<DayOfWeek> days,
        Set<LocalDate> holidays,
        LocalDate from,
        LocalDate to) {

    /** Whether there is business on this day. */
    public boolean on(LocalDate day) {
        return days.contains(day.getDayOfWeek()) && !holidays.contains(day) && !day.isBefore(from) && !day.isAfter(to);
    }

    /**
     * The one instant of this day's close, on any day: where clocks are put forward over it, the moment at which they
     * are; where they show it twice, the first time, as the business was told of that one.
     */
    public Instant instant(LocalDate day) {
        LocalDateTime local = day.atTime(at);
        ZoneOffsetTransition change = zone.getRules().getTransition(local);
        return change != null && change.isGap()
                ? change.getInstant()
                : local.atZone(zone).toInstant();
    }
}
