package beaconladder.testbed.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Checks each request of a soak against the rules, from what clients and hosts observed; the routers' logs are checked
 * separately.
 */
final class SoakOracle {
    /** The kinds of violations of the protocol's rules. */
    enum Violation {
        /** A request was not answered although its router was not killed. */
        UNANSWERED,
        /** An answer arrived after the client's time had ended. */
        LATE_ANSWER,
        /** A write without a token ran more than once. */
        RAN_TWICE,
        /** A write was rejected although a host may have run it. */
        REFUSED_THOUGH_RUN,
        /** A write with a token ran again after the time for which hosts recognize its repeats. */
        MEMORY_OVER,
        /** An attempt arrived at a host after the client had closed its connection. */
        AFTER_CLOSE,
        /** A host was given more time than the client has left. */
        TOO_MUCH_TIME,
        /** An attempt arrived at a leaving host after the drain grace period. */
        DRAIN,
        /** A bounded read ran on data older than its bound. */
        STALE,
        /** An attempt arrived at a host after its client had been served. */
        AFTER_ANSWER
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** An answer more than 500 ms past its deadline counts as lost; the other 200 ms allow for a slow machine. */
    private static final long LATE_ANSWER_NANOS = 500 * NANOS_PER_MILLI + 200 * NANOS_PER_MILLI;

    /** Allowance for the time until a router notices that a client has closed its connection. */
    private static final long CLOSE_SLACK_NANOS = 100 * NANOS_PER_MILLI;

    private static final long TIME_SLACK_NANOS = 150 * NANOS_PER_MILLI;
    /** Allowance between a router's write and a host's record of it: a proxy and two threads of a busy machine. */
    private static final long TRANSIT_SLACK_NANOS = 100 * NANOS_PER_MILLI;

    /** The longest time that {@link FaultKind#PAUSE} or {@link FaultKind#HELD_UP} delays a router. */
    private static final long MAX_PAUSE_NANOS = 150 * NANOS_PER_MILLI;
    /** The longest time until a router knows of a change that it polls for, or that it missed during a fault. */
    private static final long MAX_NOTIFICATION_NANOS = 6_000 * NANOS_PER_MILLI;
    /** The number of violations of each kind that are described in full. */
    private static final int MAX_DESCRIPTIONS_PER_KIND = 3;

    private final SoakFleet fleet;
    private final Map<Violation, Integer> counts = new EnumMap<>(Violation.class);
    private final List<String> descriptions = new ArrayList<>();

    SoakOracle(SoakFleet fleet) {
        this.fleet = fleet;
    }

    /** Checks all requests. */
    void checkAll() {
        fleet.requests().values().forEach(this::check);
    }

    /** Returns the number of violations of each kind. */
    Map<Violation, Integer> counts() {
        return counts;
    }

    /** Returns descriptions of the first violations of each kind. */
    List<String> descriptions() {
        return descriptions;
    }

    private void check(Request request) {
        boolean routerKilled = fleet.routers()
                .get(request.router)
                .killedWithin(
                        request.sentAtNanos, request.endedAtNanos() == 0 ? Long.MAX_VALUE : request.endedAtNanos());
        checkAnswer(request, routerKilled);
        List<Request.Arrival> arrivals = request.arrivals();
        long runCount = arrivals.stream().filter(Request.Arrival::ran).count();
        if (request.kind == RequestKind.WRITE && runCount > 1) {
            add(Violation.RAN_TWICE, request);
        }
        if (request.kind.writes() && runCount > 0 && request.outcome() == Request.Outcome.REFUSED) {
            add(Violation.REFUSED_THOUGH_RUN, request);
        }
        if (request.kind == RequestKind.TOKEN && runCount > 1) {
            checkDeduplication(request, arrivals);
        }
        arrivals.forEach(arrival -> checkArrival(request, arrival));
    }

    private void checkAnswer(Request request, boolean routerKilled) {
        switch (request.outcome()) {
            case SILENT, CUT, PENDING -> {
                if (!routerKilled) {
                    add(Violation.UNANSWERED, request);
                }
            }
            case UNREAD -> {
                if (!routerKilled && !request.arrivals().isEmpty()) {
                    add(Violation.UNANSWERED, request);
                }
            }
            case SERVED, REFUSED, FAILED -> {
                if (!routerKilled
                        && request.endedAtNanos()
                                > request.deadlineNanos() + request.maxPipelineWaitNanos() + LATE_ANSWER_NANOS) {
                    add(Violation.LATE_ANSWER, request);
                }
            }
            default -> {}
        }
    }

