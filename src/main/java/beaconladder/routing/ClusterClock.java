package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Host;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What time it is by the clock that hosts stamp positions and starts with. The router's own time is the wall clock as
 * it stood at the start, moved on by the monotonic clock: it never steps, but it is wrong for good where the wall was
 * wrong then. Hosts show by how much:
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

    private static final long EVIDENCE_MAX_AGE = 10_000 * MILLISECOND;
    private static final long PENDING_MAX_AGE = 2_000 * MILLISECOND;
    /** Wall clocks are off by an hour where a zone is set wrong; what lies beyond two is no time. */
    private static final long MAX_PLAUSIBLE_OFFSET = 7_200_000 * MILLISECOND;
    /** Of one host so many positions ahead in a row count; a spoilt answer comes alone. */
    private static final int MIN_REPORTS = 2;
    /** Where no second host is heard at all, so many do. */
    private static final int MIN_REPORTS_SINGLE_HOST = 6;
    /** It is moved back for nothing less: the time that an attempt waits before its send lies within it. */
    private static final long MIN_BACKWARD_STEP = 250 * MILLISECOND;

    private static final int MIN_EARLY_ANSWERS = 6;
    /** A clock that is ahead by no more than this makes little of a slow start look over. */
    private static final long CONFIRMATION_TOLERANCE = 500 * MILLISECOND;

    /** Positions of one host that lay ahead, in a row. */
    private record AheadEvidence(int count, long aheadNanos, long seenNanos) {}

    private final Map<Host, AheadEvidence> aheadByHost = new HashMap<>();
    private long offsetNanos;
    /** When a position was last believed. */
    private long lastAcceptedNanos = Long.MIN_VALUE;
    /** Answers in a row from before their send, and the least that all of them were before it. */
    private int earlyAnswers;

    private long leastEarlyNanos = Long.MAX_VALUE;
    private Host earlyHost;
    private boolean earlyFromSeveralHosts;
    private boolean isConfirmed;

    /** The time by the hosts' clock at this moment of the router's. */
    long hostTimeAt(long now) {
        return now + offsetNanos;
    }

    /**
     * The latest that the hosts' clock may show at this moment, as far as any host has just said: for bounds, since a
     * target that is too late makes no read stale, and one host's word may be the first of several.
     */
    long latestHostTimeAt(long now) {
        long by = 0;
        for (AheadEvidence each : aheadByHost.values()) {
            by = now - each.seenNanos <= PENDING_MAX_AGE && each.aheadNanos <= MAX_PLAUSIBLE_OFFSET
                    ? Math.max(by, each.aheadNanos)
                    : by;
        }
        return hostTimeAt(now) + by;
    }

    /** No position that is believed lies ahead of this. */
    long maxPlausiblePosition(long now) {
        return hostTimeAt(now) + TOLERANCE;
    }

    /** Whether a host has shown that this clock is not far ahead of the hosts'. */
    boolean isConfirmed() {
        return isConfirmed;
    }

    /** The moment of the router's clock at which the hosts' shows this. */
    long routerTimeOf(long hostTime) {
        return hostTime - offsetNanos;
    }

    /** Records a position reported at this time; returns whether it is plausible. */
    boolean acceptPosition(Host host, long position, long now) {
        long by = position - hostTimeAt(now);
        if (by <= TOLERANCE) {
            aheadByHost.remove(host);
            lastAcceptedNanos = now;
            isConfirmed |= by >= -CONFIRMATION_TOLERANCE;
            return true;
        }
        if (by > MAX_PLAUSIBLE_OFFSET) {
            return false;
        }
        AheadEvidence before = aheadByHost.get(host);
        boolean row = before != null
                && Math.abs(by - before.aheadNanos) <= AGREEMENT
                && now - before.seenNanos <= EVIDENCE_MAX_AGE;
        AheadEvidence own = new AheadEvidence(row ? before.count + 1 : 1, by, now);
        aheadByHost.put(host, own);
        aheadByHost.values().removeIf(each -> now - each.seenNanos > EVIDENCE_MAX_AGE);
        List<AheadEvidence> agreeing = aheadByHost.values().stream()
                .filter(each -> each.count >= MIN_REPORTS && Math.abs(each.aheadNanos - by) <= AGREEMENT)
                .toList();
        // What was believed since then is of another host: its own would have ended its row.
        boolean alone = aheadByHost.size() == 1
                && own.count >= MIN_REPORTS_SINGLE_HOST
                && (lastAcceptedNanos == Long.MIN_VALUE || now - lastAcceptedNanos > EVIDENCE_MAX_AGE);
        if (own.count < MIN_REPORTS || agreeing.size() < 2 && !alone) {
            return false;
        }
        // Each has reached what it says: the one most caught up lags least.
        offsetNanos +=
                agreeing.stream().mapToLong(AheadEvidence::aheadNanos).max().orElse(by);
        aheadByHost.clear();
        isConfirmed = true;
        return true;
    }

    /** A primary has answered, at this position, what was sent to it at this moment. */
    void primaryAnswered(Host host, long position, long sentNanos) {
        long early = hostTimeAt(sentNanos) - position;
        if (early <= MIN_BACKWARD_STEP) {
            isConfirmed = true;
            clearEarlyAnswers();
            return;
        }
        earlyFromSeveralHosts |= earlyHost != null && earlyHost != host;
        earlyHost = host;
        leastEarlyNanos = Math.min(leastEarlyNanos, early);
        earlyAnswers++;
        if (earlyAnswers >= (earlyFromSeveralHosts ? MIN_EARLY_ANSWERS : 2 * MIN_EARLY_ANSWERS)) {
            offsetNanos -= leastEarlyNanos;
            isConfirmed = true;
            clearEarlyAnswers();
        }
    }

    private void clearEarlyAnswers() {
        earlyAnswers = 0;
        leastEarlyNanos = Long.MAX_VALUE;
        earlyHost = null;
        earlyFromSeveralHosts = false;
    }
}
