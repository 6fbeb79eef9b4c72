package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.MigrationStep.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Simulates one migration with three routers in virtual time, from a seed. The coordinator crashes at random points;
 * routers stall, restart, run on beside their next run, and lose placements or receive them late; their reports arrive
 * late, twice and out of order, also those of an earlier run; writes run long after they were sent. It checks that no
 * write runs in the old cell after the fence, and none in the new cell before the switch.
 */
final class MigrationSimulation {
    private static final long MS = 1_000_000;
    /** Longer than a lease and the expiry of a write together. */
    private static final int MAX_CALL_DELAY_MILLIS = 600;

    private static final int MAX_COPY_MILLIS = 500;
    /** Twice the number of routers: each may have an earlier run that is still up. */
    private static final int MAX_RUNS_UP = 6;

    private final SplittableRandom random;
    private final List<MigrationStep> records = new ArrayList<>();
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final List<SimulatedRouter> startedRouters = new ArrayList<>();
    private final List<Long> runTimesInA = new ArrayList<>();
    private final List<Long> runTimesInB = new ArrayList<>();
    private TenantMigrations coordinator;
    private final StaticPlacement staticPlacement;
    private final long startNanos;
    private long nowNanos;
    private long copiedNanos;
    private long copyCloseAtNanos = Long.MAX_VALUE;
    private String sourcePrimary = "s0";
    private boolean sourceUp = true;
    private final int seed;
    /** Few writes: some reports show one in flight and others none. Many writes: there is nearly always one. */
    private final int roundsPerWrite;

    /** A call of a router to the coordinator, which may arrive late, twice or behind newer ones. */
    private record CallInTransit(long arrivalNanos, SimulatedRouter router, RouterReport report) {}

    private final List<CallInTransit> calls = new ArrayList<>();
    /** Writes sent to a host or queued there; each runs at its time unless it has expired by then. */
    private final List<SimulatedRouter.WriteInTransit> inTransit = new ArrayList<>();

    MigrationSimulation(StaticPlacement staticPlacement, long startNanos, int seed) {
        this.staticPlacement = staticPlacement;
        this.startNanos = startNanos;
        nowNanos = startNanos;
        this.seed = seed;
        roundsPerWrite = seed % 2 == 0 ? 30 : 3;
        random = new SplittableRandom(seed);
        coordinator = new TenantMigrations(staticPlacement);
        for (int i = 0; i < 3; i++) {
            routers.add(new SimulatedRouter("n" + i, 1, staticPlacement));
        }
    }

    /** Runs four seconds of virtual time, checks the invariants, and counts ended migrations by their last step. */
    void run(Map<Kind, Integer> countByEnd) {
        applyDueSteps();
        long proposeAfterNanos = startNanos + 300 * MS;
        int crashes = random.nextInt(4);
        while (nowNanos < startNanos + 4_000 * MS) {
            nowNanos += random.nextInt(1, 12) * MS;
            if (proposeAfterNanos > 0 && nowNanos > proposeAfterNanos) {
                recordAndApply(coordinator.propose("t", "b", "me", nowNanos));
                proposeAfterNanos = 0;
                copyCloseAtNanos = nowNanos + random.nextInt(MAX_COPY_MILLIS) * MS;
            }
            if (sourceUp && nowNanos > copyCloseAtNanos) {
                copiedNanos = Math.max(copiedNanos, nowNanos - random.nextInt(30) * MS);
            }
            coordinator.recordObservation(
                    "t",
                    0,
                    new MigrationObservation(
                            nowNanos, sourceUp ? sourcePrimary : null, nowNanos, "d", nowNanos, List.of(copiedNanos)));
            applyDueSteps();
            if (crashes > 0 && random.nextInt(60) == 0) {
                crashes--;
                coordinator = new TenantMigrations(staticPlacement);
                nowNanos += random.nextInt(400) * MS;
                records.forEach(coordinator::apply);
                coordinator.recoveryCompleted(nowNanos);
            }
            if (seed % 5 == 0 && random.nextInt(150) == 0) {
                sourceUp = !sourceUp;
                sourcePrimary = sourceUp ? sourcePrimary + "x" : sourcePrimary;
            }
            routers.forEach(this::stepRouter);
            routers.addAll(startedRouters);
            startedRouters.clear();
            answerArrivedCalls();
            runDueWrites();
            if (seed % 7 == 0 && random.nextInt(400) == 0 && proposeAfterNanos == 0) {
                try {
                    coordinator.requestUndo("t", "me");
                } catch (MigrationRejectedException e) {
                    // The migration has already ended or switched.
                }
            }
        }
        check(countByEnd);
    }

