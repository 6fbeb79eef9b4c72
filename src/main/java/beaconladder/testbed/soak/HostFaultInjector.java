package beaconladder.testbed.soak;

import beaconladder.testbed.HostStandIn.Manner;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** Injects faults of database hosts, and ends them. */
final class HostFaultInjector {
    private static final Manner[] SPOILT = {
        Manner.CUT,
        Manner.GARBAGE,
        Manner.TWO_ROWS,
        Manner.HUGE,
        Manner.UNKNOWN,
        Manner.NO_DESCRIPTION,
        Manner.INNER_LENGTH,
        Manner.ERROR_BEHIND_ROW,
        Manner.ODD_TAG,
        Manner.STALL,
        Manner.RESET
    };

    private final SoakFleet fleet;

    HostFaultInjector(SoakFleet fleet) {
        this.fleet = fleet;
    }

    /** Begins one of them; what it returns ends it. */
    FaultInjector.End begin(FaultKind fault, SplittableRandom chance) throws IOException {
        return switch (fault) {
            case HOST_DRAINS, HOST_CRASHES -> replace(fault == FaultKind.HOST_CRASHES, chance);
            case HOST_HANGS, HOST_SILENT, HOST_FAILS, HOST_SPOILS -> host(fault, chance);
            case HOST_NETWORK, HOST_IDLE_CLOSE, HOSTS_SLOW, REPLICAS_LAG -> hosts(fault, chance);
            case PRIMARY_MOVES -> movePrimary(chance);
            default -> throw new IllegalArgumentException(fault + " is not a fault of a host");
        };
    }

    private SoakHost anyHost(SplittableRandom chance) {
        return fleet.hosts().get(chance.nextInt(fleet.hosts().size()));
    }

    private FaultInjector.End replace(boolean crash, SplittableRandom chance) throws IOException {
        SoakHost host = anyHost(chance);
        if (!host.state().equals("Ready") || host.leader() && !crash) {
            return FaultInjector.NOTHING;
        }
        if (crash) {
            host.proxy().silent = false;
            host.proxy().down = true;
            host.proxy().resetAll();
            return () -> {
                host.started();
                host.proxy().down = false;
                fleet.list(host);
            };
        }
        host.state("Terminating");
        fleet.list(host);
        return () -> {
            host.started();
            host.state("Ready");
            fleet.list(host);
        };
    }

    private FaultInjector.End host(FaultKind fault, SplittableRandom chance) {
        SoakHost host = anyHost(chance);
        switch (fault) {
            case HOST_HANGS -> host.hangs = true;
            case HOST_SILENT -> host.proxy().silent = true;
            case HOST_FAILS -> host.behavior = SoakHost.Behavior.values()[1 + chance.nextInt(4)];
            default -> host.manner = SPOILT[chance.nextInt(SPOILT.length)];
        }
        return () -> {
            host.hangs = false;
            if (host.proxy().silent) {
                host.proxy().resetAll();
            }
            host.proxy().silent = false;
            host.behavior = SoakHost.Behavior.WELL;
            host.manner = Manner.ANSWER;
        };
    }

    private FaultInjector.End hosts(FaultKind fault, SplittableRandom chance) {
        List<SoakHost> some =
                fleet.hosts().stream().filter(host -> chance.nextInt(3) != 0).toList();
        for (SoakHost host : some) {
            switch (fault) {
                case HOST_NETWORK -> {
                    host.proxy().acceptMillis = chance.nextInt(300);
                    host.proxy().resetsPerMille = 30;
                }
                case HOST_IDLE_CLOSE -> host.proxy().idleCloseMillis = 20 + chance.nextInt(500);
                case HOSTS_SLOW -> host.delayMillis = 600 + chance.nextInt(800);
                default -> host.lagMillis = 400 + chance.nextInt(3_000);
            }
        }
        return () -> some.forEach(SoakFleet::calm);
    }

    private FaultInjector.End movePrimary(SplittableRandom chance) {
        int group = 1 + chance.nextInt(Soak.GROUPS);
        List<SoakHost> members =
                fleet.hosts().stream().filter(host -> host.group == group).toList();
        SoakHost next = members.get(chance.nextInt(members.size()));
        members.forEach(host -> host.lead(host == next));
        return () -> fleet.list(next);
    }
}
