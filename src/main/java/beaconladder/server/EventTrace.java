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
 * Logs the events of each request and of each host, one line per event, at the level DEBUG of the logger
 * {@code beaconladder.trace}; off by default. Lines are collected under the dispatcher's lock and written after its
 * release. Times are milliseconds since the request arrived; ids are those of the clients and of discovery.
 *
 * <p>{@code -Dorg.slf4j.simpleLogger.log.beaconladder.trace=debug} on the command line enables it.
 */
final class EventTrace {
    private static final Logger LOG = LoggerFactory.getLogger("beaconladder.trace");

    private final boolean enabled = LOG.isDebugEnabled();
    private final List<String> pendingLines = new ArrayList<>();
    /** The client's id of each request in flight. */
    private final Map<Request, String> requestIds = new HashMap<>();
    /** Discovery's id of each host. */
    private final Map<Host, String> hostIds = new HashMap<>();

    /** Logs a query that was answered before it reached the dispatcher. */
    static void rejectedEarly(String event) {
        LOG.debug("door {}", event);
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

    void attemptSent(Attempt attempt, long timeoutNanos) {
        if (enabled) {
            Host host = attempt.host;
            add("send " + idOf(attempt.request) + " n=" + attempt.index + " host=" + idOf(host) + " " + roleOf(host)
                    + " at="
                    + ms(attempt.sentNanos - attempt.request.arrivedNanos) + " timeout=" + ms(timeoutNanos) + " out="
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

    /** Logs that a client's connection was closed. */
    static void clientClosed(long clientKey, CloseCause cause, int unansweredQueries, int unreadBytes) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "close client={} cause={} unanswered={} unread_bytes={}",
                    Long.toHexString(clientKey),
                    cause,
                    unansweredQueries,
                    unreadBytes);
        }
    }

    void requestEvent(Request request, String event, long now) {
        if (enabled) {
            add(event + " " + idOf(request) + " at=" + ms(now - request.arrivedNanos) + " left="
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

    void healthCheckEnded(Host host, Outcome outcome, long sentNanos, long now) {
        if (enabled) {
            add("probed host=" + idOf(host) + " " + outcome + " took=" + ms(now - sentNanos));
        }
    }

    void hostListed(Host host, String state, boolean leader, long launchedMillis) {
        if (enabled) {
            add("listed host=" + idOf(host) + " group=" + host.group.id + " zone=" + host.zone + " " + state
                    + (leader ? " leader" : "") + " started=" + launchedMillis);
        }
    }

    /** Logs collected lines; called without the dispatcher's lock. */
    void flush(List<String> lines) {
        for (String line : lines) {
            LOG.debug(line);
        }
    }

    /** Removes and returns the collected lines; the caller holds the dispatcher's lock. */
    List<String> drain() {
        if (pendingLines.isEmpty()) {
            return List.of();
        }
        List<String> lines = List.copyOf(pendingLines);
        pendingLines.clear();
        return lines;
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
