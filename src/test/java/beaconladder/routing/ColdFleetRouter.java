package beaconladder.routing;

import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.Router.Word;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.List;

/** One router of a {@link ColdFleet}, with a clock of its own. */
final class ColdFleetRouter implements DecisionLoop.Door {
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
            logic.listed(hosts.get(i), i == 0, Host.State.READY, fleet.launched[i], clock());
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
        logic.listed(hosts.get(host), false, Host.State.READY, fleet.launched[host], clock());
    }

    void comes() {
        // A quarter writes, the rest any reads.
        int type = fleet.chance.nextInt(4) == 0 ? Script.WRITE : Script.ANY;
        Request txn = new Request(
                txns, logic.type(type), group, 0, Long.MIN_VALUE, 0, false, clock(), clock() + 2_000 * MS, txns++);
        rounds.act(txn, logic.place(txn, clock()), clock());
        until = 0;
    }

    void settle() {
        if (clock() >= until || group.changed) {
            until = rounds.settle(clock());
        }
    }

    private Word says(int host) {
        return new Word(host == 0 ? Role.PRIMARY : Role.REPLICA, fleet.now - (host == 0 ? 0 : 5 * MS), -1);
    }

    @Override
    public void send(Attempt s, long timeout) {
        until = 0;
        int host = s.host.id;
        long done = fleet.reach(host);
        boolean inTime = done >= 0 && done <= fleet.now + timeout;
        Outcome outcome = done < 0 ? Outcome.UNREACHABLE : inTime ? Outcome.COMMITTED : Outcome.TIMED_OUT;
        fleet.at(done < 0 ? fleet.now + ColdFleet.TICK : inTime ? done : fleet.now + timeout, () -> {
            if (!s.ended && !killed) {
                rounds.act(
                        s.txn,
                        logic.after(
                                s,
                                outcome,
                                s.txn.ended || inTime,
                                inTime ? says(host) : Word.SILENT,
                                Word.SILENT,
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
            logic.probed(host, up ? Outcome.COMMITTED : Outcome.UNREACHABLE, up ? says(host.id) : Word.SILENT, clock());
            until = 0;
        });
    }

    @Override
    public void cancel(Attempt s) {
        fleet.at(fleet.now + ColdFleet.TICK, () -> {
            if (!s.ended && !killed) {
                rounds.act(
                        s.txn,
                        logic.after(s, Outcome.CANCELLED, s.txn.ended, Word.SILENT, Word.SILENT, clock()),
                        clock());
            }
        });
    }

    @Override
    public void decline(Request txn, long comeBack, RoutingDecision.Reason reason) {}

    @Override
    public void rollBack(Request txn, RoutingDecision.Reason reason) {}

    @Override
    public void ended(Request txn) {}

    @Override
    public void close(Host host) {}
}
