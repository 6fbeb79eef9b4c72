package beaconladder;

import beaconladder.fleet.Host;
import beaconladder.fleet.Session;
import beaconladder.fleet.Traffic;
import beaconladder.fleet.Txn;
import java.util.LinkedHashMap;

/** The log position that a read needs, and who is known to have it. */
record Targets(Traffic traffic, ColdRamp ramp, LinkedHashMap<Long, Session> sessions) {
    boolean fresh(Host host, long target) {
        return host.state == Host.State.READY && host != host.group.primary
                && (host.met || !traffic.probesAllowed()) && host.position >= target;
    }

    /** A cold member without a ticket can't take it: waiting for one would hold the read past its time. */
    boolean anyFresh(Txn txn, long now) {
        long target = target(txn, now);
        return txn.group.members.stream().anyMatch(host -> fresh(host, target) && ramp.allows(host, now));
    }

    /** The position that a replica must have reached now. Rule 5: a bound is judged at the send. */
    long target(Txn txn, long now) {
        return switch (txn.type.read()) {
            case BOUNDED -> Math.max(txn.floor, now - txn.type.bound());
            case SESSION -> Math.max(txn.floor, txn.target);
            default -> txn.floor;
        };
    }

    long sessionTarget(Txn txn) {
        if (!"router".equals(traffic.start.get("family_info.session_marks"))) {
            return txn.written;
        }
        Session session = sessions.get(txn.session);
        return session != null ? session.commit : txn.group.forgotten;
    }

    void remember(Txn txn, long commit) {
        if (txn.session == 0 || !"router".equals(traffic.start.get("family_info.session_marks"))) {
            return;
        }
        Session session = sessions.computeIfAbsent(txn.session, k -> new Session());
        session.group = txn.group;
        session.commit = Math.max(session.commit, commit);
        // 50,000 sessions are a few megabytes; what is forgotten still binds, as the newest commit forgotten.
        if (sessions.size() > 50_000) {
            Session eldest = sessions.remove(sessions.keySet().iterator().next());
            eldest.group.forgotten = Math.max(eldest.group.forgotten, eldest.commit);
        }
    }
}
