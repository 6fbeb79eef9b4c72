package beaconladder.closing;

import beaconladder.routing.api.DelegatingRouter;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Request;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * Wraps a router to apply business closes: a read that arrives after a close must see at least the log position of the
 * close. This class only raises the minimum position of the read; the wrapped router queues and sends it.
 */
public final class ClosingRouter extends DelegatingRouter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Supplier<ClosingCalendar> calendar;
    /** The calendar that the cached close was computed from. */
    private ClosingCalendar cachedCalendar;
    /**
     * The newest close in Unix nanoseconds; cached, because a search of the calendar for each read would cost too much.
     */
    private long cachedCloseNanos = Long.MIN_VALUE;

    /** When the next close replaces the cached one, in Unix nanoseconds. */
    private long cacheValidUntilNanos = Long.MIN_VALUE;

    /** Creates a router around another one; the calendar is read for each request, as it may be replaced. */
    public ClosingRouter(Router inner, Supplier<ClosingCalendar> calendar) {
        super(inner);
        this.calendar = calendar;
    }

    /** Returns the log position of the newest close, in Unix nanoseconds; {@link Long#MIN_VALUE} for none. */
    private long newestCloseNanos(long nowNanos) {
        ClosingCalendar latest = calendar.get();
        if (nowNanos >= cacheValidUntilNanos || latest != cachedCalendar) {
            cachedCalendar = latest;
            Instant now = Instant.ofEpochSecond(0, nowNanos);
            Instant newest = latest.newestCloseInstant(now);
            ClosingCalendar.ScheduledClose next = latest.nextClose(now.plus(latest.clockBound()));
            cachedCloseNanos = newest == null ? Long.MIN_VALUE : nanos(newest);
            cacheValidUntilNanos =
                    next == null ? Long.MAX_VALUE : nanos(next.instant().minus(latest.clockBound()));
        }
        return cachedCloseNanos;
    }

    private static long nanos(Instant instant) {
        return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
    }

    private void requireNewestClose(Request request) {
        if (!request.requestClass.consistency().requiresPrimary()) {
            request.minPosition = Math.max(request.minPosition, newestCloseNanos(request.arrivedNanos));
        }
    }

    @Override
    public RoutingDecision route(Request request, long nowNanos) {
        requireNewestClose(request);
        return inner.route(request, nowNanos);
    }
}
