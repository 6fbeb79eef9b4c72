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
 * @param closes where several have one name, they apply to different days, which is how a close is changed
 * @param clockBound how far this router's clock may be from the true time
 */
public record ClosingCalendar(List<DailyClose> closes, Duration clockBound) {

    /** One close of one business day. */
    public record ScheduledClose(String name, LocalDate day, Instant at) {
        /** Its unique name. */
        public String key() {
            return name + " " + day;
        }
    }

    /** No two zones are further apart than this; days are searched this far around an interval. */
    private static final int ZONE_MARGIN_DAYS = 2;
    /** How far ahead the next close is searched. */
    private static final int SEARCH_DAYS = 366;
    /** Longer than any run of holidays: the newest close is within it, or none applies. */
    private static final int LOOKBACK_DAYS = 15;

    /** The closes after one instant, up to and including another, in order. */
    public List<ScheduledClose> between(Instant after, Instant to) {
        List<ScheduledClose> scheduled = new ArrayList<>();
        for (DailyClose close : closes) {
            LocalDate last = to.atZone(close.zone()).toLocalDate().plusDays(ZONE_MARGIN_DAYS);
            LocalDate day = after.atZone(close.zone()).toLocalDate().minusDays(ZONE_MARGIN_DAYS);
            for (; !day.isAfter(last); day = day.plusDays(1)) {
                Instant at = close.isBusinessDay(day) ? close.instantOf(day) : null;
                if (at != null && at.isAfter(after) && !at.isAfter(to)) {
                    scheduled.add(new ScheduledClose(close.name(), day, at));
                }
            }
        }
        scheduled.sort(Comparator.comparing(ScheduledClose::at).thenComparing(ScheduledClose::key));
        return scheduled;
    }

    /** The first close after this instant, or null where there is none within a year. */
    public ScheduledClose next(Instant after) {
        for (int days = 1; days <= SEARCH_DAYS; days *= 2) {
            List<ScheduledClose> scheduled = between(after, after.plus(Duration.ofDays(days)));
            if (!scheduled.isEmpty()) {
                return scheduled.get(0);
            }
        }
        return null;
    }

    /**
     * The newest close: a read that arrives now must see data at least as new. Null where nothing has closed lately. A
     * clock that is behind by the bound would place a read after a close before it, so a close applies that much
     * earlier by this clock.
     */
    public Instant newestBoundary(Instant now) {
        Instant latest = now.plus(clockBound);
        List<ScheduledClose> scheduled = between(latest.minus(Duration.ofDays(LOOKBACK_DAYS)), latest);
        return scheduled.isEmpty() ? null : scheduled.get(scheduled.size() - 1).at();
    }

    /** Whether a close is within this time before or after now, so that nothing should be changed. */
    public boolean isNear(Instant now, Duration window) {
        return !between(now.minus(window), now.plus(window)).isEmpty();
    }

    /**
     * Why this calendar can't replace another one now, or null. Within the lead time, which is longer than a member of
     * the fleet may be unreachable, both must have the same closes, so that no two routers close at different times.
     */
    public String objection(ClosingCalendar before, Instant now, Duration lead) {
        List<ScheduledClose> own = between(now.minus(clockBound), now.plus(lead));
        return own.equals(before.between(now.minus(clockBound), now.plus(lead)))
                ? objection()
                : "a close within the lead time of " + lead.toSeconds() + " s is changed";
    }

    /** Why the calendar is invalid, or null: two closes of one name apply to the same days. */
    public String objection() {
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
