package beaconladder.routing;

import beaconladder.routing.api.NextWakeup;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.Router.Word;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Plays a script of events to the module and prints its decisions, a line each, times in milliseconds. */
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

    /** A group of a (primary by the roster), b and c, all met, replicas at the present. */
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
        logic.listed(host, leader, state, launchedMillis == 0 ? 0 : ZERO + launchedMillis * MS, now);
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
        Request txn = new Request(
                id,
                logic.type(type),
                group,
                9,
                sinceWriteMillis > 0 ? now - sinceWriteMillis * MS : Long.MIN_VALUE,
                0,
                false,
                now,
                now + budgetMillis * MS,
                id);
        txns.put(id, txn);
        say("ask " + id + " " + txn.type.read().name().toLowerCase(java.util.Locale.ROOT));
        act(txn, logic.place(txn, now));
        return this;
    }

    /** The newest submission of this txn ends; a position in milliseconds goes with an answer. */
    Script end(int id, Outcome outcome, Role role, long positionMillis) {
        Attempt s = null;
        for (Attempt each : txns.get(id).submissions) {
            s = each.ended ? s : each;
        }
        return end(s, outcome, role, positionMillis, Role.UNKNOWN, 0);
    }

    /** The same, of an answer that brings a report along. */
    Script end(int id, Outcome outcome, Role role, long positionMillis, Role reported, long reportedMillis) {
        return end(
                txns.get(id).submissions.get(txns.get(id).submissions.size() - 1),
                outcome,
                role,
                positionMillis,
                reported,
                reportedMillis);
    }

    private Script end(Attempt s, Outcome outcome, Role role, long positionMillis, Role reported, long reportedMillis) {
        say("end " + s.txn.id + "@" + (char) s.host.id + " " + outcome.name().toLowerCase(java.util.Locale.ROOT));
        act(
                s.txn,
                logic.after(
                        s,
                        outcome,
                        outcome == Outcome.COMMITTED,
                        word(role, positionMillis),
                        word(reported, reportedMillis),
                        now));
        settle();
        return this;
    }

    private static Word word(Role role, long millis) {
        return role == Role.UNKNOWN ? Word.SILENT : new Word(role, ZERO + millis * MS, -1);
    }

    /** Of this txn's submissions, those out at the named host time out and those elsewhere are committed. */
    Script silent(String name, int id) {
        for (Attempt s : java.util.List.copyOf(txns.get(id).submissions)) {
            if (!s.ended) {
                boolean lost = s.host == hosts.get(name);
                end(
                        s,
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
        return probed(name, new Word(role, ZERO + positionMillis * MS, holds));
    }

    /** A probe tells of a role alone. */
    Script found(String name, Role role) {
        return probed(name, new Word(role, Word.NONE, -1));
    }

    private Script probed(String name, Word word) {
        hosts.get(name).probeOut = true;
        logic.probed(hosts.get(name), Outcome.COMMITTED, word, now);
        settle();
        return this;
    }

    /** The client of this txn leaves. */
    Script left(int id) {
        say("left " + id);
        act(txns.get(id), logic.left(txns.get(id), now));
        return this;
    }

    /** Connections that are closed are traced too, from here on. */
    Script showClosing() {
        showsClosing = true;
        return this;
    }

    /** The newest submission of this txn has its connection: whether it still stands. */
    Script stands(int id) {
        Attempt s = txns.get(id).submissions.get(txns.get(id).submissions.size() - 1);
        say("stands " + id + "@" + (char) s.host.id + " " + logic.mayGo(s, now).allowed());
        return this;
    }

    /** How long submissions may take is traced too, from here on. */
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
            NextWakeup pause = logic.pause(now);
            for (Host host : pause.probe()) {
                say("probe " + (char) host.id);
            }
            for (Host host : showsClosing ? pause.close() : java.util.List.<Host>of()) {
                say("close " + (char) host.id);
            }
            if (pause.again().isEmpty()) {
                return pause.until() <= now ? now + MS : pause.until();
            }
            for (Request txn : pause.again()) {
                if (!txn.ended) {
                    act(txn, logic.place(txn, now));
                }
            }
        }
    }

    private void act(Request txn, RoutingDecision verdict) {
        for (Attempt s : verdict.cancel()) {
            say("  cancel " + txn.id + "@" + (char) s.host.id);
        }
        switch (verdict.step()) {
            case SEND -> {
                Attempt s = new Attempt(
                        txn,
                        txn.submissions.size(),
                        verdict.host(),
                        now,
                        verdict.host().out.size() + 1);
                txn.submissions.add(s);
                s.host.out.add(s);
                say("  send " + txn.id + " to " + (char) s.host.id
                        + (showsTimes ? " for " + verdict.timeout() / MS : ""));
            }
            case WAIT -> {}
            default -> {
                txn.ended = true;
                say("  "
                        + verdict.step()
                                .name()
                                .toLowerCase(java.util.Locale.ROOT)
                                .replace('_', ' ') + " "
                        + txn.id
                        + (verdict.comeBack() > 0 ? ", back in " + verdict.comeBack() / MS : ""));
            }
        }
    }

    private void say(String line) {
        trace.append((now - ZERO) / MS).append(' ').append(line).append('\n');
    }
}
