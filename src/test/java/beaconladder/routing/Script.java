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

/** Plays a script of events to the routing policy and prints its decisions, a line each, times in milliseconds. */
final class Script {
    static final long MS = 1_000_000L;
    /** The script starts at this clock, so that positions before it exist. */
    static final long ZERO = 100_000 * MS;

    static final int ANY = 0;
    static final int BOUNDED = 1;
    static final int SESSION = 2;
    static final int CURRENT = 3;
    static final int WRITE = 4;
    static final int REFERENCED = 5;

    final Map<String, String> start = ScriptSettings.usual();
    private final Group group = new Group(1);
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Integer, Request> txns = new HashMap<>();
    private final StringBuilder trace = new StringBuilder();
    private RoutingPolicy logic;
    private long now = ZERO;
    private boolean showsClosing;
    private boolean showsTimes;

    Script(String... settings) {
        for (String s : settings) {
            start.put(s.substring(0, s.indexOf('=')), s.substring(s.indexOf('=') + 1));
        }
        logic = new RoutingPolicy(7, start);
    }

    /** A group of a (primary by the endpoint list), b and c, all met, replicas at the present. */
    static Script warm(String... settings) {
        return new Script(settings)
                .list("a*", "b", "c")
                .tick(0)
                .probed("a", Role.PRIMARY, 0)
                .probed("b", Role.REPLICA, 0)
                .probed("c", Role.REPLICA, 0)
                .quiet();
    }

    Script list(String... entries) {
        for (String e : entries) {
            list(e.substring(0, 1), e.endsWith("*"), Host.State.READY, 0);
        }
        return this;
    }

    Script list(String name, boolean leader, Host.State state, long launchedMillis) {
        Host host = hosts.computeIfAbsent(name, n -> new Host(n.charAt(0), group, 0));
        logic.updateHost(host, leader, state, launchedMillis == 0 ? 0 : ZERO + launchedMillis * MS, now);
        return this;
    }

    /** Lets time pass to this moment and settles what is due on the way. */
    Script tick(long millis) {
        long to = ZERO + millis * MS;
        long until = settle();
        while (until <= to) {
            now = Math.max(now, until);
            until = settle();
        }
        now = to;
        settle();
        return this;
    }

    Script ask(int id, int type, long sinceWriteMillis, long budgetMillis) {
        Request request = new Request(
                id,
                logic.requestClass(type),
                group,
                9,
                sinceWriteMillis > 0 ? now - sinceWriteMillis * MS : Long.MIN_VALUE,
                0,
                false,
                now,
                now + budgetMillis * MS,
                id);
        txns.put(id, request);
        say("ask " + id + " " + request.requestClass.consistency().name().toLowerCase(java.util.Locale.ROOT));
        act(request, logic.route(request, now));
        return this;
    }

    /** The newest attempt of this request ends; a position in milliseconds goes with an answer. */
    Script end(int id, Outcome outcome, Role role, long positionMillis) {
        Attempt attempt = null;
        for (Attempt each : txns.get(id).attempts) {
            attempt = each.ended ? attempt : each;
        }
        return end(attempt, outcome, role, positionMillis, Role.UNKNOWN, 0);
    }

    /** The same, of an answer that brings a report along. */
    Script end(int id, Outcome outcome, Role role, long positionMillis, Role reported, long reportedMillis) {
        return end(
                txns.get(id).attempts.get(txns.get(id).attempts.size() - 1),
                outcome,
                role,
                positionMillis,
                reported,
                reportedMillis);
    }

    private Script end(
            Attempt attempt, Outcome outcome, Role role, long positionMillis, Role reported, long reportedMillis) {
        say("end " + attempt.request.id + "@" + (char) attempt.host.id + " "
                + outcome.name().toLowerCase(java.util.Locale.ROOT));
        act(
                attempt.request,
                logic.onAttemptEnded(
                        attempt,
                        outcome,
                        outcome == Outcome.COMMITTED,
                        word(role, positionMillis),
                        word(reported, reportedMillis),
                        now));
        settle();
        return this;
    }

    private static HostReport word(Role role, long millis) {
        return role == Role.UNKNOWN ? HostReport.EMPTY : new HostReport(role, ZERO + millis * MS, -1);
    }

