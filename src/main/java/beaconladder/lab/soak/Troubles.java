package beaconladder.lab.soak;

import beaconladder.lab.DiscoveryStandIn;
import beaconladder.lab.HostStandIn.Manner;
import beaconladder.lab.Tasks;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** Brings each trouble about, and ends it. */
final class Troubles {
    private static final long SECOND = 1_000_000_000L;
    private static final int[] ACCEPT_ERRORS = {103, 23, 24, 105, 4};
    private static final int[] CONNECT_ERRORS = {105, 99, 101, 113, 110};
    private static final Manner[] SPOILT = {Manner.CUT, Manner.GARBAGE, Manner.TWO_ROWS, Manner.HUGE,
            Manner.UNKNOWN,
        Manner.NO_DESCRIPTION, Manner.INNER_LENGTH, Manner.ERROR_BEHIND_ROW, Manner.ODD_TAG, Manner.STALL,
        Manner.RESET};
    private static final DiscoveryStandIn.Manner[] BREAKS = {DiscoveryStandIn.Manner.HALF,
        DiscoveryStandIn.Manner.CUT, DiscoveryStandIn.Manner.RESET};

    private final SoakFleet fleet;

    Troubles(SoakFleet fleet) {
        this.fleet = fleet;
    }

    /** How a trouble is ended; it may take a while. */
    interface End {
        void run() throws IOException, InterruptedException;
    }

    private static final End NOTHING = () -> { };

    /** Begins it; what it returns ends it. */
    End begin(Trouble trouble, int millis, SplittableRandom chance) throws IOException, InterruptedException {
        return switch (trouble) {
            case TERMINATE, KILL -> restart(trouble == Trouble.KILL, chance);
            case RELOAD -> reload(chance);
            case PAUSE -> pause(millis, chance);
            case CLOCK_STEP -> stepClock(chance);
            case CLOCK_WRONG_AT_START -> startWithWrongClock(chance);
            case ACCEPT_FAILS, CONNECT_FAILS, THREADS_FAIL, SHORT_IO -> systemCalls(trouble, chance);
            case DISCOVERY_SILENT, DISCOVERY_BREAKS -> discovery(trouble, chance);
            case HOST_DRAINS, HOST_CRASHES -> replace(trouble == Trouble.HOST_CRASHES, chance);
            case HOST_HANGS, HOST_SILENT, HOST_FAILS, HOST_SPOILS -> host(trouble, chance);
            case HOST_NETWORK, HOST_IDLE_CLOSE, HOSTS_SLOW, REPLICAS_LAG -> hosts(trouble, chance);
            case PRIMARY_MOVES -> movePrimary(chance);
            case BAD_CLIENTS -> {
                fleet.clients().bad = true;
                yield () -> fleet.clients().bad = false;
            }
        };
    }

    private SoakRouter anyRouter(SplittableRandom chance) {
        return fleet.routers().get(chance.nextInt(fleet.routers().size()));
    }

    private SoakHost anyHost(SplittableRandom chance) {
        return fleet.hosts().get(chance.nextInt(fleet.hosts().size()));
    }

    private End restart(boolean kill, SplittableRandom chance) {
        SoakRouter router = anyRouter(chance);
        if (!router.take()) {
            return NOTHING;
        }
        Thread task = Tasks.spawn(() -> {
            try {
                if (kill) {
                    router.kill();
                } else {
                    router.terminate();
                }
                router.start();
            } finally {
                router.give();
            }
        });
        return () -> Tasks.join(task, 40_000);
    }

    private End reload(SplittableRandom chance) throws IOException, InterruptedException {
        SoakRouter router = anyRouter(chance);
        if (!router.take()) {
            return NOTHING;
        }
        try {
            fleet.moveDiscovery(router);
            if (chance.nextBoolean()) {
                Tasks.sleep(chance.nextInt(200));
                fleet.moveDiscovery(router);
            }
            if (chance.nextInt(3) == 0) {
                Tasks.sleep(50);
                router.reload("{\"half\": ");
                Tasks.sleep(200);
                fleet.restoreConfiguration(router);
            }
        } finally {
            router.give();
        }
        return NOTHING;
    }

