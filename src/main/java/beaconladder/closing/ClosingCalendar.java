package beaconladder.closing;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * All closes of an installation.
 *
 * @param closes the closes; to change a close, the calendar has two of the same name for different days
 * @param clockBound the largest difference between this router's clock and the true time
 */
public record ClosingCalendar(List<DailyClose> closes, Duration clockBound) {

    /** The close of one business day. */
    public record ScheduledClose(String name, LocalDate day, Instant instant) {
        /** Returns the unique name of this close, with its day. */
        public String key() {
            return name + " " + day;
        }
    }

    /** The days searched on either side of an interval; more than the difference between any two time zones. */
    private static final int ZONE_MARGIN_DAYS = 2;
    /** How far ahead the next close is searched. */
    private static final int SEARCH_DAYS = 366;
    /** How far back the newest close is searched; longer than any run of holidays. */
    private static final int LOOKBACK_DAYS = 15;

    /** Returns the closes after one instant, up to and including another, in order. */
    public List<ScheduledClose> closesBetween(Instant after, Instant to) {
        List<ScheduledClose> scheduled = new ArrayList<>();
        for (DailyClose close : closes) {
            LocalDate last = to.atZone(close.zone()).toLocalDate().plusDays(ZONE_MARGIN_DAYS);
            LocalDate day = after.atZone(close.zone()).toLocalDate().minusDays(ZONE_MARGIN_DAYS);
            for (; !day.isAfter(last); day = day.plusDays(1)) {
                Instant instant = close.isBusinessDay(day) ? close.instantOf(day) : null;
                if (instant != null && instant.isAfter(after) && !instant.isAfter(to)) {
                    scheduled.add(new ScheduledClose(close.name(), day, instant));
                }
            }
        }
        scheduled.sort(Comparator.comparing(ScheduledClose::instant).thenComparing(ScheduledClose::key));
        return scheduled;
    }

    /** Returns the first close after this instant, or null if there is none within a year. */
    public ScheduledClose nextClose(Instant after) {
        for (int days = 1; days <= SEARCH_DAYS; days *= 2) {
            List<ScheduledClose> scheduled = closesBetween(after, after.plus(Duration.ofDays(days)));
            if (!scheduled.isEmpty()) {
                return scheduled.get(0);
            }
        }
        return null;
    }

    /**
     * Returns the instant of the newest close, whose data a read that arrives now must see, or null if there was none
     * recently. A close applies earlier by the clock bound: a clock that is behind by the bound would otherwise place a
     * read that follows the close before it.
     */
    public Instant newestCloseInstant(Instant now) {
        Instant latest = now.plus(clockBound);
        List<ScheduledClose> scheduled = closesBetween(latest.minus(Duration.ofDays(LOOKBACK_DAYS)), latest);
        return scheduled.isEmpty() ? null : scheduled.get(scheduled.size() - 1).instant();
    }

    /** Returns whether a close is within this time before or after now, when changes should be avoided. */
    public boolean isNear(Instant now, Duration window) {
        return !closesBetween(now.minus(window), now.plus(window)).isEmpty();
    }

    /**
     * Returns why this calendar can't replace the current one now, or null if it can. Within the lead time, which is
     * longer than a member of the fleet may be unreachable, both must have the same closes, so that no two routers
     * apply a close at different times.
     */
    public String replacementError(ClosingCalendar current, Instant now, Duration leadTime) {
        List<ScheduledClose> own = closesBetween(now.minus(clockBound), now.plus(leadTime));
        return own.equals(current.closesBetween(now.minus(clockBound), now.plus(leadTime)))
                ? validationError()
                : "a close within the lead time of " + leadTime.toSeconds() + " s is changed";
    }

    /** Returns why the calendar is invalid, or null if it is valid: two closes of a name must not overlap in days. */
    public String validationError() {
        for (int i = 0; i < closes.size(); i++) {
            for (int j = 0; j < i; j++) {
                DailyClose a = closes.get(i);
                DailyClose b = closes.get(j);
                if (a.name().equals(b.name())
                        && !a.from().isAfter(b.to())
                        && !b.from().isAfter(a.to())) {
                    return "two closes '" + a.name() + "' are for the same days";
                }
            }
        }
        return null;
    }
}
