package beaconladder.testbed.soak;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/** Injects each kind of fault into the fleet, and ends it. */
final class FaultInjector {
    private static final long SECOND = 1_000_000_000L;
    private static final int[] ACCEPT_ERRORS = {103, 23, 24, 105, 4};
    private static final int[] CONNECT_ERRORS = {105, 99, 101, 113, 110};
    /** The longest that a router is held up between reading its clock and writing. */
    private static final int HOLD_UP_MICROS = 150_000;

    private static final DiscoveryStandIn.Manner[] BREAKS = {
        DiscoveryStandIn.Manner.HALF, DiscoveryStandIn.Manner.CUT, DiscoveryStandIn.Manner.RESET
    };

    private final SoakFleet fleet;
    private final HostFaultInjector hosts;

    FaultInjector(SoakFleet fleet) {
        this.fleet = fleet;
        this.hosts = new HostFaultInjector(fleet);
    }

    /** Ends a fault; may block for some seconds. */
    interface End {
        void run() throws IOException, InterruptedException;
    }

    static final End NOTHING = () -> {};

    /** Begins it; what it returns ends it. */
    End begin(FaultKind fault, int millis, SplittableRandom chance) throws IOException, InterruptedException {
        return switch (fault) {
            case TERMINATE, KILL -> restart(fault == FaultKind.KILL, chance);
            case RELOAD -> reload(chance);
            case PAUSE -> pause(millis, chance);
            case CLOCK_STEP -> stepClock(chance);
            case CLOCK_WRONG_AT_START -> startWithWrongClock(chance);
            case ACCEPT_FAILS, CONNECT_FAILS, THREADS_FAIL, SHORT_IO, HELD_UP -> systemCalls(fault, chance);
            case DISCOVERY_SILENT, DISCOVERY_BREAKS -> discovery(fault, chance);
            case DISCOVERY_SLOW -> slowDiscovery(chance);
            case IDLE_CROWD -> crowd(chance);
            case BAD_CLIENTS -> {
                fleet.clients().bad = true;
                yield () -> fleet.clients().bad = false;
            }
            default -> hosts.begin(fault, chance);
        };
    }

    private SoakRouter anyRouter(SplittableRandom chance) {
        return fleet.routers().get(chance.nextInt(fleet.routers().size()));
    }

    private End restart(boolean kill, SplittableRandom chance) {
        SoakRouter router = anyRouter(chance);
        if (!router.take()) {
            return NOTHING;
        }
        Thread task = StandInThreads.spawn(() -> {
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
        return () -> StandInThreads.join(task, 40_000);
    }

    private End reload(SplittableRandom chance) throws IOException, InterruptedException {
        SoakRouter router = anyRouter(chance);
        if (!router.take()) {
            return NOTHING;
        }
        try {
            fleet.moveDiscovery(router);
            if (chance.nextBoolean()) {
                StandInThreads.sleep(chance.nextInt(200));
                fleet.moveDiscovery(router);
            }
            if (chance.nextInt(3) == 0) {
                StandInThreads.sleep(50);
                router.reload("{\"half\": ");
                StandInThreads.sleep(200);
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
        Thread task = StandInThreads.spawn(() -> {
            for (long until = System.nanoTime() + millis * 1_000_000L; System.nanoTime() < until; ) {
                router.signal("STOP");
                StandInThreads.sleep(20 + own.nextInt(130));
                router.signal("CONT");
                StandInThreads.sleep(100 + own.nextInt(300));
            }
        });
        return () -> StandInThreads.join(task, 10_000);
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

    private End systemCalls(FaultKind fault, SplittableRandom chance) {
        FaultPlan plan = anyRouter(chance).plan;
        switch (fault) {
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
            case HELD_UP -> {
                plan.set(FaultPlan.Field.HOLD_UP_MICROS, HOLD_UP_MICROS);
                plan.set(FaultPlan.Field.HOLD_UP_PER_MILLE, 100);
            }
            default -> {
                plan.set(FaultPlan.Field.SHORT_PER_MILLE, 200);
                plan.set(FaultPlan.Field.INTERRUPT_PER_MILLE, 50);
            }
        }
        return plan::clear;
    }

    private End discovery(FaultKind fault, SplittableRandom chance) {
        DiscoveryStandIn agent =
                fleet.discoveries().get(chance.nextInt(fleet.discoveries().size()));
        agent.manner = fault == FaultKind.DISCOVERY_SILENT
                ? DiscoveryStandIn.Manner.SILENT
                : BREAKS[chance.nextInt(BREAKS.length)];
        if (fault == FaultKind.DISCOVERY_SILENT) {
            agent.silenceOpenConnections();
        }
        fleet.recordDiscoveryFault(true);
        return () -> {
            agent.manner = DiscoveryStandIn.Manner.ANSWER;
            fleet.recordDiscoveryFault(false);
        };
    }

    /** Idle clients take what descriptors a router has for clients, and some more ask in vain. */
    private End crowd(SplittableRandom chance) {
        SoakRouter router = anyRouter(chance);
        List<Socket> idle = new CopyOnWriteArrayList<>();
        Thread task = StandInThreads.spawn(() -> {
            for (int i = 0; i < SoakConfiguration.DESCRIPTORS; i++) {
                try {
                    Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port);
                    idle.add(socket);
                    MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
                } catch (IOException e) {
                    // It is full, or ends.
                    StandInThreads.sleep(1);
                }
            }
        });
        return () -> {
            StandInThreads.join(task, 10_000);
            for (Socket socket : idle) {
                socket.close();
            }
        };
    }

    private End slowDiscovery(SplittableRandom chance) {
        DiscoveryStandIn agent =
                fleet.discoveries().get(chance.nextInt(fleet.discoveries().size()));
        agent.lateMillis = 100 + chance.nextInt(900);
        fleet.recordDiscoveryFault(true);
        return () -> {
            agent.lateMillis = 0;
            fleet.recordDiscoveryFault(false);
        };
    }
}
