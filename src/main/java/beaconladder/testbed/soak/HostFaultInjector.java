package beaconladder.testbed.soak;

import beaconladder.testbed.HostStandIn.Manner;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** Injects faults of database hosts and ends them. */
final class HostFaultInjector {
    private static final Manner[] PROTOCOL_FAULTS = {
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

    /** Begins a fault and returns the handle that ends it. */
    FaultInjector.ActiveFault begin(FaultKind fault, SplittableRandom random) throws IOException {
        return switch (fault) {
            case HOST_DRAINS, HOST_CRASHES -> restartOrDrain(fault == FaultKind.HOST_CRASHES, random);
            case HOST_HANGS, HOST_SILENT, HOST_FAILS, HOST_SPOILS -> failOneHost(fault, random);
            case HOST_NETWORK, HOST_IDLE_CLOSE, HOSTS_SLOW, REPLICAS_LAG -> degradeHosts(fault, random);
            case PRIMARY_MOVES -> movePrimary(random);
            default -> throw new IllegalArgumentException(fault + " is not a fault of a host");
        };
    }

    private SoakHost anyHost(SplittableRandom random) {
        return fleet.hosts().get(random.nextInt(fleet.hosts().size()));
    }

    private FaultInjector.ActiveFault restartOrDrain(boolean crash, SplittableRandom random) throws IOException {
        SoakHost host = anyHost(random);
        if (!host.state().equals("Ready") || host.isPrimary() && !crash) {
            return FaultInjector.NO_FAULT;
        }
        if (crash) {
            host.proxy().silent = false;
            host.proxy().down = true;
            host.proxy().resetAll();
            return () -> {
                host.markStarted();
                host.proxy().down = false;
                fleet.publish(host);
            };
        }
        host.setState("Terminating");
        fleet.publish(host);
        return () -> {
            host.markStarted();
            host.setState("Ready");
            fleet.publish(host);
        };
    }

    private FaultInjector.ActiveFault failOneHost(FaultKind fault, SplittableRandom random) {
        SoakHost host = anyHost(random);
        switch (fault) {
            case HOST_HANGS -> host.hanging = true;
            case HOST_SILENT -> host.proxy().silent = true;
            case HOST_FAILS -> host.behavior = SoakHost.Behavior.values()[1 + random.nextInt(4)];
            default -> host.manner = PROTOCOL_FAULTS[random.nextInt(PROTOCOL_FAULTS.length)];
        }
        return () -> {
            host.hanging = false;
            if (host.proxy().silent) {
                host.proxy().resetAll();
            }
            host.proxy().silent = false;
            host.behavior = SoakHost.Behavior.NORMAL;
            host.manner = Manner.ANSWER;
        };
    }

    private FaultInjector.ActiveFault degradeHosts(FaultKind fault, SplittableRandom random) {
        List<SoakHost> affected =
                fleet.hosts().stream().filter(host -> random.nextInt(3) != 0).toList();
        for (SoakHost host : affected) {
            switch (fault) {
                case HOST_NETWORK -> {
                    host.proxy().acceptDelayMillis = random.nextInt(300);
                    host.proxy().resetsPerMille = 30;
                }
                case HOST_IDLE_CLOSE -> host.proxy().idleCloseMillis = 20 + random.nextInt(500);
                case HOSTS_SLOW -> host.delayMillis = 600 + random.nextInt(800);
                default -> host.lagMillis = 400 + random.nextInt(3_000);
            }
        }
        return () -> affected.forEach(SoakFleet::resetDelays);
    }

    private FaultInjector.ActiveFault movePrimary(SplittableRandom random) {
        int group = 1 + random.nextInt(Soak.GROUPS);
        List<SoakHost> members =
                fleet.hosts().stream().filter(host -> host.group == group).toList();
        SoakHost newPrimary = members.get(random.nextInt(members.size()));
        members.forEach(host -> host.setPrimary(host == newPrimary));
        return () -> fleet.publish(newPrimary);
    }
}
