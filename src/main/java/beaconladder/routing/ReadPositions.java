package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.Session;
import beaconladder.routing.state.TrafficStatistics;
import java.util.LinkedHashMap;

/** The log position that a read needs, and who is known to have it. */
record ReadPositions(
        TrafficStatistics traffic, ClusterClock clock, SlowStart slowStart, LinkedHashMap<Long, Session> sessions) {
    /** Half of the 100 ms after which an answer counts as known, arrived or not; the rest is for the way. */
    private static final long ANSWER_KNOWN_AFTER = 50 * MILLISECOND;

    boolean isFreshReplica(Host host, long requiredPosition) {
        return host.state == Host.State.READY
                && host != host.group.primary
                && (host.contacted || !traffic.probesAllowed())
                && host.position >= requiredPosition;
    }

    /** Whether an answer of this primary was not heard since it last said that it is the primary. */
    boolean mayHaveLostRole(Host primary) {
        return primary.lastUnansweredNanos != UNSET
                && clock.hostTimeAt(primary.lastUnansweredNanos) > primary.group.primaryPosition;
    }

    /** A warming-up member without a ticket can't take it: waiting for one would hold the read past its time. */
    boolean hasFreshReplica(Request request, long now) {
        long requiredPosition = requiredPosition(request, now);
        return request.group.members.stream()
                .anyMatch(host -> isFreshReplica(host, requiredPosition) && slowStart.mayReceive(host, now));
    }

    /** The position that a replica must have reached now. Rule 5: a bound is judged at the send. */
    long requiredPosition(Request request, long now) {
        return switch (request.requestClass.consistency()) {
            case BOUNDED ->
                Math.max(request.minPosition, clock.latestHostTimeAt(now) - request.requestClass.maxStalenessNanos());
            case SESSION -> Math.max(request.minPosition, Math.max(request.sessionTarget, sessionTarget(request, now)));
            default -> request.minPosition;
        };
    }

    /**
     * What the session's writes have committed as far as this router counts as knowing it: a write that is still out
     * may have been answered, and the answer lost on its way.
     */
    long sessionTarget(Request request, long now) {
        if (!traffic.settings.routerKeepsSessions()) {
            return request.sessionWritePosition;
        }
        Session session = sessions.get(request.sessionKey);
        boolean answered = session != null
                && session.openWrites.stream()
                        .flatMap(write -> write.attempts.stream())
                        .anyMatch(attempt -> !attempt.ended && attempt.sentNanos < now - ANSWER_KNOWN_AFTER);
        long commit = session != null ? session.commitPosition : request.group.evictedCommitPosition;
        return answered ? Math.max(commit, clock.latestHostTimeAt(now) - ANSWER_KNOWN_AFTER) : commit;
    }

    /** It goes out now. */
    void recordSend(Request request) {
        if (request.requestClass.consistency() == Consistency.WRITE) {
            recordCommit(request, UNSET);
            sessions.computeIfPresent(request.sessionKey, (key, session) -> session.addWrite(request));
        }
    }

    /** What this write may have committed at the most. */
    void recordCommit(Request request, long commit) {
        if (request.sessionKey == 0 || !traffic.settings.routerKeepsSessions()) {
            return;
        }
        Session session = sessions.computeIfAbsent(request.sessionKey, k -> new Session());
        session.group = request.group;
        session.commitPosition =
                Math.max(session.commitPosition, Math.max(commit, request.group.evictedCommitPosition));
        session.openWrites.removeIf(write -> write.attemptsInFlight() == 0);
        // 50,000 sessions are a few megabytes; what is forgotten still binds, as the newest commit forgotten.
        if (sessions.size() > 50_000) {
            Session eldest = sessions.remove(sessions.keySet().iterator().next());
            eldest.group.evictedCommitPosition = Math.max(eldest.group.evictedCommitPosition, eldest.commitPosition);
        }
    }
}
