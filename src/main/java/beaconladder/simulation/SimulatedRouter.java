package beaconladder.simulation;

import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One instance on the wire: keeps its txns in hand and its timer, and passes questions and answers. */
final class SimulatedRouter implements DecisionLoop.ActionHandler {
    private static final long LONGEST_TIMER_MICROS = 71L * 60 * 1_000_000;

    final long number;
    boolean touched;

    private final BatchWriter reply;
    private Router router;
    private DecisionLoop rounds;
    private Map<Integer, Host> hosts = Map.of();
    private Map<Integer, Group> groups = Map.of();
    private Map<Long, Request> txns = Map.of();
    private long zeroMicros;
    private int positionField;
    private int primaryField;
    private int loadField;
    private boolean asks;
    private long taken;
    private long timerHandle;
    private long timerAt;

    SimulatedRouter(long number, BatchWriter reply) {
        this.number = number;
        this.reply = reply;
    }

    void start(long seed, String settings, long clock) {
        Map<String, String> start = new LinkedHashMap<>();
        settings.lines().forEach(line -> {
            int at = line.indexOf('=');
            if (at > 0) {
                start.put(line.substring(0, at), line.substring(at + 1));
            }
        });
        hosts = new LinkedHashMap<>();
        groups = new LinkedHashMap<>();
        txns = new HashMap<>();
        zeroMicros = Long.parseLong(start.getOrDefault("family_info.position_zero_us", "0"));
        List<String> fields =
                Arrays.asList(start.getOrDefault("load_report.fields", "").split(","));
        positionField = fields.indexOf("x0");
        primaryField = fields.indexOf("x1");
        loadField = fields.indexOf("rif");
        asks = "ask".equals(start.get("discovery"));
        taken = 0;
        timerAt = Long.MAX_VALUE;
        router = new RoutingPolicy(seed, start);
        rounds = new DecisionLoop(router, this);
        if (asks) {
            reply.tail();
        }
    }

    void shutdown() {
        router = null;
        hosts = Map.of();
        groups = Map.of();
        txns = Map.of();
    }

    void view(boolean whole, List<SimulatorSession.Entry> entries, long clock) {
        if (router == null) {
            return;
        }
        guard(() -> {
            Set<Integer> named = new HashSet<>();
            for (SimulatorSession.Entry e : entries) {
                named.add(e.host());
                Group group = groups.computeIfAbsent(e.group(), Group::new);
                Host host = hosts.computeIfAbsent(e.host(), id -> new Host(id, group, e.zone()));
                Host.State state = switch (e.state()) {
                    case 1 -> Host.State.READY;
                    case 2 -> Host.State.DRAINING;
                    default -> Host.State.GONE;
                };
                router.updateHost(host, e.leader(), state, e.launchedMicros() * 1_000, clock * 1_000);
            }
            if (whole) {
                for (Host host : hosts.values()) {
                    if (!named.contains(host.id) && host.state != Host.State.GONE) {
                        router.updateHost(host, false, Host.State.GONE, host.launchedNanos, clock * 1_000);
                    }
                }
            }
        });
    }

    void viewFailed() {
        if (router != null && asks) {
            reply.tail();
        }
    }

    void request(
            long call,
            int type,
            long session,
            float sinceWriteMillis,
            int tenant,
            int group,
            long budget,
            boolean repeated,
            long clock) {
        if (router == null) {
            return;
        }
        guard(() -> {
            long now = clock * 1_000;
            // The age of a write is rounded down, that is, toward the newer position.
            long written = sinceWriteMillis > 0
                    ? now - Math.max(1, (long) (Math.nextDown(sinceWriteMillis) * 1e6))
                    : HostReport.NO_POSITION;
            Group of = groups.computeIfAbsent(group, Group::new);
            Request txn = new Request(
                    call,
                    router.requestClass(type),
                    of,
                    session,
                    written,
                    tenant,
                    repeated,
                    now,
                    now + budget * 1_000,
                    taken++);
            txns.put(call, txn);
            rounds.execute(txn, router.route(txn, now), now);
        });
    }

