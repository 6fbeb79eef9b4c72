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
 * @param closes by name; a change of a close is one more of its name, for other days
 * @param bound how far this router's clock may be from the true time
 */
public record Calendar(List<Close> closes, Duration bound) {

    /** One close of one business day. */
    public record Due(String name, LocalDate day, Instant at) {
        /** By which it is known: each fires once. */
        public String key() {
            return name + " " + day;
        }
    }

    /** No zone is further from another than this, and a day is looked for in all of them. */
    private static final int ASIDE_DAYS = 2;
    /** Further back than any run of holidays: the newest close is within it, or there is none that binds. */
    private static final int BACK_DAYS = 15;

    /** The closes later than one moment, up to another and with it, in their order. */
    public List<Due> between(Instant after, Instant to) {
        List<Due> found = new ArrayList<>();
        for (Close close : closes) {
            LocalDate last = to.atZone(close.zone()).toLocalDate().plusDays(ASIDE_DAYS);
            LocalDate day = after.atZone(close.zone()).toLocalDate().minusDays(ASIDE_DAYS);
            for (; !day.isAfter(last); day = day.plusDays(1)) {
                Instant at = close.on(day) ? close.instant(day) : null;
                if (at != null && at.isAfter(after) && !at.isAfter(to)) {
                    found.add(new Due(close.name(), day, at));
                }
            }
        }
        found.sort(Comparator.comparing(Due::at).thenComparing(Due::key));
        return found;
    }

    /** The first close later than this, or null: none comes within the year. */
    public Due next(Instant after) {
        for (int days = 1; days <= 366; days *= 2) {
            List<Due> found = between(after, after.plus(Duration.ofDays(days)));
            if (!found.isEmpty()) {
                return found.get(0);
            }
        }
        return null;
    }

    /**
     * The instant before which no data may answer a read that comes now, or null: nothing has closed lately. A clock
     * that is late by the bound takes a read that came after a close for one before it, so a close binds that much
     * sooner by this clock.
     */
    public Instant floor(Instant now) {
        Instant early = now.plus(bound);
        List<Due> found = between(early.minus(Duration.ofDays(BACK_DAYS)), early);
        return found.isEmpty() ? null : found.get(found.size() - 1).at();
    }

    /** Whether a close is so near that nothing is to be changed: within this time before or after. */
    public boolean near(Instant now, Duration window) {
        return !between(now.minus(window), now.plus(window)).isEmpty();
    }

    /**
     * What speaks against this calendar in place of another one, or null. A change has a lead time, longer than a
     * member of the fleet may go unheard, so that no two routers close at different times: within it, both have the
     * same closes.
     */
    public String objection(Calendar before, Instant now, Duration lead) {
        List<Due> mine = between(now.minus(bound), now.plus(lead));
        return mine.equals(before.between(now.minus(bound), now.plus(lead)))
                ? objection()
                : "a close within the lead time of " + lead.toSeconds() + " s is changed";
    }

    /** Why a name's closes can't be told apart, or null: two of them are for the same days. */
    public String objection() {
        for (int i = 0; i < closes.size(); i++) {
            for (int j = 0; j < i; j++) {
                Close a = closes.get(i);
                Close b = closes.get(j);
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