    private void applyDueSteps() {
        for (MigrationStep step = coordinator.nextStep(nowNanos); step != null; step = coordinator.nextStep(nowNanos)) {
            recordAndApply(step);
        }
    }

    private void recordAndApply(MigrationStep step) {
        records.add(step);
        coordinator.apply(step);
    }

    private void stepRouter(SimulatedRouter router) {
        if (router.isStalled(nowNanos)) {
            return;
        }
        if (random.nextInt(250) == 0) {
            router.stallUntil(nowNanos + random.nextInt(900) * MS);
            return;
        }
        if (random.nextInt(400) == 0) {
            restart(router);
        }
        if (random.nextInt(4) == 0) {
            send(router, router.report(nowNanos));
        }
        router.applyArrivedPlacements(nowNanos);
        router.admitAndSendWrites(random, roundsPerWrite, nowNanos, inTransit);
    }

    /** Kills a router and starts it again, or starts its next run while this one is still up. */
    private void restart(SimulatedRouter router) {
        if (routers.size() < MAX_RUNS_UP && random.nextBoolean()) {
            startedRouters.add(router.nextRun());
        } else {
            router.restart();
        }
    }

    private void send(SimulatedRouter router, RouterReport report) {
        calls.add(new CallInTransit(nowNanos + callDelayNanos(random.nextInt(5) == 0), router, report));
        if (random.nextInt(5) == 0) {
            calls.add(new CallInTransit(nowNanos + callDelayNanos(true), router, report));
        }
    }

    private long callDelayNanos(boolean late) {
        return random.nextInt(late ? MAX_CALL_DELAY_MILLIS : 3) * MS;
    }

    private void answerArrivedCalls() {
        List<CallInTransit> arrived =
                calls.stream().filter(call -> call.arrivalNanos() <= nowNanos).toList();
        calls.removeAll(arrived);
        arrived.forEach(this::answer);
    }

    private void answer(CallInTransit call) {
        RouterReport report = call.report();
        MigrationStep registration = coordinator.registration(report.router(), report.incarnation(), nowNanos);
        if (registration != null) {
            recordAndApply(registration);
        }
        coordinator.recordReport(report, nowNanos);
        PlacementTable granted = coordinator.grantLease(report.router(), report.incarnation(), nowNanos);
        if (random.nextInt(10) > 0) {
            call.router()
                    .deliver(
                            report.incarnation(),
                            nowNanos + random.nextInt(random.nextInt(20) == 0 ? 400 : 10) * MS,
                            granted);
        }
    }

    private void runDueWrites() {
        inTransit.removeIf(write -> {
            if (random.nextInt(12) == 0) {
                write.cancelByClient(nowNanos);
            }
            if (write.runsAtNanos() > nowNanos) {
                write.timeOutIfExpired(nowNanos);
                return false;
            }
            if (write.runsAtNanos() <= write.expiryNanos()) {
                (write.cell() == 0 ? runTimesInA : runTimesInB).add(write.runsAtNanos());
            }
            write.end(random.nextInt(8) > 0, nowNanos);
            return true;
        });
    }

    private void check(Map<Kind, Integer> countByEnd) {
        MigrationStep switched = records.stream()
                .filter(step -> step.kind() == Kind.SWITCHED)
                .findFirst()
                .orElse(null);
        String history = "seed " + seed + " "
                + records.stream()
                        .map(step -> step.kind() + "@" + (step.atNanos() - startNanos) / MS)
                        .collect(Collectors.joining(" "));
        if (switched == null) {
            assertThat(runTimesInB).as(history).isEmpty();
        } else {
            assertThat(runTimesInB).as(history).allMatch(ranAt -> ranAt >= switched.atNanos());
            assertThat(runTimesInA)
                    .as(history)
                    .allMatch(ranAt -> ranAt <= switched.fences().get(0));
        }
        records.stream()
                .map(MigrationStep::kind)
                .filter(kind -> kind == Kind.DONE || kind == Kind.UNDONE)
                .forEach(kind -> countByEnd.merge(kind, 1, Integer::sum));
        assertThat(coordinator.statuses(nowNanos).stream()
                        .noneMatch(status ->
                                status.state().equals("fenced") && nowNanos > status.stateSinceNanos() + 1_500 * MS))
                .as(history)
                .isTrue();
    }
}