    private End pause(int millis, SplittableRandom chance) {
        SoakRouter router = anyRouter(chance);
        SplittableRandom own = chance.split();
        Thread task = Tasks.spawn(() -> {
            for (long until = System.nanoTime() + millis * 1_000_000L; System.nanoTime() < until;) {
                router.signal("STOP");
                Tasks.sleep(20 + own.nextInt(130));
                router.signal("CONT");
                Tasks.sleep(100 + own.nextInt(300));
            }
        });
        return () -> Tasks.join(task, 10_000);
    }

    private static long step(SplittableRandom chance) {
        long size = chance.nextBoolean() ? 3_600 * SECOND : (1 + chance.nextInt(30)) * SECOND;
        return chance.nextBoolean() ? size : -size;
    }

    private End stepClock(SplittableRandom chance) {
        anyRouter(chance).plan.stepWallClock(step(chance));
        return NOTHING;
    }

    private End startWithWrongClock(SplittableRandom chance) throws IOException {
        SoakRouter router = anyRouter(chance);
        long step = step(chance);
        if (!router.take()) {
            return NOTHING;
        }
        try {
            router.kill();
            router.plan.stepWallClock(step);
            router.start();
        } finally {
            router.give();
        }
        return () -> router.plan.stepWallClock(-step);
    }

    private End systemCalls(Trouble trouble, SplittableRandom chance) {
        FaultPlan plan = anyRouter(chance).plan;
        switch (trouble) {
            case ACCEPT_FAILS -> {
                plan.set(FaultPlan.Field.ACCEPT_ERRNO, ACCEPT_ERRORS[chance.nextInt(ACCEPT_ERRORS.length)]);
                plan.set(FaultPlan.Field.ACCEPT_PER_MILLE, 300);
            }
            case CONNECT_FAILS -> {
                int error = CONNECT_ERRORS[chance.nextInt(CONNECT_ERRORS.length)];
                boolean early = error == CONNECT_ERRORS[0];
                plan.set(early ? FaultPlan.Field.SOCKET_ERRNO : FaultPlan.Field.CONNECT_ERRNO, error);
                plan.set(early ? FaultPlan.Field.SOCKET_PER_MILLE : FaultPlan.Field.CONNECT_PER_MILLE, 300);
            }
            case THREADS_FAIL -> plan.set(FaultPlan.Field.THREAD_PER_MILLE, 333);
            default -> {
                plan.set(FaultPlan.Field.SHORT_PER_MILLE, 200);
                plan.set(FaultPlan.Field.INTERRUPT_PER_MILLE, 50);
            }
        }
        return plan::clear;
    }

    private End discovery(Trouble trouble, SplittableRandom chance) {
        DiscoveryStandIn agent = fleet.discoveries().get(chance.nextInt(fleet.discoveries().size()));
        agent.manner = trouble == Trouble.DISCOVERY_SILENT ? DiscoveryStandIn.Manner.SILENT
                : BREAKS[chance.nextInt(BREAKS.length)];
        if (trouble == Trouble.DISCOVERY_SILENT) {
            agent.cutOff();
        }
        fleet.discoveryTrouble(true);
        return () -> {
            agent.manner = DiscoveryStandIn.Manner.ANSWER;
            fleet.discoveryTrouble(false);
        };
    }

    private End replace(boolean crash, SplittableRandom chance) throws IOException {
        SoakHost host = anyHost(chance);
        if (!host.state().equals("Ready") || host.leader() && !crash) {
            return NOTHING;
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

    private End host(Trouble trouble, SplittableRandom chance) {
        SoakHost host = anyHost(chance);
        switch (trouble) {
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

    private End hosts(Trouble trouble, SplittableRandom chance) {
        List<SoakHost> some = fleet.hosts().stream().filter(host -> chance.nextInt(3) != 0).toList();
        for (SoakHost host : some) {
            switch (trouble) {
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

    private End movePrimary(SplittableRandom chance) {
        int group = 1 + chance.nextInt(Soak.GROUPS);
        List<SoakHost> members = fleet.hosts().stream().filter(host -> host.group == group).toList();
        SoakHost next = members.get(chance.nextInt(members.size()));
        members.forEach(host -> host.lead(host == next));
        return () -> fleet.list(next);
    }
}
