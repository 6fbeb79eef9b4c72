package beaconladder.cells;

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

/** A router in {@link MigrationSimulation}: it admits writes of tenant t, checks them again, and sends them. */
final class SimulatedRouter {
    private static final long MS = 1_000_000;
    /** The incarnations of two runs that are up together never meet. */
    private static final int NEXT_RUN = 1_000;

    private static final long WRITE_EXPIRY_NANOS = 300 * MS;

    private static final RequestClass WRITE_CLASS = RequestClass.parse(Map.of(
                    "request_classes.count",
                    "1",
                    "family_info.freshness",
                    "update",
                    "request_classes.0.effect",
                    "side_effect",
                    "request_classes.0.give_up_us",
                    "300000"))
            .get(0);

    private final String name;
    private final StaticPlacement staticPlacement;
    private int incarnation;
    private CellAdmission admission;
    private long stalledUntilNanos;
    private final List<Delivery> inbox = new ArrayList<>();
    private final List<Request> admitted = new ArrayList<>();

    /** A placement that the router receives at its arrival time. */
    private record Delivery(long arrivalNanos, PlacementTable placement) {}

    /** A write sent to a host or queued there; it runs at its time unless it has expired by then. */
    record WriteInTransit(
            long runsAtNanos, long expiryNanos, SimulatedRouter router, int incarnation, Request request) {
        int cell() {
            return request.group.id;
        }

        private boolean isTrackedByRouter() {
            return router.incarnation == incarnation && !request.ended;
        }

        private Attempt attempt() {
            return request.attempts.get(0);
        }

        /** The client disconnects: the attempt is cancelled, but a host may still run it. */
        void cancelByClient(long nowNanos) {
            if (isTrackedByRouter()) {
                request.ended = true;
                router.admission.requestEnded(request);
                attempt().ended = true;
                router.admission.attemptEnded(attempt(), Outcome.CANCELLED, HostReport.EMPTY, nowNanos);
            }
        }

        /** The router ends the attempt at its expiry; the host may still run it until then. */
        void timeOutIfExpired(long nowNanos) {
            if (isTrackedByRouter() && nowNanos >= expiryNanos) {
                end(Outcome.TIMED_OUT, HostReport.EMPTY, nowNanos);
            }
        }

        /** The host has run the write or rejected it; its answer may be lost. */
        void end(boolean answered, long nowNanos) {
            if (isTrackedByRouter()) {
                end(
                        answered ? Outcome.COMMITTED : Outcome.RESET,
                        answered ? new HostReport(Role.PRIMARY, runsAtNanos, -1) : HostReport.EMPTY,
                        nowNanos);
            }
        }

        private void end(Outcome outcome, HostReport report, long nowNanos) {
            request.ended = true;
            router.admission.attemptEnded(attempt(), outcome, report, nowNanos);
            router.admission.requestEnded(request);
        }
    }

    SimulatedRouter(String name, int incarnation, StaticPlacement staticPlacement) {
        this.name = name;
        this.staticPlacement = staticPlacement;
        start(incarnation);
    }

    /** Returns the next run of this router, which goes on beside it. */
    SimulatedRouter nextRun() {
        return new SimulatedRouter(name, incarnation + NEXT_RUN, staticPlacement);
    }

    /** Starts a new incarnation: writes already sent may still run, all other state is lost. */
    void restart() {
        start(incarnation + 1);
    }

    private void start(int newIncarnation) {
        incarnation = newIncarnation;
        admission = new CellAdmission(name, staticPlacement, new RouterCapacity(100, 100, 1 << 20));
        inbox.clear();
        admitted.clear();
    }

    boolean isStalled(long nowNanos) {
        return nowNanos < stalledUntilNanos;
    }

    void stallUntil(long untilNanos) {
        stalledUntilNanos = untilNanos;
    }

    RouterReport report(long nowNanos) {
        return new RouterReport(
                name, String.valueOf(incarnation), admission.placement().version(), admission.writeActivity(nowNanos));
    }

    /** Delivers an answer at this time to the incarnation that made the call. */
    void deliver(String toIncarnation, long arrivalNanos, PlacementTable granted) {
        if (toIncarnation.equals(String.valueOf(incarnation))) {
            inbox.add(new Delivery(
                    arrivalNanos,
                    new PlacementTable(
                            granted.version(),
                            granted.validUntilNanos(),
                            granted.planFingerprint(),
                            Map.copyOf(granted.placements()))));
        }
    }

    void applyArrivedPlacements(long nowNanos) {
        inbox.removeIf(delivery -> {
            boolean due = delivery.arrivalNanos() <= nowNanos;
            if (due) {
                admission.applyPlacement(delivery.placement());
            }
            return due;
        });
    }

    /**
     * Admits a write in one of so many rounds. Each admitted request waits for some rounds, is checked again, and is
     * then sent.
     */
    void admitAndSendWrites(
            SplittableRandom random, int roundsPerWrite, long nowNanos, List<WriteInTransit> inTransit) {
        if (random.nextInt(roundsPerWrite) == 0) {
            admit(nowNanos);
        }
        for (Request request : List.copyOf(admitted)) {
            if (random.nextInt(4) == 0) {
                admitted.remove(request);
                send(request, nowNanos + random.nextInt(random.nextInt(2) == 0 ? 350 : 20) * MS, nowNanos, inTransit);
            }
        }
    }

    private void admit(long nowNanos) {
        long expiryNanos = nowNanos + WRITE_EXPIRY_NANOS;
        AdmissionDecision decision =
                admission.admit(new AdmissionRequest("t", 1, 0, true, 1, 50, null, nowNanos, expiryNanos), nowNanos);
        if (decision.kind() == AdmissionDecision.Kind.ADMIT) {
            Group group = new Group(decision.permit().group());
            Request request =
                    new Request(nowNanos, WRITE_CLASS, group, 1, 0, 0, false, nowNanos, expiryNanos, nowNanos);
            admission.requestStarted(request, decision.permit());
            admitted.add(request);
        } else if (decision.kind() == AdmissionDecision.Kind.QUEUE) {
            admission.release(decision.permit());
        }
    }

    private void send(Request request, long runsAtNanos, long nowNanos, List<WriteInTransit> inTransit) {
        if (admission.isStillAdmitted(request, nowNanos) && nowNanos < request.expiryNanos) {
            request.attempts.add(new Attempt(request, 0, new Host(0, request.group, 0), nowNanos, 1));
            inTransit.add(new WriteInTransit(runsAtNanos, request.expiryNanos, this, incarnation, request));
        } else {
            admission.requestEnded(request);
        }
    }
}
