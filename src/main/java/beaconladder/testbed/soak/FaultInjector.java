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

/** Injects each kind of fault into the fleet and ends it. */
final class FaultInjector {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** ECONNABORTED, ENFILE, EMFILE, ENOBUFS and EINTR. */
    private static final int[] ACCEPT_ERRNOS = {103, 23, 24, 105, 4};
    /** ENOBUFS, which socket() returns, and EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH and ETIMEDOUT of connect(). */
    private static final int[] CONNECT_ERRNOS = {105, 99, 101, 113, 110};
    /** The delay of a router between reading its clock and writing. */
    private static final int HOLD_UP_MICROS = 150_000;

    private static final int HOLD_UPS_PER_MILLE = 100;
    private static final int CALL_FAILURES_PER_MILLE = 300;
    private static final int THREAD_FAILURES_PER_MILLE = 333;
    private static final int SHORT_CALLS_PER_MILLE = 200;
    private static final int INTERRUPTS_PER_MILLE = 50;
    private static final int RESTART_TIMEOUT_MILLIS = 40_000;
    private static final int TASK_TIMEOUT_MILLIS = 10_000;

    private static final DiscoveryStandIn.Manner[] BROKEN_ANSWERS = {
        DiscoveryStandIn.Manner.HALF, DiscoveryStandIn.Manner.CUT, DiscoveryStandIn.Manner.RESET
    };

    private final SoakFleet fleet;
    private final HostFaultInjector hostFaults;
    private final ClientFaultInjector clientFaults;

    FaultInjector(SoakFleet fleet) {
        this.fleet = fleet;
        this.hostFaults = new HostFaultInjector(fleet);
        this.clientFaults = new ClientFaultInjector(fleet);
    }

    /** A fault in progress. */
    interface ActiveFault {
        /** Ends the fault; may block for some seconds. */
        void end() throws IOException, InterruptedException;
    }

    /** Stands for a fault that could not be injected, or that needs no end. */
    static final ActiveFault NO_FAULT = () -> {};

    /** Begins a fault and returns the handle that ends it. */
    ActiveFault begin(FaultKind fault, int durationMillis, SplittableRandom random)
            throws IOException, InterruptedException {
        return switch (fault) {
            case TERMINATE, KILL -> restart(fault, random);
            case SIGNAL_SERIES -> restart(fault, random);
            case CLIENT_FLOOD, CLIENT_CROWD, CLIENTS_LEAVE -> clientFaults.begin(fault, anyRouter(random), random);
            case RELOAD -> reload(random);
            case PAUSE -> pause(durationMillis, random);
            case CLOCK_STEP -> stepClock(random);
            case CLOCK_WRONG_AT_START -> startWithWrongClock(random);
            case ACCEPT_FAILS, CONNECT_FAILS, THREADS_FAIL, SHORT_IO, HELD_UP -> failSystemCalls(fault, random);
            case DISCOVERY_SILENT, DISCOVERY_BREAKS -> failDiscovery(fault, random);
            case DISCOVERY_SLOW -> slowDiscovery(random);
            case IDLE_CROWD -> openIdleConnections(random);
            case BAD_CLIENTS -> {
                fleet.clients().malformedInput = true;
                yield () -> fleet.clients().malformedInput = false;
            }
            default -> hostFaults.begin(fault, random);
        };
    }

    private SoakRouter anyRouter(SplittableRandom random) {
        return fleet.routers().get(random.nextInt(fleet.routers().size()));
    }

    private ActiveFault restart(FaultKind fault, SplittableRandom random) {
        SoakRouter router = anyRouter(random);
        if (!router.tryReserve()) {
            return NO_FAULT;
        }
        Thread task = StandInThreads.spawn(() -> {
            try {
                switch (fault) {
                    case KILL -> router.kill();
                    case SIGNAL_SERIES -> router.terminateAfter("HUP", "HUP", "TERM", "HUP");
                    default -> router.terminate();
                }
                router.start();
            } finally {
                router.release();
            }
        });
        return () -> StandInThreads.join(task, RESTART_TIMEOUT_MILLIS);
    }

    private ActiveFault reload(SplittableRandom random) throws IOException, InterruptedException {
        SoakRouter router = anyRouter(random);
        if (!router.tryReserve()) {
            return NO_FAULT;
        }
        try {
            fleet.moveDiscovery(router);
            if (random.nextBoolean()) {
                StandInThreads.sleep(random.nextInt(200));
                fleet.moveDiscovery(router);
            }
            if (random.nextInt(3) == 0) {
                StandInThreads.sleep(50);
                router.reload("{\"half\": ");
                StandInThreads.sleep(200);
                fleet.restoreConfiguration(router);
            }
        } finally {
            router.release();
        }
        return NO_FAULT;
    }

    private ActiveFault pause(int durationMillis, SplittableRandom random) {
        SoakRouter router = anyRouter(random);
        SplittableRandom taskRandom = random.split();
        Thread task = StandInThreads.spawn(() -> {
            for (long endNanos = System.nanoTime() + durationMillis * 1_000_000L; System.nanoTime() < endNanos; ) {
                router.signal("STOP");
                StandInThreads.sleep(20 + taskRandom.nextInt(130));
                router.signal("CONT");
                StandInThreads.sleep(100 + taskRandom.nextInt(300));
            }
        });
        return () -> StandInThreads.join(task, TASK_TIMEOUT_MILLIS);
    }