    private void checkDeduplication(Request request, List<Request.Arrival> arrivals) {
        Request.Arrival first =
                arrivals.stream().filter(Request.Arrival::ran).findFirst().orElseThrow();
        boolean repeatedTooLate = arrivals.stream()
                .filter(Request.Arrival::ran)
                .anyMatch(arrival -> arrival.arrivedAtNanos()
                        > first.arrivedAtNanos()
                                + RequestKind.DEDUPLICATION_MILLIS * NANOS_PER_MILLI
                                + TIME_SLACK_NANOS
                                + TRANSIT_SLACK_NANOS);
        if (repeatedTooLate) {
            add(Violation.MEMORY_OVER, request);
        }
    }

    private void checkArrival(Request request, Request.Arrival arrival) {
        if (request.outcome() == Request.Outcome.LEFT
                && arrival.arrivedAtNanos()
                        > request.endedAtNanos() + CLOSE_SLACK_NANOS + TRANSIT_SLACK_NANOS + MAX_PAUSE_NANOS) {
            add(Violation.AFTER_CLOSE, request);
        }
        if (request.outcome() == Request.Outcome.SERVED
                && arrival.arrivedAtNanos() > request.endedAtNanos() + TRANSIT_SLACK_NANOS + MAX_PAUSE_NANOS) {
            add(Violation.AFTER_ANSWER, request);
        }
        // The budget of a pipelined query starts with the answer before it, so each query is checked with its own
        // allowance.
        long remainingNanos = request.deadlineNanos() - arrival.arrivedAtNanos();
        if (arrival.remainingMillis() * NANOS_PER_MILLI
                > remainingNanos + TIME_SLACK_NANOS + TRANSIT_SLACK_NANOS + request.maxPipelineWaitNanos()) {
            add(Violation.TOO_MUCH_TIME, request);
        }
        if (arrival.leavingSinceNanos() > 0
                && arrival.arrivedAtNanos()
                        > notificationDeadlineNanos(arrival.leavingSinceNanos())
                                + SoakConfiguration.DRAIN_GRACE_MILLIS * NANOS_PER_MILLI
                                + TRANSIT_SLACK_NANOS
                                + MAX_PAUSE_NANOS) {
            add(Violation.DRAIN, request);
        }
        long ageMillis = arrival.wallMillis() - arrival.positionMillis();
        if (request.kind == RequestKind.BOUNDED
                && arrival.ran()
                && ageMillis * NANOS_PER_MILLI
                        > RequestKind.BOUND_MILLIS * NANOS_PER_MILLI + TRANSIT_SLACK_NANOS + MAX_PAUSE_NANOS) {
            add(Violation.STALE, request);
        }
    }

    /** Returns by when a router must know of a change made at this time, both in nanoseconds. */
    private long notificationDeadlineNanos(long changedAtNanos) {
        long notifiedByNanos = changedAtNanos + (fleet.pollsDiscovery() ? MAX_NOTIFICATION_NANOS : TRANSIT_SLACK_NANOS);
        for (SoakFleet.Interval fault : fleet.discoveryFaults()) {
            if (fault.startNanos() < changedAtNanos + MAX_NOTIFICATION_NANOS
                    && fault.endNanos() > changedAtNanos - MAX_NOTIFICATION_NANOS) {
                notifiedByNanos = fault.endNanos() == Long.MAX_VALUE
                        ? Long.MAX_VALUE / 2
                        : Math.max(notifiedByNanos, fault.endNanos() + MAX_NOTIFICATION_NANOS);
                notifiedByNanos = Math.max(notifiedByNanos, changedAtNanos + MAX_NOTIFICATION_NANOS);
            }
        }
        return notifiedByNanos;
    }

    private void add(Violation violation, Request request) {
        if (counts.merge(violation, 1, Integer::sum) <= MAX_DESCRIPTIONS_PER_KIND) {
            descriptions.add(violation + ": " + request);
        }
    }
}
