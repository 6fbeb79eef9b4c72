package beaconladder.closing;

import beaconladder.routing.api.DelegatingRouter;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Request;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * A routing policy under business closes: a read that arrives after a close must see at least the log position of the
 * close. The policy queues and sends it as any other read with a minimum position; nothing else is decided here.
 */
public final class ClosingRouter extends DelegatingRouter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Supplier<ClosingCalendar> calendar;
    /** The calendar that the boundary was computed from. */
    private ClosingCalendar boundaryCalendar;
    /**
     * The newest close in Unix nanoseconds; cached, since a search of the calendar for each read would cost too much.
     */
    private long boundaryNanos = Long.MIN_VALUE;

    /** When the next close replaces the cached one. */
    private long boundaryValidUntilNanos = Long.MIN_VALUE;

    /** The calendar is read for each request, as it may be replaced. */
    public ClosingRouter(Router inner, Supplier<ClosingCalendar> calendar) {
        super(inner);
        this.calendar = calendar;
    }

    /** The log position of the newest close, in Unix nanoseconds; Long.MIN_VALUE for none. */
    private long boundaryNanos(long nowNanos) {
        ClosingCalendar latest = calendar.get();
        if (nowNanos >= boundaryValidUntilNanos || latest != boundaryCalendar) {
            boundaryCalendar = latest;
            Instant at = Instant.ofEpochSecond(0, nowNanos);
            Instant newest = latest.newestBoundary(at);
            ClosingCalendar.ScheduledClose next = latest.next(at.plus(latest.clockBound()));
            boundaryNanos = newest == null ? Long.MIN_VALUE : nanos(newest);
            boundaryValidUntilNanos =
                    next == null ? Long.MAX_VALUE : nanos(next.at().minus(latest.clockBound()));
        }
        return boundaryNanos;
    }

    private static long nanos(Instant at) {
        return at.getEpochSecond() * NANOS_PER_SECOND + at.getNano();
    }

    private void requireNewestClose(Request request) {
        if (!request.requestClass.consistency().requiresPrimary()) {
            request.minPosition = Math.max(request.minPosition, boundaryNanos(request.arrivedNanos));
        }
    }

    @Override
    public RoutingDecision route(Request request, long nowNanos) {
        requireNewestClose(request);
        return inner.route(request, nowNanos);
    }
}
