package beaconladder.simulation;

import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One router instance of the simulation: keeps its hosts, in-flight requests and timer, passes the simulator's events
 * to the routing policy, and writes the actions into the reply. Times on the wire are microseconds.
 */
final class SimulatedRouter implements DecisionLoop.ActionHandler {
    private static final long NANOS_PER_MICRO = 1_000;
    /** The longest timer of the wire: its micros are a 32-bit number. */
    private static final long MAX_TIMER_MICROS = 71L * 60 * 1_000_000;

    final long number;
    /** Whether the current batch has an event for this instance. */
    boolean hasEvents;

    private final BatchWriter reply;
    private Router router;
    private DecisionLoop decisionLoop;
    private Map<Integer, Host> hosts = Map.of();
    private Map<Integer, Group> groups = Map.of();
    private Map<Long, Request> inFlight = Map.of();
    private ReportDecoder reports;
    private boolean pollsDiscovery;
    private long requestCount;
    private long timerHandle;
    private long timerAtNanos;

    SimulatedRouter(long number, BatchWriter reply) {
        this.number = number;
        this.reply = reply;
    }

    /** Starts the instance anew with these settings, as KEY=VALUE lines. */
    void start(long seed, String settingLines) {
        Map<String, String> settings = parseSettings(settingLines);
        hosts = new LinkedHashMap<>();
        groups = new LinkedHashMap<>();
        inFlight = new HashMap<>();
        reports = new ReportDecoder(settings);
        pollsDiscovery = "ask".equals(settings.get("discovery"));
        requestCount = 0;
        timerAtNanos = Long.MAX_VALUE;
        router = new RoutingPolicy(seed, settings);
        decisionLoop = new DecisionLoop(router, this);
        if (pollsDiscovery) {
            reply.pollEndpoints();
        }
    }

    private static Map<String, String> parseSettings(String lines) {
        Map<String, String> settings = new LinkedHashMap<>();
        lines.lines().forEach(line -> {
            int equals = line.indexOf('=');
            if (equals > 0) {
                settings.put(line.substring(0, equals), line.substring(equals + 1));
            }
        });
        return settings;
    }

    /** Ends the instance; later events are ignored until it starts again. */
    void shutdown() {
        router = null;
        hosts = Map.of();
        groups = Map.of();
        inFlight = Map.of();
    }

    /**
     * An endpoint list has arrived.
     *
     * @param isComplete whether hosts that it does not name are gone
     */
    void onEndpointView(boolean isComplete, List<EndpointEntry> entries, long clockMicros) {
        if (router != null) {
            guard(() -> updateHosts(isComplete, entries, nanos(clockMicros)));
        }
    }

    private void updateHosts(boolean isComplete, List<EndpointEntry> entries, long nowNanos) {
        Set<Integer> listed = new HashSet<>();
        for (EndpointEntry entry : entries) {
            listed.add(entry.host());
            Group group = groups.computeIfAbsent(entry.group(), Group::new);
            Host host = hosts.computeIfAbsent(entry.host(), id -> new Host(id, group, entry.zone()));
            router.updateHost(host, entry.isPrimary(), entry.state(), nanos(entry.launchedMicros()), nowNanos);
        }
        if (isComplete) {
            for (Host host : hosts.values()) {
                if (!listed.contains(host.id) && host.state != Host.State.GONE) {
                    router.updateHost(host, false, Host.State.GONE, host.launchedNanos, nowNanos);
                }
            }
        }
    }

    void onEndpointViewFailed() {
        if (router != null && pollsDiscovery) {
            reply.pollEndpoints();
        }
    }

    void onRequest(RequestEvent event, long clockMicros) {
        if (router == null) {
            return;
        }
        guard(() -> {
            long nowNanos = nanos(clockMicros);
            Request request = new Request(
                    event.id(),
                    router.requestClass(event.requestClass()),
                    groups.computeIfAbsent(event.group(), Group::new),
                    event.session(),
                    event.writtenPosition(nowNanos),
                    event.tenant(),
                    event.isRetry(),
                    nowNanos,
                    nowNanos + nanos(event.budgetMicros()),
                    requestCount++);
            inFlight.put(event.id(), request);
            decisionLoop.execute(request, router.route(request, nowNanos), nowNanos);
        });
    }

