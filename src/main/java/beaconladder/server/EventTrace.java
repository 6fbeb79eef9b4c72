package beaconladder.server;

import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The events of each request and what was learned of each host, one line an event, at the level DEBUG of the logger
 * {@code beaconladder.trace}; off by default. Lines are gathered under the dispatcher's lock and written once it is
 * free. Times are milliseconds since the request arrived; ids are those of the clients and of discovery.
 *
 * <p>Switch it on with {@code -Dorg.slf4j.simpleLogger.log.beaconladder.trace=debug} in the command line.
 */
final class EventTrace {
    private static final Logger LOG = LoggerFactory.getLogger("beaconladder.trace");

    private final boolean enabled = LOG.isDebugEnabled();
    private final List<String> pendingLines = new ArrayList<>();
    /** The client's id of each request in flight. */
    private final Map<Request, String> requestIds = new HashMap<>();
    /** Discovery's id of each host. */
    private final Map<Host, String> hostIds = new HashMap<>();

    /** A query was answered before it reached the dispatcher. */
    static void rejectedEarly(String what) {
        LOG.debug("door {}", what);
    }

    void settings(Map<String, String> settings) {
        if (enabled) {
            LOG.debug("settings {}", new TreeMap<>(settings));
        }
    }

    void hostNamed(Host host, String id) {
        if (enabled) {
            hostIds.put(host, id);
        }
    }

    void submitted(Request request, String id, long now) {
        if (enabled) {
            requestIds.put(request, id);
            add("take " + id + " type=" + request.requestClass.index() + " group=" + request.group.id + " budget="
                    + ms(request.expiryNanos - request.arrivedNanos) + " written="
                    + (request.sessionWritePosition == Long.MIN_VALUE ? "-" : ms(now - request.sessionWritePosition))
                    + " repeat=" + request.retriedByClient);
        }
    }

    void attemptSent(Attempt attempt, long timeout) {
        if (enabled) {
            Host host = attempt.host;
            add("send " + idOf(attempt.request) + " n=" + attempt.index + " host=" + idOf(host) + " " + roleOf(host)
                    + " at="
                    + ms(attempt.sentNanos - attempt.request.arrivedNanos) + " timeout=" + ms(timeout) + " out="
                    + attempt.hostConcurrency
                    + " lagms=" + (host.position == Long.MIN_VALUE ? "-" : ms(attempt.sentNanos - host.position))
                    + " cold=" + (host.launchedNanos > 0 ? ms(attempt.sentNanos - host.launchedNanos) : "-")
                    + " tickets=" + host.slowStartTickets.size());
        }
    }

    void attemptEnded(Attempt attempt, Outcome outcome, long now) {
        if (enabled) {
            add("end " + idOf(attempt.request) + " n=" + attempt.index + " host=" + idOf(attempt.host) + " " + outcome
                    + " took=" + ms(now - attempt.sentNanos));
        }
    }

    void heldBack(Attempt attempt, DispatchCheck check, long now) {
        if (enabled) {
            add("held back " + idOf(attempt.request) + " n=" + attempt.index + " host=" + idOf(attempt.host) + " "
                    + check
                    + " after="
                    + ms(now - attempt.sentNanos));
        }
    }

    /** A client's connection was closed. */
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

    void requestEvent(Request request, String what, long now) {
        if (enabled) {
            add(what + " " + idOf(request) + " at=" + ms(now - request.arrivedNanos) + " left="
                    + ms(request.expiryNanos - now) + " subs=" + request.attempts.size() + " want=" + request.probeNeed
                    + " asked=" + request.probesSent);
        }
    }

    void forget(Request request) {
        if (enabled) {
            requestIds.remove(request);
        }
    }

    void healthCheck(Host host) {
        if (enabled) {
            add("probe host=" + idOf(host) + " " + roleOf(host));
        }
    }

    void healthCheckEnded(Host host, Outcome outcome, long sent, long now) {
        if (enabled) {
            add("probed host=" + idOf(host) + " " + outcome + " took=" + ms(now - sent));
        }
    }

    void hostListed(Host host, String state, boolean leader, long launched) {
        if (enabled) {
            add("listed host=" + idOf(host) + " group=" + host.group.id + " zone=" + host.zone + " " + state
                    + (leader ? " leader" : "") + " started=" + launched);
        }
    }

    /** Writes gathered lines; called without the dispatcher's lock. */
    void flush(List<String> gathered) {
        for (String line : gathered) {
            LOG.debug(line);
        }
    }

    /** Removes and returns the gathered lines; the caller holds the dispatcher's lock. */
    List<String> drain() {
        if (pendingLines.isEmpty()) {
            return List.of();
        }
        List<String> all = List.copyOf(pendingLines);
        pendingLines.clear();
        return all;
    }

    private void add(String line) {
        pendingLines.add(line);
    }

    private String idOf(Request request) {
        return requestIds.getOrDefault(request, "#" + request.sequenceNumber);
    }

    private String idOf(Host host) {
        return hostIds.getOrDefault(host, "#" + host.id);
    }

    private static String roleOf(Host host) {
        return host == host.group.primary ? "primary" : "replica";
    }

    private static String ms(long nanos) {
        return String.valueOf(nanos / 1_000_000);
    }
}
