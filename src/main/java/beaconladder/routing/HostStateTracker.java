package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.RequestClass.Idempotency;
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
    private HostReport believed(Host host, HostReport report, boolean direct, long now) {
        if (report.position() == HostReport.NO_POSITION || clock.believes(host, report.position(), now)) {
            return report;
        }
        return direct ? new HostReport(report.role(), HostReport.NO_POSITION, report.inFlight()) : HostReport.EMPTY;
    }

    private void hear(Host host, HostReport report, boolean direct, long now) {
        Group group = host.group;
        if (report.position() != HostReport.NO_POSITION || report.inFlight() >= 0) {
            host.lastReportNanos = now;
            host.reportedInFlight = report.inFlight() >= 0 ? report.inFlight() : host.reportedInFlight;
        }
        if (report.position() != HostReport.NO_POSITION && (direct || report.position() > host.position)) {
            host.lagNanos = clock.at(now) - report.position();
        }
        if (report.position() > host.position) {
            host.position = report.position();
            agenda.markChanged(group);
        }
        long stamp = report.position() == HostReport.NO_POSITION ? clock.at(now) : report.position();
        // What was dated by a clock that has been put right since can lie ahead of the present.
        host.replicaReportPosition = Math.min(host.replicaReportPosition, clock.newest(now));
        group.primaryPosition = Math.min(group.primaryPosition, clock.newest(now));
        // A report is older than the answer that it came with: what that denied it does not bring back.
        host.replicaReportPosition = direct && report.role() == Role.REPLICA ? stamp : host.replicaReportPosition;
        if (report.role() == Role.PRIMARY
                && stamp >= group.primaryPosition
                && stamp > host.replicaReportPosition + MILLISECOND) {
            group.primaryPosition = stamp;
            group.primaryFoundNanos = group.primary == host ? group.primaryFoundNanos : now;
            group.primary = host;
        } else if (report.role() == Role.REPLICA
                && group.primary == host
                && (direct || stamp > group.primaryPosition)) {
            group.markPrimaryLost(now);
        }
    }

    void probed(Host host, Outcome outcome, HostReport stated, long now) {
        HostReport report = believed(host, stated, false, now);
        host.probeInFlight = false;
        agenda.markChanged(host.group);
        if (outcome == Outcome.MOOT || outcome == Outcome.LOCAL_FAULT) {
            // It never left this machine.
            return;
        }
        if (outcome == Outcome.COMMITTED) {
            // What was held against a host that could not be reached is settled by reaching it; silence is
            // not.
            if (!host.contacted) {
                host.responses.clear();
            }
            host.contacted = true;
            hear(host, report, false, now);
            host.lastReportNanos = now;
            if (report.role() == Role.REPLICA && report.position() != HostReport.NO_POSITION) {
                traffic.reportedLags.add(clock.at(now) - report.position(), 0, now);
            }
        } else {
            host.responses.add(0, 0, now);
        }
    }

    void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        Group group = host.group;
        agenda.markChanged(group);
        if (!group.members.contains(host)) {
            agenda.registerGroup(group);
            group.members.add(host);
            host.launchedNanos = launched;
            host.startNotifiedNanos = now;
        } else if (launched > host.launchedNanos) {
            // A restart: what was known of its health and role is void; positions stay true.
            host.launchedNanos = launched;
            host.startNotifiedNanos = now;
            host.contacted = false;
            host.responses.clear();
            host.responseTimes.clear();
            if (group.primary == host) {
                group.markPrimaryLost(now);
            }
        }
        host.stateSinceNanos = host.state == state ? host.stateSinceNanos : now;
        host.state = state;
        if (leader && group.listedPrimary != host) {
            group.listedPrimary = host;
            // Lists are seconds late: one that said itself that it is a replica is asked first.
            boolean denied = host.replicaReportPosition != UNSET;
            if ((group.primary == null
                            || group.primary.state != Host.State.READY
                            || health.doubtful(group.primary, now))
                    && (!denied || traffic.probesAllowed())) {
                group.primaryFoundNanos = now;
                group.primary = host;
                host.contacted &= !denied;
            }
        }
    }

    /** Rule 3 binds by what is listed, so a gone host is kept for the sake of its submissions alone. */
    boolean forget(Host host, long now) {
        host.abandoned.removeIf(old -> now > old.request.expiryNanos);
        if (!host.inFlight.isEmpty() || !host.abandoned.isEmpty() || host.probeInFlight) {
            return false;
        }
        idle.remove(host);
        host.group.removeMember(host);
        if (host.group.primary == host) {
            host.group.markPrimaryLost(now);
        }
        return true;
    }

    /** A submission has ended: what that tells of its host, and of the writes of its session. */
    void ended(Attempt attempt, Outcome outcome, HostReport stated, HostReport reported, long now) {
        Host host = attempt.host;
        HostReport answer = believed(host, stated, true, now);
        HostReport report = believed(host, reported, false, now);
        attempt.ended = true;
        attempt.neverRan = outcome.provesNotRun();
        host.inFlight.remove(attempt);
        agenda.markChanged(host.group);
        if (host.inFlight.isEmpty() && host.responseTimes.countSince(now - 10_000 * MILLISECOND) < 3) {
            idle.add(host);
        }
        host.lastUnansweredNanos = outcome.isFromHost() || attempt.neverRan ? host.lastUnansweredNanos : now;
        if (outcome.isFromHost()) {
            host.contacted = true;
            host.lastResponseNanos = now;
            host.responses.add(1, 0, now);
            // Answers come about in the order of the sends: what was abandoned before this send is done with.
            host.abandoned.removeIf(old -> old.sentNanos < attempt.sentNanos);
            if (outcome == Outcome.COMMITTED) {
                host.newestResponseDurationNanos = now - attempt.sentNanos;
                host.newestResponseAtNanos = now;
                host.responseTimes.add(now - attempt.sentNanos, attempt.hostConcurrency, now);
                host.group.responseTimes.add(now - attempt.sentNanos, attempt.hostConcurrency, now);
                health.learn(attempt, now);
            } else if (outcome == Outcome.FULL) {
                host.lastRejectionNanos = now;
            }
        } else if (outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.UNREACHABLE) {
            if (host.lastResponseNanos < attempt.sentNanos) {
                host.responses.add(0, 0, now);
            }
            host.contacted &= outcome != Outcome.UNREACHABLE;
            if (outcome == Outcome.TIMED_OUT) {
                host.responseTimes.add(now - attempt.sentNanos, attempt.hostConcurrency, now);
                // At a host far more crowded than usual a time-out tells of the crowd; elsewhere of the host.
                if (attempt.hostInFlight > 2 * traffic.responseTimesByLoad.meanCompanion(UNSET) + 2) {
                    health.learn(attempt, now);
                }
            }
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            host.abandoned.add(attempt);
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.MOOT && outcome != Outcome.LOCAL_FAULT) {
            // A host that fails at once looks idle and quick; errors all over weigh as lost answers do.
            int well =
                    outcome == Outcome.COMMITTED && now - attempt.sentNanos <= attempt.request.requestClass.slaNanos()
                                    || outcome == Outcome.MISS
                            ? 1
                            : 0;
            if (host.successes.sumSince(now - 20_000 * MILLISECOND) > 0) {
                traffic.failuresAtLiveHosts.add(1 - well, 0, now);
            }
            host.successes.add(well, 0, now);
        }
        Request request = attempt.request;
        // The commit of a referenced write may be that of an earlier try, before it was sent here.
        boolean present = answer.role() == Role.PRIMARY
                && (request.requestClass.consistency() != Consistency.WRITE
                        || request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT);
        // Nor does one tell of the present whose replicas have got further: another has followed it.
        present &= answer.position() != HostReport.NO_POSITION && answer.position() >= host.group.newestPosition();
        if (present && outcome == Outcome.COMMITTED) {
            clock.primaryAnswered(host, answer.position(), attempt.sentNanos);
        }
        hear(host, answer, true, now);
        hear(host, report, false, now);
        if (outcome == Outcome.MISS
                && request.requestClass.consistency() == Consistency.WRITE
                && host.group.primary == host) {
            host.group.markPrimaryLost(now);
        }
        if (request.requestClass.consistency() == Consistency.WRITE && !attempt.neverRan) {
            // Without its answer it may have committed up to now; later ones can't reach this router.
            boolean told = outcome == Outcome.COMMITTED && answer.position() != HostReport.NO_POSITION;
            targets.remember(request, told ? answer.position() : clock.latest(now));
        }
    }
}
