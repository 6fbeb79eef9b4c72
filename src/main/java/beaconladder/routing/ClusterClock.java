package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Host;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the hosts' clock, by which hosts stamp log positions and their start. The router's own clock is the wall
 * clock at the router's start, advanced by the monotonic clock: it never steps, but an error of the wall clock at the
 * start stays. The hosts' positions show that error:
 *
 * <p>A position that was received at {@code now} has been reached, so the hosts' clock is at least there. An estimate
 * that is too late is safe for a staleness bound, while one that is too early makes reads stale, so two hosts that
 * agree are enough to move the estimate forward. A position ahead of the estimate is accepted only then, as an answer
 * may be corrupt. The answers of a primary limit the estimate from the other side: a primary's position is at the
 * present, so its answer is no earlier than the send. Several answers in a row that are earlier than their send move
 * the estimate back, as little as all of them require.
 *
 * <p>The estimate is unconfirmed until a host has shown that it is not far ahead. Until then, no host counts as started
 * long ago on the evidence of this clock.
 */
final class ClusterClock {
    /** How far ahead a valid position may be, as two processes read their clocks in whole milliseconds. */
    private static final long TOLERANCE_NANOS = 20 * MILLISECOND;
    /** How far the offsets shown by several hosts may differ, as replicas lag. */
    private static final long AGREEMENT_NANOS = 5_000 * MILLISECOND;
    /** How long a position ahead counts as evidence for moving the clock. */
    private static final long EVIDENCE_MAX_AGE_NANOS = 10_000 * MILLISECOND;
    /** How long a position ahead of the clock counts for staleness bounds while the clock has not been moved. */
    private static final long PENDING_MAX_AGE_NANOS = 2_000 * MILLISECOND;
    /** A wrong time zone puts a wall clock off by an hour; a position over two hours ahead is not a time. */
    private static final long MAX_PLAUSIBLE_OFFSET_NANOS = 7_200_000 * MILLISECOND;
    /** So many positions ahead in a row are required of each host, as a corrupt answer is a single one. */
    private static final int MIN_REPORTS = 2;
    /** So many are required where no other host reports. */
    private static final int MIN_REPORTS_SINGLE_HOST = 6;
    /** The least error for which the clock is moved back; it covers the time that an attempt waits before its send. */
    private static final long MIN_BACKWARD_STEP_NANOS = 250 * MILLISECOND;
    /**
     * So many answers in a row that are earlier than their send move the clock back; of a single host, twice as many.
     */
    private static final int MIN_EARLY_ANSWERS = 6;
    /** A clock that is ahead by no more than this shortens a slow start only a little. */
    private static final long CONFIRMATION_TOLERANCE_NANOS = 500 * MILLISECOND;

    /** Consecutive positions of one host that were ahead of the clock by about the same offset. */
    private record AheadEvidence(int count, long aheadNanos, long seenNanos) {}

    private final Map<Host, AheadEvidence> aheadByHost = new HashMap<>();
    private long offsetNanos;
    /** When a position was last accepted without moving the clock. */
    private long lastAcceptedNanos = Long.MIN_VALUE;
    /** The number of consecutive primary answers earlier than their send, and by how much each was earlier at least. */
    private int earlyAnswers;

    private long minEarlyNanos = Long.MAX_VALUE;
    private Host earlyHost;
    private boolean earlyFromSeveralHosts;
    private boolean confirmed;

    /** Returns the estimated time of the hosts' clock at this time of the router's clock, in nanoseconds. */
    long hostTimeAt(long now) {
        return now + offsetNanos;
    }

    /**
     * Returns the latest time that the hosts' clock may show now, by the recent positions of any single host. It is for
     * staleness bounds, since a target that is too late makes no read stale, and the position of one host may be the
     * first of several.
     */
    long latestHostTimeAt(long now) {
        long aheadNanos = 0;
        for (AheadEvidence each : aheadByHost.values()) {
            aheadNanos = now - each.seenNanos <= PENDING_MAX_AGE_NANOS && each.aheadNanos <= MAX_PLAUSIBLE_OFFSET_NANOS
                    ? Math.max(aheadNanos, each.aheadNanos)
                    : aheadNanos;
        }
        return hostTimeAt(now) + aheadNanos;
    }

