package beaconladder.routing;

import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.List;

/** One router of a {@link SlowStartFleet}, with its own clock. */
final class SlowStartFleetRouter implements DecisionLoop.ActionHandler {
    private static final long MS = SlowStartFleet.MS;

    private final SlowStartFleet fleet;
    /** By how much its clock is ahead of the hosts' clock. */
    private final long clockAheadNanos;

    private final RoutingPolicy policy;
    private final DecisionLoop decisionLoop;
    private final Group group = new Group(1);
    private final List<Host> hosts = new ArrayList<>();
    private long wakeupNanos;
    private long requestCount;
    private boolean killed;

    /** Creates a router that starts now, in a fleet with this many routers. */
    SlowStartFleetRouter(SlowStartFleet fleet, long seed, int count, long clockAheadNanos) {
        this.fleet = fleet;
        this.clockAheadNanos = clockAheadNanos;
        Script script = new Script(
                "fees.probe=0.069",
                "rules.fall_multiple=" + fleet.slowStartMultiple,
                "rules.fall_us=" + fleet.windowNanos / 1_000,
                "rules.cold_share=" + SlowStartFleet.MIN_SHARE,
                "rules.warm_within_us=" + SlowStartFleet.SLOW_START_NANOS / 1_000,
                "replicas_of_me=" + count);
        policy = new RoutingPolicy(seed, script.settings);
        decisionLoop = new DecisionLoop(policy, this);
        for (int i = 0; i < SlowStartFleet.HOSTS; i++) {
            hosts.add(new Host(i, group, 0));
            policy.updateHost(hosts.get(i), i == 0, Host.State.READY, fleet.launchedNanos[i], clockNanos());
        }
    }

    /** Returns the time by its own clock. */
    private long clockNanos() {
        return fleet.nowNanos + clockAheadNanos;
    }

    /** Stops the router, whatever it has in flight. */
    void kill() {
        killed = true;
    }

    /** Notifies the router of a host that has started. */
    void updateHost(int host) {
        policy.updateHost(hosts.get(host), false, Host.State.READY, fleet.launchedNanos[host], clockNanos());
    }

    /** Routes a request that arrives now. */
    void onArrival() {
        // A quarter are writes, the others unbounded reads.
        int classIndex = fleet.random.nextInt(4) == 0 ? Script.WRITE : Script.ANY;
        Request request = new Request(
                requestCount,
                policy.requestClass(classIndex),
                group,
                0,
                Long.MIN_VALUE,
                0,
                false,
                clockNanos(),
                clockNanos() + 2_000 * MS,
                requestCount++);
        decisionLoop.execute(request, policy.route(request, clockNanos()), clockNanos());
        wakeupNanos = 0;
    }

    /** Processes what is due, if the time has come or the group has changed. */
    void processDue() {
        if (clockNanos() >= wakeupNanos || group.changed) {
            wakeupNanos = decisionLoop.processDue(clockNanos());
        }
    }

    private HostReport report(int host) {
        return new HostReport(host == 0 ? Role.PRIMARY : Role.REPLICA, fleet.nowNanos - (host == 0 ? 0 : 5 * MS), -1);
    }

    @Override
    public void send(Attempt attempt, long timeoutNanos) {
        wakeupNanos = 0;
        int host = attempt.host.id;
        long doneNanos = fleet.execute(host);
        boolean inTime = doneNanos >= 0 && doneNanos <= fleet.nowNanos + timeoutNanos;
        Outcome outcome = doneNanos < 0 ? Outcome.UNREACHABLE : inTime ? Outcome.COMMITTED : Outcome.TIMED_OUT;
        fleet.schedule(
                doneNanos < 0
                        ? fleet.nowNanos + SlowStartFleet.TICK_NANOS
                        : inTime ? doneNanos : fleet.nowNanos + timeoutNanos,
                () -> {
                    if (!attempt.ended && !killed) {
                        decisionLoop.execute(
                                attempt.request,
                                policy.onAttemptEnded(
                                        attempt,
                                        outcome,
                                        attempt.request.ended || inTime,
                                        inTime ? report(host) : HostReport.EMPTY,
                                        HostReport.EMPTY,
                                        clockNanos()),
                                clockNanos());
                        wakeupNanos = 0;
                    }
                });
    }

    @Override
    public void probe(Host host) {
        boolean up = !fleet.down[host.id];
        fleet.schedule(fleet.nowNanos + SlowStartFleet.TICK_NANOS, () -> {
            policy.onHealthCheckEnded(
                    host,
                    up ? Outcome.COMMITTED : Outcome.UNREACHABLE,
                    up ? report(host.id) : HostReport.EMPTY,
                    clockNanos());
            wakeupNanos = 0;
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        fleet.schedule(fleet.nowNanos + SlowStartFleet.TICK_NANOS, () -> {
            if (!attempt.ended && !killed) {
                decisionLoop.execute(
                        attempt.request,
                        policy.onAttemptEnded(
                                attempt,
                                Outcome.CANCELLED,
                                attempt.request.ended,
                                HostReport.EMPTY,
                                HostReport.EMPTY,
                                clockNanos()),
                        clockNanos());
            }
        });
    }

    @Override
    public void reject(Request request, long retryAfterNanos, RoutingDecision.Reason reason) {}

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {}

    @Override
    public void onRequestEnded(Request request) {}

    @Override
    public void closeIdleConnections(Host host) {}
}
