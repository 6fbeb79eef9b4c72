package beaconladder.testbed.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Judges a soak by what clients and hosts saw of each request; the routers' own word is judged beside it. */
final class SoakOracle {
    /** Rules, as the protocol has them. */
    enum Broken {
        UNANSWERED,
        LATE_ANSWER,
        RAN_TWICE,
        REFUSED_THOUGH_RUN,
        MEMORY_OVER,
        AFTER_CLOSE,
        TOO_MUCH_TIME,
        DRAIN,
        STALE,
        AFTER_ANSWER
    }

    private static final long MS = 1_000_000L;
    /** An answer behind its time by so much is lost; the rest is for the slowness of this machine. */
    private static final long LATE = 500 * MS + 200 * MS;

    private static final long CLOSE_SLACK = 100 * MS;
    private static final long TIME_SLACK = 150 * MS;
    /** Between a router's write and a host's note lie a proxy and two threads of a busy machine. */
    private static final long WAY = 100 * MS;

    private static final long PAUSE = 150 * MS;
    private static final long NOTIFICATION_BOUND = 6_000 * MS;
    private static final int SHOWN = 3;

    private final SoakFleet fleet;
    private final Map<Broken, Integer> counts = new EnumMap<>(Broken.class);
    private final List<String> shown = new ArrayList<>();

    SoakOracle(SoakFleet fleet) {
        this.fleet = fleet;
    }

    /** Looks at all requests. */
    void judge() {
        fleet.requests().values().forEach(this::judge);
    }

    Map<Broken, Integer> counts() {
        return counts;
    }

    /** Some of each kind, in words. */
    List<String> shown() {
        return shown;
    }

    private void judge(Request request) {
        boolean excused = fleet.routers()
                .get(request.router)
                .killedWithin(request.sentAt, request.endedAt() == 0 ? Long.MAX_VALUE : request.endedAt());
        answers(request, excused);
        List<Request.Arrival> arrivals = request.arrivals();
        long ran = arrivals.stream().filter(Request.Arrival::ran).count();
        if (request.kind == RequestKind.WRITE && ran > 1) {
            add(Broken.RAN_TWICE, request);
        }
        if (request.kind.writes() && ran > 0 && request.end() == Request.End.REFUSED) {
            add(Broken.REFUSED_THOUGH_RUN, request);
        }
        if (request.kind == RequestKind.TOKEN && ran > 1) {
            memory(request, arrivals);
        }
        arrivals.forEach(arrival -> arrived(request, arrival));
    }

    private void answers(Request request, boolean excused) {
        switch (request.end()) {
            case SILENT, CUT, PENDING -> {
                if (!excused) {
                    add(Broken.UNANSWERED, request);
                }
            }
            case UNREAD -> {
                if (!excused && !request.arrivals().isEmpty()) {
                    add(Broken.UNANSWERED, request);
                }
            }
            case SERVED, REFUSED, FAILED -> {
                if (!excused && request.endedAt() > request.deadline() + request.waitedAhead() + LATE) {
                    add(Broken.LATE_ANSWER, request);
                }
            }
            default -> {}
        }
    }

    private void memory(Request request, List<Request.Arrival> arrivals) {
        Request.Arrival first =
                arrivals.stream().filter(Request.Arrival::ran).findFirst().orElseThrow();
        boolean late = arrivals.stream()
                .filter(Request.Arrival::ran)
                .anyMatch(a -> a.at() > first.at() + RequestKind.MEMORY_MILLIS * MS + TIME_SLACK + WAY);
        if (late) {
            add(Broken.MEMORY_OVER, request);
        }
    }

    private void arrived(Request request, Request.Arrival arrival) {
        if (request.end() == Request.End.LEFT && arrival.at() > request.endedAt() + CLOSE_SLACK + WAY + PAUSE) {
            add(Broken.AFTER_CLOSE, request);
        }
        if (request.end() == Request.End.SERVED && arrival.at() > request.endedAt() + WAY + PAUSE) {
            add(Broken.AFTER_ANSWER, request);
        }
        // A query that was pipelined has its time from the answer before it: all of them are checked by
        // their own.
        long left = request.deadline() - arrival.at();
        if (arrival.waitMillis() * MS > left + TIME_SLACK + WAY + request.waitedAhead()) {
            add(Broken.TOO_MUCH_TIME, request);
        }
        if (arrival.leavingSince() > 0
                && arrival.at()
                        > notifiedAtNanos(arrival.leavingSince()) + SoakConfiguration.GRACE_MILLIS * MS + WAY + PAUSE) {
            add(Broken.DRAIN, request);
        }
        long age = arrival.wallMillis() - arrival.position();
        if (request.kind == RequestKind.BOUNDED
                && arrival.ran()
                && age * MS > RequestKind.BOUND_MILLIS * MS + WAY + PAUSE) {
            add(Broken.STALE, request);
        }
    }

    /** When a change made at this moment counts as notified, in nanoseconds. */
    private long notifiedAtNanos(long changed) {
        long notifiedAt = changed + (fleet.asks() ? NOTIFICATION_BOUND : WAY);
        for (SoakFleet.Span span : fleet.discoveryFaults()) {
            if (span.from() < changed + NOTIFICATION_BOUND && span.to() > changed - NOTIFICATION_BOUND) {
                notifiedAt = span.to() == Long.MAX_VALUE
                        ? Long.MAX_VALUE / 2
                        : Math.max(notifiedAt, span.to() + NOTIFICATION_BOUND);
                notifiedAt = Math.max(notifiedAt, changed + NOTIFICATION_BOUND);
            }
        }
        return notifiedAt;
    }

    private void add(Broken rule, Request request) {
        if (counts.merge(rule, 1, Integer::sum) <= SHOWN) {
            shown.add(rule + ": " + request);
        }
    }
}
