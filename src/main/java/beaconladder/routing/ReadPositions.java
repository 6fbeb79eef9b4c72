package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.Session;
import beaconladder.routing.state.TrafficStatistics;
import java.util.LinkedHashMap;

/** Determines the log position that a read requires, and which hosts are known to have reached it. */
record ReadPositions(
        TrafficStatistics traffic, ClusterClock clock, SlowStart slowStart, LinkedHashMap<Long, Session> sessions) {
    /**
     * How long after its send a write may count as committed. This is half of the 100 ms after which an answer counts
     * as known to the client, whether it has arrived or not; the other half covers the transfer.
     */
    private static final long ANSWER_KNOWN_AFTER_NANOS = 50 * MILLISECOND;
    /** How many sessions are kept one by one; 50,000 take a few megabytes. */
    private static final int MAX_SESSIONS = 50_000;

    /** Whether this host is a ready replica that is known to have reached the position. */
    boolean isFreshReplica(Host host, long requiredPosition) {
        return host.state == Host.State.READY
                && host != host.group.primary
                && (host.contacted || !traffic.probesAllowed())
                && host.position >= requiredPosition;
    }

    /** Whether an answer of this primary may have been lost since the last report that it is the primary. */
    boolean mayHaveLostRole(Host primary) {
        return primary.lastUnansweredNanos != UNSET
                && clock.hostTimeAt(primary.lastUnansweredNanos) > primary.group.primaryPosition;
    }

    /**
     * Whether a replica that may receive requests has reached the required position. One in slow start without a ticket
     * does not count: waiting for a ticket would hold the read past its deadline.
     */
    boolean hasFreshReplica(Request request, long now) {
        long requiredPosition = requiredPosition(request, now);
        return request.group.members.stream()
                .anyMatch(host -> isFreshReplica(host, requiredPosition) && slowStart.mayReceive(host, now));
    }

    /** Returns the position that a replica must have reached now. Rule 5: a bound counts at the time of the send. */
    long requiredPosition(Request request, long now) {
        return switch (request.requestClass.consistency()) {
            case BOUNDED ->
                Math.max(request.minPosition, clock.latestHostTimeAt(now) - request.requestClass.maxStalenessNanos());
            case SESSION -> Math.max(request.minPosition, Math.max(request.sessionTarget, sessionTarget(request, now)));
            default -> request.minPosition;
        };
    }

    /**
     * Returns the newest position that a write of the session may have committed at, as far as its answer counts as
     * known: a write that is still in flight may have been answered, and the answer lost on its way.
     */
    long sessionTarget(Request request, long now) {
        if (!traffic.settings.routerKeepsSessions()) {
            return request.sessionWritePosition;
        }
        Session session = sessions.get(request.sessionKey);
        boolean possiblyAnswered = session != null
                && session.openWrites.stream()
                        .flatMap(write -> write.attempts.stream())
                        .anyMatch(attempt -> !attempt.ended && attempt.sentNanos < now - ANSWER_KNOWN_AFTER_NANOS);
        long commit = session != null ? session.commitPosition : request.group.evictedCommitPosition;
        return possiblyAnswered ? Math.max(commit, clock.latestHostTimeAt(now) - ANSWER_KNOWN_AFTER_NANOS) : commit;
    }

    /** Records that an attempt of this request is sent now. */
    void recordSend(Request request) {
        if (request.requestClass.consistency() == Consistency.WRITE) {
            recordCommit(request, UNSET);
            sessions.computeIfPresent(request.sessionKey, (key, session) -> session.addWrite(request));
        }
    }

    /** Records the newest position that this write may have committed at, or {@code UNSET} for a write in flight. */
    void recordCommit(Request request, long commit) {
        if (request.sessionKey == 0 || !traffic.settings.routerKeepsSessions()) {
            return;
        }
        Session session = sessions.computeIfAbsent(request.sessionKey, k -> new Session());
        session.group = request.group;
        session.commitPosition =
                Math.max(session.commitPosition, Math.max(commit, request.group.evictedCommitPosition));
        session.openWrites.removeIf(write -> write.attemptsInFlight() == 0);
        // An evicted session is still covered, by the newest commit position of all evicted sessions of its group.
        if (sessions.size() > MAX_SESSIONS) {
            Session eldest = sessions.remove(sessions.keySet().iterator().next());
            eldest.group.evictedCommitPosition = Math.max(eldest.group.evictedCommitPosition, eldest.commitPosition);
        }
    }
}