    /** Returns the newest position that is accepted without moving the clock. */
    long maxPlausiblePosition(long now) {
        return hostTimeAt(now) + TOLERANCE_NANOS;
    }

    /** Whether a host has shown that this clock is not far ahead of the hosts' clock. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Returns the time of the router's clock at which the hosts' clock shows this time. */
    long routerTimeOf(long hostTime) {
        return hostTime - offsetNanos;
    }

    /** Records a position that was received now, which may move the clock forward; returns whether it is plausible. */
    boolean acceptPosition(Host host, long position, long now) {
        long aheadNanos = position - hostTimeAt(now);
        if (aheadNanos <= TOLERANCE_NANOS) {
            aheadByHost.remove(host);
            lastAcceptedNanos = now;
            confirmed |= aheadNanos >= -CONFIRMATION_TOLERANCE_NANOS;
            return true;
        }
        if (aheadNanos > MAX_PLAUSIBLE_OFFSET_NANOS) {
            return false;
        }
        AheadEvidence previous = aheadByHost.get(host);
        boolean consecutive = previous != null
                && Math.abs(aheadNanos - previous.aheadNanos) <= AGREEMENT_NANOS
                && now - previous.seenNanos <= EVIDENCE_MAX_AGE_NANOS;
        AheadEvidence current = new AheadEvidence(consecutive ? previous.count + 1 : 1, aheadNanos, now);
        aheadByHost.put(host, current);
        aheadByHost.values().removeIf(each -> now - each.seenNanos > EVIDENCE_MAX_AGE_NANOS);
        List<AheadEvidence> agreeing = aheadByHost.values().stream()
                .filter(each -> each.count >= MIN_REPORTS && Math.abs(each.aheadNanos - aheadNanos) <= AGREEMENT_NANOS)
                .toList();
        // A position accepted since this row began is of another host: one of this host would have ended the row.
        boolean onlyHost = aheadByHost.size() == 1
                && current.count >= MIN_REPORTS_SINGLE_HOST
                && (lastAcceptedNanos == Long.MIN_VALUE || now - lastAcceptedNanos > EVIDENCE_MAX_AGE_NANOS);
        if (current.count < MIN_REPORTS || agreeing.size() < 2 && !onlyHost) {
            return false;
        }
        // Each host has reached its reported position, so the one furthest ahead lags least.
        offsetNanos +=
                agreeing.stream().mapToLong(AheadEvidence::aheadNanos).max().orElse(aheadNanos);
        aheadByHost.clear();
        confirmed = true;
        return true;
    }

    /** Records the position in the answer of a primary to an attempt; may confirm the clock or move it back. */
    void onPrimaryAnswer(Host host, long position, long sentNanos) {
        long earlyNanos = hostTimeAt(sentNanos) - position;
        if (earlyNanos <= MIN_BACKWARD_STEP_NANOS) {
            confirmed = true;
            clearEarlyAnswers();
            return;
        }
        earlyFromSeveralHosts |= earlyHost != null && earlyHost != host;
        earlyHost = host;
        minEarlyNanos = Math.min(minEarlyNanos, earlyNanos);
        earlyAnswers++;
        if (earlyAnswers >= (earlyFromSeveralHosts ? MIN_EARLY_ANSWERS : 2 * MIN_EARLY_ANSWERS)) {
            offsetNanos -= minEarlyNanos;
            confirmed = true;
            clearEarlyAnswers();
        }
    }

    private void clearEarlyAnswers() {
        earlyAnswers = 0;
        minEarlyNanos = Long.MAX_VALUE;
        earlyHost = null;
        earlyFromSeveralHosts = false;
    }
}