    void onAttemptEnded(AttemptEndedEvent event, long clockMicros) {
        Attempt attempt = findAttempt(event.requestId(), event.attemptIndex());
        if (attempt == null || attempt.ended) {
            return;
        }
        guard(() -> {
            long nowNanos = nanos(clockMicros);
            Request request = attempt.request;
            RoutingDecision decision = router.onAttemptEnded(
                    attempt,
                    ReportDecoder.outcome(event.outcomeCode()),
                    event.isSettled(),
                    reports.responseReport(event.responsePosition()),
                    reports.loadReport(event.loadReport()),
                    nowNanos);
            decisionLoop.execute(request, decision, nowNanos);
            if (request.ended && request.attemptsInFlight() == 0) {
                inFlight.remove(event.requestId());
            }
        });
    }

    void onHealthCheckEnded(int hostId, int outcomeCode, float[] loadReport, long clockMicros) {
        Host host = hosts.get(hostId);
        if (router != null && host != null) {
            guard(() -> router.onHealthCheckEnded(
                    host, ReportDecoder.outcome(outcomeCode), reports.loadReport(loadReport), nanos(clockMicros)));
        }
    }

    void onClientDisconnected(long requestId, long clockMicros) {
        Request request = inFlight.get(requestId);
        if (request != null && !request.ended) {
            guard(() -> {
                long nowNanos = nanos(clockMicros);
                decisionLoop.execute(request, router.onClientDisconnected(request, nowNanos), nowNanos);
            });
        }
    }

    /** A timer has fired; one that was replaced by a later one is ignored. */
    void onTimer(long handle) {
        if (handle == timerHandle) {
            timerAtNanos = Long.MAX_VALUE;
        }
    }

    /** All events of a batch have been processed: processes what is due, and sets the timer for the next wakeup. */
    void onBatchEnd(long clockMicros) {
        if (router == null) {
            return;
        }
        guard(() -> {
            long nowNanos = nanos(clockMicros);
            long wakeupNanos = decisionLoop.processDue(nowNanos);
            if (wakeupNanos < timerAtNanos) {
                timerAtNanos = wakeupNanos;
                long micros =
                        (Math.max(NANOS_PER_MICRO, wakeupNanos - nowNanos) + NANOS_PER_MICRO - 1) / NANOS_PER_MICRO;
                reply.setTimer(++timerHandle, Math.min(micros, MAX_TIMER_MICROS));
            }
        });
    }

    @Override
    public void send(Attempt attempt, long timeoutNanos) {
        reply.sendAttempt(attempt.request.id, attempt.host.id, Math.max(1, timeoutNanos / NANOS_PER_MICRO));
    }

    @Override
    public void cancel(Attempt attempt) {
        reply.cancelAttempt(attempt.request.id, attempt.index);
    }

    @Override
    public void reject(Request request, long retryAfterNanos, RoutingDecision.Reason reason) {
        reply.reject(request.id, retryAfterNanos / NANOS_PER_MICRO);
    }

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {
        reply.rollBack(request.id);
    }

    @Override
    public void onRequestEnded(Request request) {
        if (request.attemptsInFlight() == 0) {
            inFlight.remove(request.id);
        }
    }

    @Override
    public void probe(Host host) {
        reply.healthCheck(host.id);
    }

    @Override
    public void closeIdleConnections(Host host) {
        reply.closeIdleConnections(host.id);
    }

    /** Reads a host's load report by the settings of this instance. */
    HostReport loadReport(float[] values) {
        return reports.loadReport(values);
    }

    private Attempt findAttempt(long requestId, int index) {
        Request request = inFlight.get(requestId);
        return request == null || index >= request.attempts.size() ? null : request.attempts.get(index);
    }

    private static long nanos(long micros) {
        return micros * NANOS_PER_MICRO;
    }

    /** An exception in the routing policy ends the simulation with its text. */
    private void guard(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fail(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