    /** Returns a step of an hour or of up to 30 s, forward or backward, in nanoseconds. */
    private static long drawClockStep(SplittableRandom random) {
        long sizeNanos = random.nextBoolean() ? 3_600 * NANOS_PER_SECOND : (1 + random.nextInt(30)) * NANOS_PER_SECOND;
        return random.nextBoolean() ? sizeNanos : -sizeNanos;
    }

    private ActiveFault stepClock(SplittableRandom random) {
        anyRouter(random).faultPlan.stepWallClock(drawClockStep(random));
        return NO_FAULT;
    }

    private ActiveFault startWithWrongClock(SplittableRandom random) throws IOException {
        SoakRouter router = anyRouter(random);
        long stepNanos = drawClockStep(random);
        if (!router.tryReserve()) {
            return NO_FAULT;
        }
        try {
            router.kill();
            router.faultPlan.stepWallClock(stepNanos);
            router.start();
        } finally {
            router.release();
        }
        return () -> router.faultPlan.stepWallClock(-stepNanos);
    }

    private ActiveFault failSystemCalls(FaultKind fault, SplittableRandom random) {
        FaultPlan plan = anyRouter(random).faultPlan;
        switch (fault) {
            case ACCEPT_FAILS -> {
                plan.set(FaultPlan.Field.ACCEPT_ERRNO, ACCEPT_ERRNOS[random.nextInt(ACCEPT_ERRNOS.length)]);
                plan.set(FaultPlan.Field.ACCEPT_PER_MILLE, CALL_FAILURES_PER_MILLE);
            }
            case CONNECT_FAILS -> {
                int errno = CONNECT_ERRNOS[random.nextInt(CONNECT_ERRNOS.length)];
                boolean failsInSocket = errno == CONNECT_ERRNOS[0];
                plan.set(failsInSocket ? FaultPlan.Field.SOCKET_ERRNO : FaultPlan.Field.CONNECT_ERRNO, errno);
                plan.set(
                        failsInSocket ? FaultPlan.Field.SOCKET_PER_MILLE : FaultPlan.Field.CONNECT_PER_MILLE,
                        CALL_FAILURES_PER_MILLE);
            }
            case THREADS_FAIL -> plan.set(FaultPlan.Field.THREAD_PER_MILLE, THREAD_FAILURES_PER_MILLE);
            case HELD_UP -> {
                plan.set(FaultPlan.Field.HOLD_UP_MICROS, HOLD_UP_MICROS);
                plan.set(FaultPlan.Field.HOLD_UP_PER_MILLE, HOLD_UPS_PER_MILLE);
            }
            default -> {
                plan.set(FaultPlan.Field.SHORT_PER_MILLE, SHORT_CALLS_PER_MILLE);
                plan.set(FaultPlan.Field.INTERRUPT_PER_MILLE, INTERRUPTS_PER_MILLE);
            }
        }
        return plan::clear;
    }

    private ActiveFault failDiscovery(FaultKind fault, SplittableRandom random) {
        DiscoveryStandIn agent =
                fleet.discoveries().get(random.nextInt(fleet.discoveries().size()));
        agent.manner = fault == FaultKind.DISCOVERY_SILENT
                ? DiscoveryStandIn.Manner.SILENT
                : BROKEN_ANSWERS[random.nextInt(BROKEN_ANSWERS.length)];
        if (fault == FaultKind.DISCOVERY_SILENT) {
            agent.silenceOpenConnections();
        }
        fleet.recordDiscoveryFault(true);
        return () -> {
            agent.manner = DiscoveryStandIn.Manner.ANSWER;
            fleet.recordDiscoveryFault(false);
        };
    }

    /** Opens as many idle client connections as a router may have descriptors, which is more than it can accept. */
    private ActiveFault openIdleConnections(SplittableRandom random) {
        SoakRouter router = anyRouter(random);
        List<Socket> idleConnections = new CopyOnWriteArrayList<>();
        Thread task = StandInThreads.spawn(() -> {
            for (int i = 0; i < SoakConfiguration.MAX_DESCRIPTORS; i++) {
                try {
                    Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port);
                    idleConnections.add(socket);
                    MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
                } catch (IOException e) {
                    // The router has no free descriptor, or is stopping.
                    StandInThreads.sleep(1);
                }
            }
        });
        return () -> {
            StandInThreads.join(task, TASK_TIMEOUT_MILLIS);
            for (Socket socket : idleConnections) {
                socket.close();
            }
        };
    }

    private ActiveFault slowDiscovery(SplittableRandom random) {
        DiscoveryStandIn agent =
                fleet.discoveries().get(random.nextInt(fleet.discoveries().size()));
        agent.lateMillis = 100 + random.nextInt(900);
        fleet.recordDiscoveryFault(true);
        return () -> {
            agent.lateMillis = 0;
            fleet.recordDiscoveryFault(false);
        };
    }
}
