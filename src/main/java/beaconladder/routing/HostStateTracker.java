package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.TrafficStatistics;
import beaconladder.routing.state.WakeupQueue;
import java.util.Set;

/** Tracks the positions, roles and states of hosts, from answers, load reports and the endpoint list. */
record HostStateTracker(
        TrafficStatistics traffic,
        ClusterClock clock,
        OutlierDetector outliers,
        ReadPositions readPositions,
        WakeupQueue wakeups,
        Set<Host> idleHosts) {
    /** A host with too few responses in this time may have its idle connections closed. */
    private static final long IDLE_PERIOD_NANOS = 10_000 * MILLISECOND;

    private static final int MIN_BUSY_RESPONSES = 3;
    /** Hosts that succeeded within this time count as live. */
    private static final long SUCCESS_PERIOD_NANOS = 20_000 * MILLISECOND;
    /** A timeout at a host with over this many times the mean load, and so many requests more, is due to the load. */
    private static final int OVERLOAD_FACTOR = 2;

    private static final int OVERLOAD_ALLOWANCE = 2;

    /**
     * Returns the report without its position if that is implausible in a direct answer, and an empty report if it is
     * implausible in a load report.
     */
    private HostReport validate(Host host, HostReport report, boolean direct, long now) {
        if (report.position() == HostReport.NO_POSITION || clock.acceptPosition(host, report.position(), now)) {
            return report;
        }
        return direct ? new HostReport(report.role(), HostReport.NO_POSITION, report.inFlight()) : HostReport.EMPTY;
    }

    /** Applies a report to the host and its group; {@code direct} for the answer itself, not its load report. */
    private void applyReport(Host host, HostReport report, boolean direct, long now) {
        Group group = host.group;
        if (report.position() != HostReport.NO_POSITION || report.inFlight() >= 0) {
            host.lastReportNanos = now;
            host.reportedInFlight = report.inFlight() >= 0 ? report.inFlight() : host.reportedInFlight;
        }
        if (report.position() != HostReport.NO_POSITION && (direct || report.position() > host.position)) {
            host.lagNanos = clock.hostTimeAt(now) - report.position();
        }
        if (report.position() > host.position) {
            host.position = report.position();
            wakeups.markChanged(group);
        }
        long reportedPosition = report.position() == HostReport.NO_POSITION ? clock.hostTimeAt(now) : report.position();
        // Positions recorded before the clock was corrected can lie ahead of the present.
        host.replicaReportPosition = Math.min(host.replicaReportPosition, clock.maxPlausiblePosition(now));
        group.primaryPosition = Math.min(group.primaryPosition, clock.maxPlausiblePosition(now));
        // A load report is older than the answer that carries it, so it does not override the role in that answer.
        host.replicaReportPosition =
                direct && report.role() == Role.REPLICA ? reportedPosition : host.replicaReportPosition;
        if (report.role() == Role.PRIMARY
                && reportedPosition >= group.primaryPosition
                && reportedPosition > host.replicaReportPosition + MILLISECOND) {
            group.primaryPosition = reportedPosition;
            group.primaryFoundNanos = group.primary == host ? group.primaryFoundNanos : now;
            group.primary = host;
        } else if (report.role() == Role.REPLICA
                && group.primary == host
                && (direct || reportedPosition > group.primaryPosition)) {
            group.markPrimaryLost(now);
        }
    }

    /** Updates the host and its group after a probe has ended. */
    void onHealthCheckEnded(Host host, Outcome outcome, HostReport statedReport, long now) {
        HostReport report = validate(host, statedReport, false, now);
        host.probeInFlight = false;
        wakeups.markChanged(host.group);
        if (outcome == Outcome.MOOT || outcome == Outcome.LOCAL_FAULT) {
            // The probe was never sent.
            return;
        }
        if (outcome == Outcome.COMMITTED) {
            // A host that was unreachable loses its failed connects; one that was only silent keeps its failures.
            if (!host.contacted) {
                host.responses.clear();
            }
            host.contacted = true;
            applyReport(host, report, false, now);
            host.lastReportNanos = now;
            if (report.role() == Role.REPLICA && report.position() != HostReport.NO_POSITION) {
                traffic.reportedLags.add(clock.hostTimeAt(now) - report.position(), 0, now);
            }
        } else {
            host.responses.add(0, 0, now);
        }
    }

    /** Applies the state that the endpoint list gives a host, and what follows from a restart or a new primary. */
    void updateHost(Host host, boolean listedAsPrimary, Host.State state, long launchedNanos, long now) {
        Group group = host.group;
        wakeups.markChanged(group);
        if (!group.members.contains(host)) {
            wakeups.registerGroup(group);
            group.members.add(host);
            host.launchedNanos = launchedNanos;
            host.startNotifiedNanos = now;
        } else if (launchedNanos > host.launchedNanos) {
            // After a restart the known health and role are no longer valid; positions are.
            host.launchedNanos = launchedNanos;
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
        if (listedAsPrimary && group.listedPrimary != host) {
            group.listedPrimary = host;
            // Endpoint lists are seconds late, so a host that reported to be a replica is probed first.
            boolean reportedReplica = host.replicaReportPosition != UNSET;
            if ((group.primary == null
                            || group.primary.state != Host.State.READY
                            || outliers.isSuspect(group.primary, now))
                    && (!reportedReplica || traffic.probesAllowed())) {
                group.primaryFoundNanos = now;
                group.primary = host;
                host.contacted &= !reportedReplica;
            }
        }
    }

    /** Removes a host that is no longer listed; returns false while its attempts or a probe may still matter. */
    boolean removeHost(Host host, long now) {
        host.abandoned.removeIf(old -> now > old.request.expiryNanos);
        if (!host.inFlight.isEmpty() || !host.abandoned.isEmpty() || host.probeInFlight) {
            return false;
        }
        idleHosts.remove(host);
        host.group.removeMember(host);
        if (host.group.primary == host) {
            host.group.markPrimaryLost(now);
        }
        return true;
    }

    /** Updates the host, its group and the commit positions of the request's session after an attempt has ended. */
    void onAttemptEnded(Attempt attempt, Outcome outcome, HostReport statedAnswer, HostReport statedReport, long now) {
        Host host = attempt.host;
        HostReport answer = validate(host, statedAnswer, true, now);
        HostReport report = validate(host, statedReport, false, now);
        attempt.ended = true;
        attempt.neverRan = outcome.provesNotRun();
        host.inFlight.remove(attempt);
        wakeups.markChanged(host.group);
        if (host.inFlight.isEmpty() && host.responseTimes.countSince(now - IDLE_PERIOD_NANOS) < MIN_BUSY_RESPONSES) {
            idleHosts.add(host);
        }
        host.lastUnansweredNanos = outcome.isFromHost() || attempt.neverRan ? host.lastUnansweredNanos : now;
        if (outcome.isFromHost()) {
            recordResponse(attempt, outcome, now);
        } else if (outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET || outcome == Outcome.UNREACHABLE) {
            recordMissingResponse(attempt, outcome, now);
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            host.abandoned.add(attempt);
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.MOOT && outcome != Outcome.LOCAL_FAULT) {
            recordSuccess(attempt, outcome, now);
        }
        if (outcome == Outcome.COMMITTED && isFromCurrentPrimary(attempt, answer)) {
            clock.onPrimaryAnswer(host, answer.position(), attempt.sentNanos);
        }
        applyReport(host, answer, true, now);
        applyReport(host, report, false, now);
        if (attempt.request.requestClass.consistency() == Consistency.WRITE) {
            recordWrite(attempt, outcome, answer, now);
        }
    }

    /** Records an answer of the host itself. */
    private void recordResponse(Attempt attempt, Outcome outcome, long now) {
        Host host = attempt.host;
        host.contacted = true;
        host.lastResponseNanos = now;
        host.responses.add(1, 0, now);
        // A host responds roughly in the order of the sends, so attempts abandoned before this send have ended.
        host.abandoned.removeIf(old -> old.sentNanos < attempt.sentNanos);
        if (outcome == Outcome.COMMITTED) {
            long tookNanos = now - attempt.sentNanos;
            host.newestResponseDurationNanos = tookNanos;
            host.newestResponseAtNanos = now;
            host.responseTimes.add(tookNanos, attempt.hostConcurrency, now);
            host.group.responseTimes.add(tookNanos, attempt.hostConcurrency, now);
            outliers.recordResponseTime(attempt, now);
        } else if (outcome == Outcome.FULL) {
            host.lastRejectionNanos = now;
        }
    }

    /** Records that the host did not answer, and a timeout as a response time. */
    private void recordMissingResponse(Attempt attempt, Outcome outcome, long now) {
        Host host = attempt.host;
        if (host.lastResponseNanos < attempt.sentNanos) {
            host.responses.add(0, 0, now);
        }
        host.contacted &= outcome != Outcome.UNREACHABLE;
        if (outcome != Outcome.TIMED_OUT) {
            return;
        }
        host.responseTimes.add(now - attempt.sentNanos, attempt.hostConcurrency, now);
        // At a host with far more load than usual a timeout shows the load, elsewhere a fault of the host.
        if (attempt.hostReportedInFlight
                > OVERLOAD_FACTOR * traffic.responseTimesByLoad.meanLoad(UNSET) + OVERLOAD_ALLOWANCE) {
            outliers.recordResponseTime(attempt, now);
        }
    }

    /**
     * Records whether the attempt succeeded. An error counts as much as a lost response, since a host that fails at
     * once looks idle and fast.
     */
    private void recordSuccess(Attempt attempt, Outcome outcome, long now) {
        Host host = attempt.host;
        boolean withinSla = now - attempt.sentNanos <= attempt.request.requestClass.slaNanos();
        int success = outcome == Outcome.COMMITTED && withinSla || outcome == Outcome.MISS ? 1 : 0;
        if (host.successes.sumSince(now - SUCCESS_PERIOD_NANOS) > 0) {
            traffic.failuresAtLiveHosts.add(1 - success, 0, now);
        }
        host.successes.add(success, 0, now);
    }

    /** Whether this answer states the primary's position at the time of the answer, which bounds the hosts' clock. */
    private static boolean isFromCurrentPrimary(Attempt attempt, HostReport answer) {
        RequestClass requestClass = attempt.request.requestClass;
        // For a write with an idempotency key, the commit may be that of an earlier attempt, before this one was sent.
        boolean committedNow = requestClass.consistency() != Consistency.WRITE
                || requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        // A primary whose replicas have a later position has been replaced by another one.
        return answer.role() == Role.PRIMARY
                && committedNow
                && answer.position() != HostReport.NO_POSITION
                && answer.position() >= attempt.host.group.newestPosition();
    }

    /** Records the position that a write may have committed at, and a lost primary. */
    private void recordWrite(Attempt attempt, Outcome outcome, HostReport answer, long now) {
        Group group = attempt.host.group;
        if (outcome == Outcome.MISS && group.primary == attempt.host) {
            group.markPrimaryLost(now);
        }
        if (!attempt.neverRan) {
            // Without an answer it may have committed up to now; the answer to a later commit can't reach this router.
            boolean positionKnown = outcome == Outcome.COMMITTED && answer.position() != HostReport.NO_POSITION;
            readPositions.recordCommit(
                    attempt.request, positionKnown ? answer.position() : clock.latestHostTimeAt(now));
        }
    }
}
