package beaconladder.routing;

import beaconladder.routing.api.NextWakeup;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Feeds scripted events to a routing policy and traces its decisions, one per line, with times in milliseconds. */
final class Script {
    static final long MS = 1_000_000L;
    /** The time at which each script starts, so that positions before it exist. */
    static final long START_NANOS = 100_000 * MS;

    static final int ANY = 0;
    static final int BOUNDED = 1;
    static final int SESSION = 2;
    static final int CURRENT = 3;
    static final int WRITE = 4;
    static final int WRITE_WITH_KEY = 5;

    final Map<String, String> settings = ScriptSettings.defaults();
    private final Group group = new Group(1);
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Integer, Request> requests = new HashMap<>();
    private final StringBuilder trace = new StringBuilder();
    private RoutingPolicy policy;
    private long nowNanos = START_NANOS;
    private boolean closedConnectionsTraced;
    private boolean timeoutsTraced;

    Script(String... overrides) {
        for (String override : overrides) {
            settings.put(override.substring(0, override.indexOf('=')), override.substring(override.indexOf('=') + 1));
        }
        policy = new RoutingPolicy(7, settings);
    }

    /** Returns a script with a group of a (the listed primary), b and c, which have answered probes at time 0. */
    static Script warm(String... overrides) {
        return new Script(overrides)
                .list("a*", "b", "c")
                .advanceTo(0)
                .probed("a", Role.PRIMARY, 0)
                .probed("b", Role.REPLICA, 0)
                .probed("c", Role.REPLICA, 0)
                .clearTrace();
    }

    /** Lists these hosts as ready; one whose name ends in an asterisk is listed as primary. */
    Script list(String... entries) {
        for (String entry : entries) {
            list(entry.substring(0, 1), entry.endsWith("*"), Host.State.READY, 0);
        }
        return this;
    }

    /** Lists this host with a state and its launch time; 0 for long ago. */
    Script list(String name, boolean listedAsPrimary, Host.State state, long launchedMillis) {
        Host host = hosts.computeIfAbsent(name, n -> new Host(n.charAt(0), group, 0));
        policy.updateHost(
                host, listedAsPrimary, state, launchedMillis == 0 ? 0 : START_NANOS + launchedMillis * MS, nowNanos);
        return this;
    }

    /** Advances the time to this number of milliseconds after the start and processes what becomes due. */
    Script advanceTo(long millis) {
        long endNanos = START_NANOS + millis * MS;
        long dueNanos = processDue();
        while (dueNanos <= endNanos) {
            nowNanos = Math.max(nowNanos, dueNanos);
            dueNanos = processDue();
        }
        nowNanos = endNanos;
        processDue();
        return this;
    }

    /** Routes a new request; its session's last write was this many milliseconds ago, or 0 for none. */
    Script request(int id, int classIndex, long millisSinceWrite, long budgetMillis) {
        Request request = new Request(
                id,
                policy.requestClass(classIndex),
                group,
                9,
                millisSinceWrite > 0 ? nowNanos - millisSinceWrite * MS : Long.MIN_VALUE,
                0,
                false,
                nowNanos,
                nowNanos + budgetMillis * MS,
                id);
        requests.put(id, request);
        appendLine("request " + id + " "
                + request.requestClass.consistency().name().toLowerCase(java.util.Locale.ROOT));
        execute(request, policy.route(request, nowNanos));
        return this;
    }

    /** Makes this request one of a client with this many requests in flight. */
    Script ofClientWith(int id, int requestsInFlight) {
        requests.get(id).clientRequests.inFlight = requestsInFlight;
        return this;
    }

    /**
     * Ends the newest attempt in flight of this request, with the role and position (in milliseconds) in its answer.
     */
    Script end(int id, Outcome outcome, Role role, long positionMillis) {
        Attempt attempt = null;
        for (Attempt each : requests.get(id).attempts) {
            attempt = each.ended ? attempt : each;
        }
        return end(attempt, outcome, role, positionMillis, Role.UNKNOWN, 0);
    }

    /** Ends the newest attempt of this request with an answer and the load report that was sent with it. */
    Script end(int id, Outcome outcome, Role role, long positionMillis, Role reportedRole, long reportedMillis) {
        return end(
                requests.get(id).attempts.get(requests.get(id).attempts.size() - 1),
                outcome,
                role,
                positionMillis,
                reportedRole,
                reportedMillis);
    }

    private Script end(
            Attempt attempt, Outcome outcome, Role role, long positionMillis, Role reportedRole, long reportedMillis) {
        appendLine("end " + attempt.request.id + "@" + (char) attempt.host.id + " "
                + outcome.name().toLowerCase(java.util.Locale.ROOT));
        execute(
                attempt.request,
                policy.onAttemptEnded(
                        attempt,
                        outcome,
                        outcome == Outcome.COMMITTED,
                        report(role, positionMillis),
                        report(reportedRole, reportedMillis),
                        nowNanos));
        processDue();
        return this;
    }