    void done(long call, int copy, int reason, boolean settled, long note, float[] pressure, long clock) {
        Attempt submission = find(call, copy);
        if (submission == null || submission.ended) {
            return;
        }
        guard(() -> {
            long now = clock * 1_000;
            HostReport answer = note == 0
                    ? HostReport.EMPTY
                    : new HostReport(
                            note % 4 == 1 ? Role.PRIMARY : note % 4 == 2 ? Role.REPLICA : Role.UNKNOWN,
                            note / 4 == 0 ? HostReport.NO_POSITION : zeroMicros * 1_000 + note / 4 * 1_000_000,
                            -1);
            Request txn = submission.request;
            rounds.execute(
                    txn, router.onAttemptEnded(submission, outcome(reason), settled, answer, word(pressure), now), now);
            if (txn.ended && txn.attemptsInFlight() == 0) {
                txns.remove(call);
            }
        });
    }

    void sampled(int host, int reason, float[] pressure, long clock) {
        Host of = hosts.get(host);
        if (router != null && of != null) {
            guard(() -> router.onHealthCheckEnded(of, outcome(reason), word(pressure), clock * 1_000));
        }
    }

    void left(long call, long clock) {
        Request txn = txns.get(call);
        if (txn != null && !txn.ended) {
            guard(() -> {
                rounds.execute(txn, router.onClientDisconnected(txn, clock * 1_000), clock * 1_000);
            });
        }
    }

    void timer(long handle) {
        if (handle == timerHandle) {
            timerAt = Long.MAX_VALUE;
        }
    }

    /** All events of a batch are in: asks how long to wait, and about those due. */
    void settle(long clock) {
        if (router == null) {
            return;
        }
        guard(() -> {
            long now = clock * 1_000;
            long until = rounds.processDue(now);
            if (until < timerAt) {
                timerAt = until;
                long micros = (Math.max(1_000, until - now) + 999) / 1_000;
                reply.wakeMe(++timerHandle, Math.min(micros, LONGEST_TIMER_MICROS));
            }
        });
    }

    @Override
    public void send(Attempt s, long timeout) {
        reply.issue(s.request.id, s.host.id, Math.max(1, timeout / 1_000));
    }

    @Override
    public void cancel(Attempt s) {
        reply.dropAttempt(s.request.id, s.index);
    }

    @Override
    public void reject(Request txn, long comeBack, RoutingDecision.Reason reason) {
        reply.sayNo(txn.id, comeBack / 1_000);
    }

    @Override
    public void rollBack(Request txn, RoutingDecision.Reason reason) {
        reply.fail(txn.id);
    }

    @Override
    public void onRequestEnded(Request txn) {
        if (txn.attemptsInFlight() == 0) {
            txns.remove(txn.id);
        }
    }

    @Override
    public void probe(Host host) {
        reply.healthCheck(host.id);
    }

    @Override
    public void closeIdleConnections(Host host) {
        reply.hangUp(host.id);
    }

    private Attempt find(long call, int copy) {
        Request txn = txns.get(call);
        return txn == null || copy >= txn.attempts.size() ? null : txn.attempts.get(copy);
    }

    /** A report; a field that is missing or can't be true (not a number, negative) counts as not reported. */
    HostReport word(float[] pressure) {
        float position = field(pressure, positionField);
        float primary = field(pressure, primaryField);
        // One step down, since the nearest float may lie above the true position.
        return new HostReport(
                primary < 0 ? Role.UNKNOWN : primary >= 0.5f ? Role.PRIMARY : Role.REPLICA,
                position < 0 ? HostReport.NO_POSITION : zeroMicros * 1_000 + (long) (Math.nextDown(position) * 1e9),
                field(pressure, loadField));
    }

    private static float field(float[] pressure, int place) {
        // A million stands far above what a host can hold and above a clock's seconds in use here.
        return place >= 0 && place < pressure.length && pressure[place] >= 0 && pressure[place] < 1e6f
                ? pressure[place]
                : -1;
    }

    private static Outcome outcome(int reason) {
        return switch (reason) {
            case 0 -> Outcome.COMMITTED;
            case 1 -> Outcome.CANCELLED;
            case 4 -> Outcome.TIMED_OUT;
            case 5 -> Outcome.MISS;
            case 8 -> Outcome.FULL;
            case 9 -> Outcome.MOOT;
            case 10 -> Outcome.RESET;
            case 14 -> Outcome.UNREACHABLE;
            default -> Outcome.ERROR;
        };
    }

    /** A fault in the decisions ends the day with its text. */
    private void guard(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.bailOut(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
