package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MS;
import static beaconladder.routing.state.TrafficStatistics.UNBOUND;

import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.Router.Word;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Effect;
import beaconladder.routing.state.RequestClass.Read;
import beaconladder.routing.state.TrafficStatistics;
import beaconladder.routing.state.WakeupQueue;
import java.util.Set;

/** What is known of positions, roles and states. */
record HostStateTracker(
        TrafficStatistics traffic,
        ClusterClock clock,
        OutlierDetector health,
        ReadPositions targets,
        WakeupQueue agenda,
        Set<Host> idle) {
    /** An answer without a position that can be; a report with one field that can't be says nothing at all. */
    private Word believed(Host host, Word word, boolean direct, long now) {
        if (word.position() == Word.NONE || clock.believes(host, word.position(), now)) {
            return word;
        }
        return direct ? new Word(word.role(), Word.NONE, word.holds()) : Word.SILENT;
    }

    private void hear(Host host, Word word, boolean direct, long now) {
        Group group = host.group;
        if (word.position() != Word.NONE || word.holds() >= 0) {
            host.saidAt = now;
            host.holds = word.holds() >= 0 ? word.holds() : host.holds;
        }
        if (word.position() != Word.NONE && (direct || word.position() > host.position)) {
            host.lag = clock.at(now) - word.position();
        }
        if (word.position() > host.position) {
            host.position = word.position();
            agenda.change(group);
        }
        long stamp = word.position() == Word.NONE ? clock.at(now) : word.position();
        // What was dated by a clock that has been put right since can lie ahead of the present.
        host.replicaAt = Math.min(host.replicaAt, clock.newest(now));
        group.primaryAt = Math.min(group.primaryAt, clock.newest(now));
        // A report is older than the answer that it came with: what that denied it does not bring back.
        host.replicaAt = direct && word.role() == Role.REPLICA ? stamp : host.replicaAt;
        if (word.role() == Role.PRIMARY && stamp >= group.primaryAt && stamp > host.replicaAt + MS) {
            group.primaryAt = stamp;
            group.foundAt = group.primary == host ? group.foundAt : now;
            group.primary = host;
        } else if (word.role() == Role.REPLICA && group.primary == host && (direct || stamp > group.primaryAt)) {
            group.lose(now);
        }
    }

    void probed(Host host, Outcome outcome, Word said, long now) {
        Word report = believed(host, said, false, now);
        host.probeOut = false;
        agenda.change(host.group);
        if (outcome == Outcome.MOOT || outcome == Outcome.LOCAL_FAULT) {
            // It never left this machine.
            return;
        }
        if (outcome == Outcome.COMMITTED) {
            // What was held against a host that could not be reached is settled by reaching it; silence is
            // not.
            if (!host.met) {
                host.ends.clear();
            }
            host.met = true;
            hear(host, report, false, now);
            host.saidAt = now;
            if (report.role() == Role.REPLICA && report.position() != Word.NONE) {
                traffic.stale.add(clock.at(now) - report.position(), 0, now);
            }
        } else {
            host.ends.add(0, 0, now);
        }
    }

    void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        Group group = host.group;
        agenda.change(group);
        if (!group.members.contains(host)) {
            agenda.list(group);
            group.members.add(host);
            host.launched = launched;
            host.toldOfStart = now;
        } else if (launched > host.launched) {
            // A restart: what was known of its health and role is void; positions stay true.
            host.launched = launched;
            host.toldOfStart = now;
            host.met = false;
            host.ends.clear();
            host.times.clear();
            if (group.primary == host) {
                group.lose(now);
            }
        }
        host.stateSince = host.state == state ? host.stateSince : now;
        host.state = state;
        if (leader && group.namedByRoster != host) {
            group.namedByRoster = host;
            // Lists are seconds late: one that said itself that it is a replica is asked first.
            boolean denied = host.replicaAt != UNBOUND;
            if ((group.primary == null
                            || group.primary.state != Host.State.READY
                            || health.doubtful(group.primary, now))
                    && (!denied || traffic.probesAllowed())) {
                group.foundAt = now;
                group.primary = host;
                host.met &= !denied;
            }
        }
    }

    /** Rule 3 binds by what is listed, so a gone host is kept for the sake of its submissions alone. */
    boolean forget(Host host, long now) {
        host.abandoned.removeIf(old -> now > old.txn.expiry);
        if (!host.out.isEmpty() || !host.abandoned.isEmpty() || host.probeOut) {
            return false;
        }
        idle.remove(host);
        host.group.remove(host);
        if (host.group.primary == host) {
            host.group.lose(now);
        }
        return true;
    }

    /** A submission has ended: what that tells of its host, and of the writes of its session. */
    void ended(Attempt s, Outcome outcome, Word said, Word reported, long now) {
        Host host = s.host;
        Word answer = believed(host, said, true, now);
        Word report = believed(host, reported, false, now);
        s.ended = true;
        s.neverRan = outcome.provesNotRun();
        host.out.remove(s);
        agenda.change(host.group);
        if (host.out.isEmpty() && host.times.since(now - 10_000 * MS) < 3) {
            idle.add(host);
        }
        host.unheardAt = outcome.fromHost() || s.neverRan ? host.unheardAt : now;
        if (outcome.fromHost()) {
            host.met = true;
            host.lastHeard = now;
            host.ends.add(1, 0, now);
            // Answers come about in the order of the sends: what was abandoned before this send is done with.
            host.abandoned.removeIf(old -> old.sent < s.sent);
            if (outcome == Outcome.COMMITTED) {
                host.newestAnswerTook = now - s.sent;
                host.newestAnswerAt = now;
                host.times.add(now - s.sent, s.beside, now);
                host.group.times.add(now - s.sent, s.beside, now);
                health.learn(s, now);
            } else if (outcome == Outcome.FULL) {
                host.fullAt = now;
            }
        } else if (outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.UNREACHABLE) {
            if (host.lastHeard < s.sent) {
                host.ends.add(0, 0, now);
            }
            host.met &= outcome != Outcome.UNREACHABLE;
            if (outcome == Outcome.TIMED_OUT) {
                host.times.add(now - s.sent, s.beside, now);
                // At a host far more crowded than usual a time-out tells of the crowd; elsewhere of the host.
                if (s.holds > 2 * traffic.paces.meanBeside(UNBOUND) + 2) {
                    health.learn(s, now);
                }
            }
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            host.abandoned.add(s);
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.MOOT && outcome != Outcome.LOCAL_FAULT) {
            // A host that fails at once looks idle and quick; errors all over weigh as lost answers do.
            int well =
                    outcome == Outcome.COMMITTED && now - s.sent <= s.txn.type.sla() || outcome == Outcome.MISS ? 1 : 0;
            if (host.marks.sumSince(now - 20_000 * MS) > 0) {
                traffic.mixed.add(1 - well, 0, now);
            }
            host.marks.add(well, 0, now);
        }
        Request txn = s.txn;
        // The commit of a referenced write may be that of an earlier try, before it was sent here.
        boolean present = answer.role() == Role.PRIMARY
                && (txn.type.read() != Read.WRITE || txn.type.effect() == Effect.ONCE_ONLY);
        // Nor does one tell of the present whose replicas have got further: another has followed it.
        present &= answer.position() != Word.NONE && answer.position() >= host.group.newestPosition();
        if (present && outcome == Outcome.COMMITTED) {
            clock.primaryAnswered(host, answer.position(), s.sent);
        }
        hear(host, answer, true, now);
        hear(host, report, false, now);
        if (outcome == Outcome.MISS && txn.type.read() == Read.WRITE && host.group.primary == host) {
            host.group.lose(now);
        }
        if (txn.type.read() == Read.WRITE && !s.neverRan) {
            // Without its answer it may have committed up to now; later ones can't reach this router.
            boolean told = outcome == Outcome.COMMITTED && answer.position() != Word.NONE;
            targets.remember(txn, told ? answer.position() : clock.latest(now));
        }
    }
}
