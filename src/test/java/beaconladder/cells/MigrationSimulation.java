package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.MigrationStep.Kind;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Simulates one migration with three routers in virtual time, from a seed. The coordinator crashes at random points;
 * routers stall, restart, and lose placements or receive them late; writes run long after they were sent. It checks
 * that no write runs in the old cell after the fence, and none in the new cell before the switch.
 */
final class MigrationSimulation {
    private static final long MS = 1_000_000;

    private final SplittableRandom random;
    private final List<MigrationStep> records = new ArrayList<>();
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final List<Long> runTimesInA = new ArrayList<>();
    private final List<Long> runTimesInB = new ArrayList<>();
    private final RequestClass writeClass = RequestClass.parse(Map.of(
                    "request_classes.count",
                    "1",
                    "family_info.freshness",
                    "update",
                    "request_classes.0.effect",
                    "side_effect",
                    "request_classes.0.give_up_us",
                    "300000"))
            .get(0);
    private TenantMigrations coordinator;
    private final StaticPlacement staticPlacement;
    private final long startNanos;
    private long nowNanos;
    private long copiedNanos;
    private String sourcePrimary = "s0";
    private boolean sourceUp = true;
    private final int seed;

    private final class SimulatedRouter {
        private final String name;
        private int incarnation;
        private CellAdmission admission;
        private long stalledUntilNanos;
        private final List<Delivery> inbox = new ArrayList<>();
        private final List<Request> admitted = new ArrayList<>();

        SimulatedRouter(String name) {
            this.name = name;
            restart();
        }

        /** Starts a new incarnation: writes already sent may still run, all other state is lost. */
        void restart() {
            incarnation++;
            admission = new CellAdmission(name, staticPlacement, new RouterCapacity(100, 100, 1 << 20));
            inbox.clear();
            admitted.clear();
        }
    }

    /** A placement that a router receives at its arrival time. */
    private record Delivery(long arrivalNanos, PlacementTable placement) {}

    /** A write sent to a host or queued there; it runs at its time unless it has expired by then. */
    private record WriteInTransit(
            long runsAtNanos, long expiryNanos, int cell, SimulatedRouter router, int incarnation, Request request) {}

    private final List<WriteInTransit> inTransit = new ArrayList<>();

    MigrationSimulation(StaticPlacement staticPlacement, long startNanos, int seed) {
        this.staticPlacement = staticPlacement;
        this.startNanos = startNanos;
        nowNanos = startNanos;
        this.seed = seed;
        random = new SplittableRandom(seed);
        coordinator = new TenantMigrations(staticPlacement);
        for (int i = 0; i < 3; i++) {
            routers.add(new SimulatedRouter("n" + i));
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
            }
            if (sourceUp) {
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
        if (nowNanos < router.stalledUntilNanos) {
            return;
        }
        if (random.nextInt(250) == 0) {
            router.stalledUntilNanos = nowNanos + random.nextInt(900) * MS;
            return;
        }
        if (random.nextInt(400) == 0) {
            router.restart();
        }
        if (random.nextInt(4) == 0) {
            MigrationStep registration =
                    coordinator.registration(router.name, String.valueOf(router.incarnation), nowNanos);
            if (registration != null) {
                recordAndApply(registration);
            }
            PlacementTable granted = coordinator.grantLease(
                    router.name,
                    router.admission.placement().version(),
                    router.admission.writeActivity(nowNanos),
                    nowNanos);
            PlacementTable copy = new PlacementTable(
                    granted.version(),
                    granted.validUntilNanos(),
                    granted.planFingerprint(),
                    Map.copyOf(granted.placements()));
            if (random.nextInt(10) > 0) {
                router.inbox.add(new Delivery(
                        nowNanos + random.nextInt(random.nextInt(20) == 0 ? 400 : 10) * MS, copy));
            }
        }
        router.inbox.removeIf(delivery -> {
            boolean due = delivery.arrivalNanos() <= nowNanos;
            if (due) {
                router.admission.applyPlacement(delivery.placement());
            }
            return due;
        });
        if (random.nextInt(3) == 0) {
            AdmissionDecision decision = router.admission.admit(
                    new AdmissionRequest("t", 1, 0, true, 1, 50, null, nowNanos, nowNanos + 300 * MS), nowNanos);
            if (decision.kind() == AdmissionDecision.Kind.ADMIT) {
                Request request = new Request(
                        nowNanos,
                        writeClass,
                        new Group(decision.permit().group()),
                        1,
                        0,
                        0,
                        false,
                        nowNanos,
                        nowNanos + 300 * MS,
                        nowNanos);
                router.admission.requestStarted(request, decision.permit());
                router.admitted.add(request);
            } else if (decision.kind() == AdmissionDecision.Kind.QUEUE) {
                router.admission.release(decision.permit());
            }
        }
        // Each admitted request waits for some rounds, is checked again, and is then sent.
        for (Request request : List.copyOf(router.admitted)) {
            if (random.nextInt(4) == 0) {
                router.admitted.remove(request);
                if (router.admission.isStillAdmitted(request, nowNanos) && nowNanos < request.expiryNanos) {
                    request.attempts.add(new Attempt(request, 0, new Host(0, request.group, 0), nowNanos, 1));
                    inTransit.add(new WriteInTransit(
                            nowNanos + random.nextInt(random.nextInt(5) == 0 ? 350 : 20) * MS,
                            request.expiryNanos,
                            request.group.id,
                            router,
                            router.incarnation,
                            request));
                } else {
                    router.admission.requestEnded(request);
                }
            }
        }
    }

    private void runDueWrites() {
        inTransit.removeIf(write -> {
            Attempt attempt = write.request().attempts.get(0);
            if (!write.request().ended
                    && write.router().incarnation == write.incarnation()
                    && random.nextInt(12) == 0) {
                // The client disconnects: the attempt is cancelled, but a host may still run it.
                write.request().ended = true;
                write.router().admission.requestEnded(write.request());
                attempt.ended = true;
                write.router().admission.attemptEnded(attempt, Outcome.CANCELLED, HostReport.EMPTY, nowNanos);
            }
            boolean isSameIncarnation = write.router().incarnation == write.incarnation();
            if (write.runsAtNanos() > nowNanos) {
                // The router ends the attempt at its expiry; the host may still run it until then.
                if (isSameIncarnation && nowNanos >= write.expiryNanos() && !write.request().ended) {
                    write.request().ended = true;
                    write.router().admission.attemptEnded(attempt, Outcome.TIMED_OUT, HostReport.EMPTY, nowNanos);
                    write.router().admission.requestEnded(write.request());
                }
                return false;
            }
            if (write.runsAtNanos() <= write.expiryNanos()) {
                if (write.cell() == 0) {
                    runTimesInA.add(write.runsAtNanos());
                } else {
                    runTimesInB.add(write.runsAtNanos());
                }
            }
            if (isSameIncarnation && !write.request().ended) {
                write.request().ended = true;
                boolean answered = random.nextInt(8) > 0;
                write.router()
                        .admission
                        .attemptEnded(
                                attempt,
                                answered ? Outcome.COMMITTED : Outcome.RESET,
                                answered ? new HostReport(Role.PRIMARY, write.runsAtNanos(), -1) : HostReport.EMPTY,
                                nowNanos);
                write.router().admission.requestEnded(write.request());
            }
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