    private static HostReport report(Role role, long millis) {
        return role == Role.UNKNOWN ? HostReport.EMPTY : new HostReport(role, START_NANOS + millis * MS, -1);
    }

    /** Ends all attempts in flight of this request: those at the named host time out, the others are committed. */
    Script endAllTimingOutAt(String name, int id) {
        for (Attempt attempt : java.util.List.copyOf(requests.get(id).attempts)) {
            if (!attempt.ended) {
                boolean lost = attempt.host == hosts.get(name);
                end(
                        attempt,
                        lost ? Outcome.TIMED_OUT : Outcome.COMMITTED,
                        lost ? Role.UNKNOWN : Role.REPLICA,
                        (nowNanos - START_NANOS) / MS,
                        Role.UNKNOWN,
                        0);
            }
        }
        return this;
    }

    Script end(int id, Outcome outcome) {
        return end(id, outcome, Role.UNKNOWN, 0);
    }

    /** Ends a probe of this host, whose report has this role and position. */
    Script probed(String name, Role role, long positionMillis) {
        return probed(name, role, positionMillis, -1);
    }

    Script probed(String name, Role role, long positionMillis, double inFlight) {
        return probed(name, new HostReport(role, START_NANOS + positionMillis * MS, inFlight));
    }

    /** Ends a probe of this host whose report has a role only. */
    Script probedRole(String name, Role role) {
        return probed(name, new HostReport(role, HostReport.NO_POSITION, -1));
    }

    private Script probed(String name, HostReport report) {
        hosts.get(name).probeInFlight = true;
        policy.onHealthCheckEnded(hosts.get(name), Outcome.COMMITTED, report, nowNanos);
        processDue();
        return this;
    }

    /** Disconnects the client of this request. */
    Script disconnect(int id) {
        appendLine("disconnect " + id);
        execute(requests.get(id), policy.onClientDisconnected(requests.get(id), nowNanos));
        return this;
    }

    /** Traces the hosts whose idle connections are closed too, from here on. */
    Script traceClosedConnections() {
        closedConnectionsTraced = true;
        return this;
    }

    /** Traces whether the newest attempt of this request may be sent now. */
    Script checkDispatch(int id) {
        Attempt attempt =
                requests.get(id).attempts.get(requests.get(id).attempts.size() - 1);
        appendLine("dispatch " + id + "@" + (char) attempt.host.id + " "
                + policy.checkDispatch(attempt, nowNanos).isAllowed());
        return this;
    }

    /** Traces the timeouts of attempts too, from here on. */
    Script traceTimeouts() {
        timeoutsTraced = true;
        return this;
    }

    /** Deletes the trace so far. */
    Script clearTrace() {
        trace.setLength(0);
        return this;
    }

    String trace() {
        return trace.toString();
    }

    private long processDue() {
        while (true) {
            NextWakeup wakeup = policy.nextWakeup(nowNanos);
            for (Host host : wakeup.hostsToProbe()) {
                appendLine("probe " + (char) host.id);
            }
            for (Host host : closedConnectionsTraced ? wakeup.hostsToDisconnect() : java.util.List.<Host>of()) {
                appendLine("close " + (char) host.id);
            }
            if (wakeup.requestsToRoute().isEmpty()) {
                return wakeup.dueNanos() <= nowNanos ? nowNanos + MS : wakeup.dueNanos();
            }
            for (Request request : wakeup.requestsToRoute()) {
                if (!request.ended) {
                    execute(request, policy.route(request, nowNanos));
                }
            }
        }
    }

    private void execute(Request request, RoutingDecision decision) {
        for (Attempt attempt : decision.attemptsToCancel()) {
            appendLine("  cancel " + request.id + "@" + (char) attempt.host.id);
        }
        switch (decision.step()) {
            case SEND -> {
                Attempt attempt = new Attempt(
                        request,
                        request.attempts.size(),
                        decision.host(),
                        nowNanos,
                        decision.host().inFlight.size() + 1);
                request.attempts.add(attempt);
                attempt.host.inFlight.add(attempt);
                appendLine("  send " + request.id + " to " + (char) attempt.host.id
                        + (timeoutsTraced ? " for " + decision.timeoutNanos() / MS : ""));
            }
            case WAIT -> {}
            default -> {
                request.ended = true;
                appendLine("  "
                        + decision.step()
                                .name()
                                .toLowerCase(java.util.Locale.ROOT)
                                .replace('_', ' ') + " "
                        + request.id
                        + (decision.retryAfterNanos() > 0 ? ", retry after " + decision.retryAfterNanos() / MS : ""));
            }
        }
    }

    private void appendLine(String line) {
        trace.append((nowNanos - START_NANOS) / MS).append(' ').append(line).append('\n');
    }
}
