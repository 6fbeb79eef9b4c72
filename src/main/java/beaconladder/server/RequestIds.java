package beaconladder.server;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The clients' ids of requests in flight, and of requests that have ended but whose ids are reserved for a while. Safe
 * for concurrent use.
 */
final class RequestIds {
    /** Bound of the reserved ids; beyond it the one whose reservation ends first is released. */
    static final int MAX_RESERVED = 20_000;

    private record Reservation(String id, long untilNanos) {}

    private final Set<String> inFlight = new HashSet<>();
    private final Map<String, Reservation> reserved = new HashMap<>();
    private final PriorityQueue<Reservation> reservationsByEnd =
            new PriorityQueue<>((a, b) -> Long.compare(a.untilNanos, b.untilNanos));

    /** Marks an id as in flight; returns false if it is in flight or reserved. */
    synchronized boolean tryUse(String id, long nowNanos) {
        releaseExpired(nowNanos);
        return !reserved.containsKey(id) && inFlight.add(id);
    }

    /** Ends the use of an id, which can be used again at once. */
    synchronized void release(String id) {
        inFlight.remove(id);
    }

    /** Ends the use of an id, and reserves it until the given time. */
    synchronized void release(String id, long reservedUntilNanos, long nowNanos) {
        inFlight.remove(id);
        releaseExpired(nowNanos);
        if (reservedUntilNanos <= nowNanos) {
            return;
        }
        if (reserved.size() >= MAX_RESERVED) {
            releaseFirst();
        }
        Reservation reservation = new Reservation(id, reservedUntilNanos);
        reserved.put(id, reservation);
        reservationsByEnd.add(reservation);
    }

    /** The number of ids of requests in flight. */
    synchronized int inFlightCount() {
        return inFlight.size();
    }

    private void releaseExpired(long nowNanos) {
        while (!reservationsByEnd.isEmpty() && reservationsByEnd.peek().untilNanos <= nowNanos) {
            releaseFirst();
        }
    }

    private void releaseFirst() {
        reserved.remove(reservationsByEnd.poll().id);
    }
}
