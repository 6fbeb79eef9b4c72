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

/** One router of a {@link ColdFleet}, with a clock of its own. */
final class ColdFleetRouter implements DecisionLoop.ActionHandler {
    private static final long MS = ColdFleet.MS;

    private final ColdFleet fleet;
    /** By how much its clock is ahead of the hosts'. */
    private final long ahead;

    private final RoutingPolicy logic;
    private final DecisionLoop rounds;
    private final Group group = new Group(1);
    private final List<Host> hosts = new ArrayList<>();
    private long until;
    private long txns;
    private boolean killed;

    /** One that starts now, among so many. */
    ColdFleetRouter(ColdFleet fleet, long seed, int count, long ahead) {
        this.fleet = fleet;
        this.ahead = ahead;
        Script settings = new Script(
                "fees.probe=0.069",
                "rules.fall_multiple=" + fleet.multiple,
                "rules.fall_us=" + fleet.window / 1_000,
                "rules.cold_share=" + ColdFleet.LEAST,
                "rules.warm_within_us=" + ColdFleet.WARM / 1_000,
                "replicas_of_me=" + count);
        logic = new RoutingPolicy(seed, settings.start);
        rounds = new DecisionLoop(logic, this);
        for (int i = 0; i < ColdFleet.HOSTS; i++) {
            hosts.add(new Host(i, group, 0));
            logic.updateHost(hosts.get(i), i == 0, Host.State.READY, fleet.launched[i], clock());
        }
    }

    /** The time by its own clock. */
    private long clock() {
        return fleet.now + ahead;
    }

    /** It does nothing more, whatever it has out. */
    void kill() {
        killed = true;
    }

    void listed(int host) {
        logic.updateHost(hosts.get(host), false, Host.State.READY, fleet.launched[host], clock());
    }

    void comes() {
        // A quarter writes, the rest any reads.
        int type = fleet.chance.nextInt(4) == 0 ? Script.WRITE : Script.ANY;
        Request request = new Request(
                txns,
                logic.requestClass(type),
                group,
                0,
                Long.MIN_VALUE,
                0,
                false,
                clock(),
                clock() + 2_000 * MS,
                txns++);
        rounds.execute(request, logic.route(request, clock()), clock());
        until = 0;
    }

    void settle() {
        if (clock() >= until || group.changed) {
            until = rounds.processDue(clock());
        }
    }

    private HostReport says(int host) {
        return new HostReport(host == 0 ? Role.PRIMARY : Role.REPLICA, fleet.now - (host == 0 ? 0 : 5 * MS), -1);
    }

    @Override
    public void send(Attempt attempt, long timeout) {
        until = 0;
        int host = attempt.host.id;
        long done = fleet.reach(host);
        boolean inTime = done >= 0 && done <= fleet.now + timeout;
        Outcome outcome = done < 0 ? Outcome.UNREACHABLE : inTime ? Outcome.COMMITTED : Outcome.TIMED_OUT;
        fleet.at(done < 0 ? fleet.now + ColdFleet.TICK : inTime ? done : fleet.now + timeout, () -> {
            if (!attempt.ended && !killed) {
                rounds.execute(
                        attempt.request,
                        logic.onAttemptEnded(
                                attempt,
                                outcome,
                                attempt.request.ended || inTime,
                                inTime ? says(host) : HostReport.EMPTY,
                                HostReport.EMPTY,
                                clock()),
                        clock());
                until = 0;
            }
        });
    }

    @Override
    public void probe(Host host) {
        boolean up = !fleet.down[host.id];
        fleet.at(fleet.now + ColdFleet.TICK, () -> {
            logic.onHealthCheckEnded(
                    host, up ? Outcome.COMMITTED : Outcome.UNREACHABLE, up ? says(host.id) : HostReport.EMPTY, clock());
            until = 0;
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        fleet.at(fleet.now + ColdFleet.TICK, () -> {
            if (!attempt.ended && !killed) {
                rounds.execute(
                        attempt.request,
                        logic.onAttemptEnded(
                                attempt,
                                Outcome.CANCELLED,
                                attempt.request.ended,
                                HostReport.EMPTY,
                                HostReport.EMPTY,
                                clock()),
                        clock());
            }
        });
    }

    @Override
    public void reject(Request request, long comeBack, RoutingDecision.Reason reason) {}

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {}

    @Override
    public void onRequestEnded(Request request) {}

    @Override
    public void closeIdleConnections(Host host) {}
}
