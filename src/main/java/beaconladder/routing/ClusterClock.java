package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Host;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What time it is by the clock that hosts stamp positions and starts with. The router's own time is the wall clock as
 * it stood at the start, moved on by the monotonic clock: it never steps, but it is wrong for good where the wall was
 * wrong then. Hosts tell by how much:
 *
 * <p>A position that was heard at {@code now} has been reached, so the hosts' clock shows it at the least. Too late a
 * time is safe for a bound, too early a one makes reads stale, so that two hosts that agree are enough to move it
 * forward; a position ahead of it is believed only then, as an answer may be spoilt. The answer of a primary gives the
 * other side: a primary stands at the present, so what it answers is no earlier than the send. The clock is moved back
 * only by several such answers in a row, and stays ahead of what they allow.
 *
 * <p>Until a host has shown that this clock is not far ahead, it is not confirmed, and no start of a host counts as
 * long ago by it.
 */
final class ClusterClock {
    /** Clocks read in whole milliseconds by two processes; nothing applied can lie further ahead. */
    private static final long TOLERANCE = 20 * MILLISECOND;
    /** Replicas lag, so what several hosts show differs by that. */
    private static final long AGREEMENT = 5_000 * MILLISECOND;

    private static final long EVIDENCE_AGE = 10_000 * MILLISECOND;
    private static final long PENDING_AGE = 2_000 * MILLISECOND;
    /** Wall clocks are off by an hour where a zone is set wrong; what lies beyond two is no time. */
    private static final long PLAUSIBLE = 7_200_000 * MILLISECOND;
    /** Of one host so many positions ahead in a row count; a spoilt answer comes alone. */
    private static final int REPORTS = 2;
    /** Where no second host is heard at all, so many do. */
    private static final int REPORTS_ALONE = 6;
    /** It is moved back for nothing less: the time that an attempt waits before its send lies within it. */
    private static final long LEAST_BACK = 250 * MILLISECOND;

    private static final int EARLY_ANSWERS = 6;
    /** A clock that is ahead by no more than this makes little of a slow start look over. */
    private static final long CONFIRMING = 500 * MILLISECOND;

    /** Positions of one host that lay ahead, in a row. */
    private record Ahead(int reports, long by, long at) {}

    private final Map<Host, Ahead> ahead = new HashMap<>();
    private long offset;
    /** When a position was last believed. */
    private long believedAt = Long.MIN_VALUE;
    /** Answers in a row from before their send, and the least that all of them were before it. */
    private int earlyAnswers;

    private long leastEarly = Long.MAX_VALUE;
    private Host earlyHost;
    private boolean severalHosts;
    private boolean confirmed;

    /** The time by the hosts' clock at this moment of the router's. */
    long at(long now) {
        return now + offset;
    }

    /**
     * The latest that the hosts' clock may show at this moment, as far as any host has just said: for bounds, since a
     * target that is too late makes no read stale, and one host's word may be the first of several.
     */
    long latest(long now) {
        long by = 0;
        for (Ahead each : ahead.values()) {
            by = now - each.at <= PENDING_AGE && each.by <= PLAUSIBLE ? Math.max(by, each.by) : by;
        }
        return at(now) + by;
    }

    /** No position that is believed lies ahead of this. */
    long newest(long now) {
        return at(now) + TOLERANCE;
    }

    /** Whether a host has shown that this clock is not far ahead of the hosts'. */
    boolean confirmed() {
        return confirmed;
    }

    /** The moment of the router's clock at which the hosts' shows this. */
    long moment(long hostTime) {
        return hostTime - offset;
    }

    /** Takes in what a host said at this moment that it has reached; whether that can be. */
    boolean believes(Host host, long position, long now) {
        long by = position - at(now);
        if (by <= TOLERANCE) {
            ahead.remove(host);
            believedAt = now;
            confirmed |= by >= -CONFIRMING;
            return true;
        }
        if (by > PLAUSIBLE) {
            return false;
        }
        Ahead before = ahead.get(host);
        boolean row = before != null && Math.abs(by - before.by) <= AGREEMENT && now - before.at <= EVIDENCE_AGE;
        Ahead own = new Ahead(row ? before.reports + 1 : 1, by, now);
        ahead.put(host, own);
        ahead.values().removeIf(each -> now - each.at > EVIDENCE_AGE);
        List<Ahead> agreeing = ahead.values().stream()
                .filter(each -> each.reports >= REPORTS && Math.abs(each.by - by) <= AGREEMENT)
                .toList();
        // What was believed since then is of another host: its own would have ended its row.
        boolean alone = ahead.size() == 1
                && own.reports >= REPORTS_ALONE
                && (believedAt == Long.MIN_VALUE || now - believedAt > EVIDENCE_AGE);
        if (own.reports < REPORTS || agreeing.size() < 2 && !alone) {
            return false;
        }
        // Each has reached what it says: the one furthest on lags least.
        offset += agreeing.stream().mapToLong(Ahead::by).max().orElse(by);
        ahead.clear();
        confirmed = true;
        return true;
    }

    /** A primary has answered, at this position, what was sent to it at this moment. */
    void primaryAnswered(Host host, long position, long sent) {
        long early = at(sent) - position;
        if (early <= LEAST_BACK) {
            confirmed = true;
            forgetEarly();
            return;
        }
        severalHosts |= earlyHost != null && earlyHost != host;
        earlyHost = host;
        leastEarly = Math.min(leastEarly, early);
        earlyAnswers++;
        if (earlyAnswers >= (severalHosts ? EARLY_ANSWERS : 2 * EARLY_ANSWERS)) {
            offset -= leastEarly;
            confirmed = true;
            forgetEarly();
        }
    }

    private void forgetEarly() {
        earlyAnswers = 0;
        leastEarly = Long.MAX_VALUE;
        earlyHost = null;
        severalHosts = false;
    }
}