    /** Of this request's attempts, those out at the named host time out and those elsewhere are committed. */
    Script silent(String name, int id) {
        for (Attempt attempt : java.util.List.copyOf(txns.get(id).attempts)) {
            if (!attempt.ended) {
                boolean lost = attempt.host == hosts.get(name);
                end(
                        attempt,
                        lost ? Outcome.TIMED_OUT : Outcome.COMMITTED,
                        lost ? Role.UNKNOWN : Role.REPLICA,
                        (now - ZERO) / MS,
                        Role.UNKNOWN,
                        0);
            }
        }
        return this;
    }

    Script end(int id, Outcome outcome) {
        return end(id, outcome, Role.UNKNOWN, 0);
    }

    Script probed(String name, Role role, long positionMillis) {
        return probed(name, role, positionMillis, -1);
    }

    Script probed(String name, Role role, long positionMillis, double holds) {
        return probed(name, new HostReport(role, ZERO + positionMillis * MS, holds));
    }

    /** A probe tells of a role alone. */
    Script found(String name, Role role) {
        return probed(name, new HostReport(role, HostReport.NO_POSITION, -1));
    }

    private Script probed(String name, HostReport report) {
        hosts.get(name).probeInFlight = true;
        logic.onHealthCheckEnded(hosts.get(name), Outcome.COMMITTED, report, now);
        settle();
        return this;
    }

    /** The client of this request leaves. */
    Script left(int id) {
        say("left " + id);
        act(txns.get(id), logic.onClientDisconnected(txns.get(id), now));
        return this;
    }

    /** Connections that are closed are traced too, from here on. */
    Script showClosing() {
        showsClosing = true;
        return this;
    }

    /** The newest attempt of this request has its connection: whether it still stands. */
    Script stands(int id) {
        Attempt attempt = txns.get(id).attempts.get(txns.get(id).attempts.size() - 1);
        say("stands " + id + "@" + (char) attempt.host.id + " "
                + logic.checkDispatch(attempt, now).isAllowed());
        return this;
    }

    /** How long attempts may take is traced too, from here on. */
    Script showTimes() {
        showsTimes = true;
        return this;
    }

    /** Forgets the trace so far. */
    Script quiet() {
        trace.setLength(0);
        return this;
    }

    String trace() {
        return trace.toString();
    }

    private long settle() {
        while (true) {
            NextWakeup pause = logic.nextWakeup(now);
            for (Host host : pause.hostsToProbe()) {
                say("probe " + (char) host.id);
            }
            for (Host host : showsClosing ? pause.hostsToDisconnect() : java.util.List.<Host>of()) {
                say("close " + (char) host.id);
            }
            if (pause.requestsToRoute().isEmpty()) {
                return pause.dueNanos() <= now ? now + MS : pause.dueNanos();
            }
            for (Request request : pause.requestsToRoute()) {
                if (!request.ended) {
                    act(request, logic.route(request, now));
                }
            }
        }
    }

    private void act(Request request, RoutingDecision decision) {
        for (Attempt attempt : decision.attemptsToCancel()) {
            say("  cancel " + request.id + "@" + (char) attempt.host.id);
        }
        switch (decision.step()) {
            case SEND -> {
                Attempt attempt = new Attempt(
                        request,
                        request.attempts.size(),
                        decision.host(),
                        now,
                        decision.host().inFlight.size() + 1);
                request.attempts.add(attempt);
                attempt.host.inFlight.add(attempt);
                say("  send " + request.id + " to " + (char) attempt.host.id
                        + (showsTimes ? " for " + decision.timeoutNanos() / MS : ""));
            }
            case WAIT -> {}
            default -> {
                request.ended = true;
                say("  "
                        + decision.step()
                                .name()
                                .toLowerCase(java.util.Locale.ROOT)
                                .replace('_', ' ') + " "
                        + request.id
                        + (decision.retryAfterNanos() > 0 ? ", back in " + decision.retryAfterNanos() / MS : ""));
            }
        }
    }

    private void say(String line) {
        trace.append((now - ZERO) / MS).append(' ').append(line).append('\n');
    }
}
