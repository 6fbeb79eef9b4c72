package beaconladder.closing;

import beaconladder.routing.api.DelegatingRouter;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Request;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * The decisions under closes: a read that comes after a close has the close as the least log position that it must see.
 * The module holds it and sends it as any other read with a target; nothing else is decided here.
 */
public final class Closed extends DelegatingRouter {
    private static final long SECOND = 1_000_000_000L;

    private final Supplier<Calendar> calendar;
    private Calendar known;
    /** The floor, and until when it is the newest; a look into the calendar for each read would be too dear. */
    private long floor = Long.MIN_VALUE;

    private long until = Long.MIN_VALUE;

    /** Asks for the calendar at each look, as another one may come. */
    public Closed(Router inner, Supplier<Calendar> calendar) {
        super(inner);
        this.calendar = calendar;
    }

    /** The log position of the newest close at this moment, in Unix nanoseconds; Long.MIN_VALUE for none. */
    private long floor(long now) {
        Calendar latest = calendar.get();
        if (now >= until || latest != known) {
            known = latest;
            Instant at = Instant.ofEpochSecond(0, now);
            Instant newest = latest.floor(at);
            Calendar.Due next = latest.next(at.plus(latest.bound()));
            floor = newest == null ? Long.MIN_VALUE : nanos(newest);
            until = next == null ? Long.MAX_VALUE : nanos(next.at().minus(latest.bound()));
        }
        return floor;
    }

    private static long nanos(Instant at) {
        return at.getEpochSecond() * SECOND + at.getNano();
    }

    private void bind(Request txn) {
        if (!txn.requestClass.consistency().requiresPrimary()) {
            txn.minPosition = Math.max(txn.minPosition, floor(txn.arrivedNanos));
        }
    }

    @Override
    public RoutingDecision route(Request txn, long now) {
        bind(txn);
        return inner.route(txn, now);
    }
}
