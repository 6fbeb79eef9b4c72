package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MS;
import static beaconladder.routing.state.TrafficStatistics.UNBOUND;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Read;
import beaconladder.routing.state.Session;
import beaconladder.routing.state.TrafficStatistics;
import java.util.LinkedHashMap;

/** The log position that a read needs, and who is known to have it. */
record ReadPositions(
        TrafficStatistics traffic, ClusterClock clock, SlowStart slowStart, LinkedHashMap<Long, Session> sessions) {
    /** Half of the 100 ms after which an answer counts as known, arrived or not; the rest is for the way. */
    private static final long KNOWN = 50 * MS;

    boolean fresh(Host host, long target) {
        return host.state == Host.State.READY
                && host != host.group.primary
                && (host.met || !traffic.probesAllowed())
                && host.position >= target;
    }

    /** Whether an answer of this primary was not heard since it last said that it is the primary. */
    boolean mayHaveDenied(Host primary) {
        return primary.unheardAt != UNBOUND && clock.at(primary.unheardAt) > primary.group.primaryAt;
    }

    /** A cold member without a ticket can't take it: waiting for one would hold the read past its time. */
    boolean anyFresh(Request txn, long now) {
        long target = target(txn, now);
        return txn.group.members.stream().anyMatch(host -> fresh(host, target) && slowStart.allows(host, now));
    }

    /** The position that a replica must have reached now. Rule 5: a bound is judged at the send. */
    long target(Request txn, long now) {
        return switch (txn.type.read()) {
            case BOUNDED -> Math.max(txn.floor, clock.latest(now) - txn.type.bound());
            case SESSION -> Math.max(txn.floor, Math.max(txn.target, sessionTarget(txn, now)));
            default -> txn.floor;
        };
    }

    /**
     * What the session's writes have committed as far as this router counts as knowing it: a write that is still out
     * may have been answered, and the answer lost on its way.
     */
    long sessionTarget(Request txn, long now) {
        if (!"router".equals(traffic.start.get("family_info.session_marks"))) {
            return txn.written;
        }
        Session session = sessions.get(txn.session);
        boolean answered = session != null
                && session.writes.stream()
                        .flatMap(w -> w.submissions.stream())
                        .anyMatch(s -> !s.ended && s.sent < now - KNOWN);
        long commit = session != null ? session.commit : txn.group.forgotten;
        return answered ? Math.max(commit, clock.latest(now) - KNOWN) : commit;
    }

    /** It goes out now. */
    void sent(Request txn) {
        if (txn.type.read() == Read.WRITE) {
            remember(txn, UNBOUND);
            sessions.computeIfPresent(txn.session, (key, session) -> session.with(txn));
        }
    }

    /** What this write may have committed at the most. */
    void remember(Request txn, long commit) {
        if (txn.session == 0 || !"router".equals(traffic.start.get("family_info.session_marks"))) {
            return;
        }
        Session session = sessions.computeIfAbsent(txn.session, k -> new Session());
        session.group = txn.group;
        session.commit = Math.max(session.commit, Math.max(commit, txn.group.forgotten));
        session.writes.removeIf(write -> write.out() == 0);
        // 50,000 sessions are a few megabytes; what is forgotten still binds, as the newest commit forgotten.
        if (sessions.size() > 50_000) {
            Session eldest = sessions.remove(sessions.keySet().iterator().next());
            eldest.group.forgotten = Math.max(eldest.group.forgotten, eldest.commit);
        }
    }
}
