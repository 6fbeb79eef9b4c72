package beaconladder.server;

import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of each txn and what was heard of each host, one line an event, at the level DEBUG of the logger
 * {@code beaconladder.trace}; off by default. Lines are gathered under the desk's lock and written once it is free.
 * Times are milliseconds since the txn came in; ids are those of the clients and of discovery.
 *
 * <p>Switch it on with {@code -Dorg.slf4j.simpleLogger.log.beaconladder.trace=debug} in the command line.
 */
final class EventTrace {
    private static final Logger LOG = LoggerFactory.getLogger("beaconladder.trace");

    private final boolean on = LOG.isDebugEnabled();
    private final List<String> lines = new ArrayList<>();
    /** The client's id of each txn in hand. */
    private final Map<Request, String> ids = new java.util.HashMap<>();
    /** Discovery's id of each host. */
    private final Map<Host, String> names = new java.util.HashMap<>();

    boolean on() {
        return on;
    }

    /** What the door answered by itself, before the desk had the txn. */
    static void rejectedEarly(String what) {
        LOG.debug("door {}", what);
    }

    void settings(Map<String, String> start) {
        if (on) {
            LOG.debug("settings {}", new java.util.TreeMap<>(start));
        }
    }

    void named(Host host, String id) {
        if (on) {
            names.put(host, id);
        }
    }

    void taken(Request txn, String id, long now) {
        if (on) {
            ids.put(txn, id);
            add("take " + id + " type=" + txn.requestClass.index() + " group=" + txn.group.id + " budget="
                    + ms(txn.expiryNanos - txn.arrivedNanos) + " written="
                    + (txn.sessionWritePosition == Long.MIN_VALUE ? "-" : ms(now - txn.sessionWritePosition))
                    + " repeat=" + txn.retriedByClient);
        }
    }

    void sent(Attempt s, long timeout) {
        if (on) {
            Host host = s.host;
            add("send " + id(s.request) + " n=" + s.index + " host=" + name(host) + " " + role(host) + " at="
                    + ms(s.sentNanos - s.request.arrivedNanos) + " timeout=" + ms(timeout) + " out=" + s.hostConcurrency
                    + " lagms=" + (host.position == Long.MIN_VALUE ? "-" : ms(s.sentNanos - host.position))
                    + " cold=" + (host.launchedNanos > 0 ? ms(s.sentNanos - host.launchedNanos) : "-")
                    + " tickets=" + host.slowStartTickets.size());
        }
    }

    void ended(Attempt s, Outcome outcome, long now) {
        if (on) {
            add("end " + id(s.request) + " n=" + s.index + " host=" + name(s.host) + " " + outcome + " took="
                    + ms(now - s.sentNanos));
        }
    }

    void heldBack(Attempt s, DispatchCheck check, long now) {
        if (on) {
            add("held back " + id(s.request) + " n=" + s.index + " host=" + name(s.host) + " " + check
                    + " after="
                    + ms(now - s.sentNanos));
        }
    }

    /** A client's connection has ended. */
    static void clientClosed(long key, CloseCause cause, int unanswered, int unread) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "close client={} cause={} unanswered={} unread_bytes={}",
                    Long.toHexString(key),
                    cause,
                    unanswered,
                    unread);
        }
    }

    void finished(Request txn, String how, long now) {
        if (on) {
            add(how + " " + id(txn) + " at=" + ms(now - txn.arrivedNanos) + " left=" + ms(txn.expiryNanos - now)
                    + " subs=" + txn.attempts.size() + " want=" + txn.probeNeed + " asked=" + txn.probesSent);
        }
    }

    void gone(Request txn) {
        if (on) {
            ids.remove(txn);
        }
    }

    void probe(Host host) {
        if (on) {
            add("probe host=" + name(host) + " " + role(host));
        }
    }

    void probed(Host host, Outcome outcome, long sent, long now) {
        if (on) {
            add("probed host=" + name(host) + " " + outcome + " took=" + ms(now - sent));
        }
    }

    void listed(Host host, String state, boolean leader, long launched) {
        if (on) {
            add("listed host=" + name(host) + " group=" + host.group.id + " zone=" + host.zone + " " + state
                    + (leader ? " leader" : "") + " started=" + launched);
        }
    }

    /** Writes what was gathered; called with the desk's lock free. */
    void flush(List<String> gathered) {
        for (String line : gathered) {
            LOG.debug(line);
        }
    }

    /** Hands over what was gathered under the lock, and forgets it. */
    List<String> take() {
        if (lines.isEmpty()) {
            return List.of();
        }
        List<String> all = List.copyOf(lines);
        lines.clear();
        return all;
    }

    private void add(String line) {
        lines.add(line);
    }

    private String id(Request txn) {
        return ids.getOrDefault(txn, "#" + txn.sequenceNumber);
    }

    private String name(Host host) {
        return names.getOrDefault(host, "#" + host.id);
    }

    private static String role(Host host) {
        return host == host.group.primary ? "primary" : "replica";
    }

    private static String ms(long nanos) {
        return String.valueOf(nanos / 1_000_000);
    }
}
