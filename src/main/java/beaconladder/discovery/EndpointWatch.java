package beaconladder.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches discovery for as long as the program runs: fetches the complete list of endpoints first and then its changes.
 * Calls are made by the thread that runs this; the other methods may be called by any thread.
 */
public final class EndpointWatch implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
    /** No version is known: the next call requests the complete list. */
    private static final long NO_VERSION = -1;

    /**
     * One host as discovery lists it.
     *
     * @param address null for a host that is {@link State#GONE}
     * @param group the replication group that it belongs to
     * @param leader whether it is its group's primary
     * @param launchedMillis when it was launched, in milliseconds since the epoch; 0 if discovery does not state it
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            int group,
            State state,
            boolean leader,
            long launchedMillis) {}

    /** A host's state in discovery. The names are written to the trace. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** Receives what discovery answers, on the watch's thread. */
    public interface Listener {
        /**
         * Called for each answer that brings something.
         *
         * @param complete whether the entries are all endpoints, or only those that have changed
         */
        void onEndpoints(boolean complete, List<Entry> entries);
    }

    private final Listener listener;
    private final DiscoverySchedule schedule;
    /** The connection to the present address; that to an earlier one is closed. */
    private volatile HttpFetcher http;

    private final long createdAtNanos = System.nanoTime();
    private volatile boolean answered;
    private volatile boolean stopped;

    // Only the thread of run() uses the fields below.

    /** The connection that the state below belongs to. */
    private HttpFetcher current;
    /** The version of the last answer; changes since then can be requested. */
    private long version = NO_VERSION;
    /** Whether the last call was answered, so that the next one may wait for changes. */
    private boolean isWatching;
    /** Faults that have been logged since discovery last answered. */
    private final Set<String> loggedFaults = new HashSet<>();

    /** A watch for a process that is not one of a fleet and has no grace period for draining hosts. */
    public EndpointWatch(InetSocketAddress discovery, Listener listener) {
        this(discovery, WatchSchedule.NOTIFIED_MILLIS, 0, listener);
    }

    /**
     * A watch of a discovery agent on the same machine, not yet running.
     *
     * @param graceMillis how long after the notification limit requests may still be sent to a draining host
     * @param seed for the random parts of the schedule
     */
    public EndpointWatch(InetSocketAddress discovery, long graceMillis, long seed, Listener listener) {
        this(discovery, new WatchSchedule(graceMillis, seed), listener);
    }

    private EndpointWatch(InetSocketAddress discovery, DiscoverySchedule schedule, Listener listener) {
        this.http = new HttpFetcher(discovery);
        this.listener = listener;
        this.schedule = schedule;
    }

    /**
     * A watch of a discovery that is one service for all routers, which its schedule must not overload.
     *
     * @param everyMillis the period at which a client without a watch should poll
     * @param seed for the random parts of the schedule
     */
    public static EndpointWatch polling(InetSocketAddress discovery, long everyMillis, long seed, Listener listener) {
        return new EndpointWatch(discovery, new PollSchedule(everyMillis, seed), listener);
    }

    /** Sets the address of discovery; a change cancels the call in flight and requests the complete list again. */
    public synchronized void changeAddress(InetSocketAddress discovery) {
        HttpFetcher previous = http;
        if (!previous.address().equals(discovery)) {
            http = new HttpFetcher(discovery);
            previous.close();
            notifyAll();
        }
    }

    @Override
    public void run() {
        while (!stopped) {
            resetIfAddressChanged();
            DiscoverySchedule.Call call = schedule.nextCall(isWatching);
            long startNanos = System.nanoTime();
            int restMillis;
            try {
                EndpointListReader.EndpointUpdate update = fetch(call);
                if (isAddressChanged()) {
                    continue;
                }
                restMillis = onUpdate(update, call, startNanos);
            } catch (IOException | JsonReader.ParseException e) {
                if (isAddressChanged()) {
                    continue;
                }
                restMillis = onFault(e, call);
            } catch (RuntimeException | Error e) {
                LOG.error("discovery: the last list stands", e);
                startOver();
                restMillis = schedule.onFailure();
            }
            rest(restMillis);
        }
        http.close();
    }

    private boolean isAddressChanged() {
        return current != http;
    }

    /** Versions are only comparable within the address that gave them. */
    private void resetIfAddressChanged() {
        if (isAddressChanged()) {
            current = http;
            startOver();
            schedule.reset();
        }
    }

    private void startOver() {
        version = NO_VERSION;
        isWatching = false;
    }

    private EndpointListReader.EndpointUpdate fetch(DiscoverySchedule.Call call)
            throws IOException, JsonReader.ParseException {
        String path = version < 0 ? "/v1/servers" : "/v1/servers?index=" + version + "&wait=" + call.waitMillis();
        return current.get(path, call.timeoutMillis(), call.responseMillis(), EndpointListReader::read);
    }

    /** Applies an answer; returns the milliseconds to rest before the next call. */
    private int onUpdate(EndpointListReader.EndpointUpdate update, DiscoverySchedule.Call call, long startNanos)
            throws IOException {
        checkVersion(update);
        if (update.complete() || !update.entries().isEmpty()) {
            listener.onEndpoints(update.complete(), update.entries());
        }
        answered = true;
        boolean changed = update.version() != version;
        version = update.version();
        isWatching = true;
        if (!loggedFaults.isEmpty()) {
            LOG.info("discovery answers again");
            loggedFaults.clear();
        }
        return schedule.onAnswer(call, System.nanoTime() - startNanos, changed);
    }

    /**
     * Refuses changes that do not continue the list that is held: with a lower version they are of a discovery that has
     * restarted and does not know that list, and with the same version there can be none.
     */
    private void checkVersion(EndpointListReader.EndpointUpdate update) throws IOException {
        if (!update.complete()
                && (update.version() < version
                        || update.version() == version && !update.entries().isEmpty())) {
            throw new EndpointListReader.InvalidListException(
                    "changes up to version " + update.version() + " since " + version);
        }
    }

    /** Handles a call that brought no valid answer; returns the milliseconds to rest before the next call. */
    private int onFault(Exception fault, DiscoverySchedule.Call call) {
        isWatching = false;
        boolean isTimeout = fault instanceof SocketTimeoutException;
        // A watch also times out when nothing has changed: only the call after it shows whether there is a fault.
        boolean isQuietWatch = call.waitMillis() > 0 && isTimeout;
        // Each fault is logged once until discovery answers again: calls are repeated twice a second.
        if (!isQuietWatch && loggedFaults.add(String.valueOf(fault.getMessage()))) {
            LOG.warn("discovery: {}; the last list stands", fault.getMessage());
        }
        if (isTimeout) {
            return schedule.onTimeout(call);
        }
        if (fault instanceof HttpFetcher.StatusException status && status.isRetryable()) {
            return schedule.onRejected(call);
        }
        // After an answer that is invalid, or does not continue the held list, the complete list is needed.
        if (fault instanceof EndpointListReader.InvalidListException
                || fault instanceof JsonReader.ParseException
                || fault instanceof HttpFetcher.StatusException) {
            version = NO_VERSION;
        }
        return schedule.onFailure();
    }

    /** Whether the first answer is still to be waited for: there was none yet, and the time limit has not passed. */
    public boolean isAwaitingFirstAnswer() {
        return !answered && System.nanoTime() - createdAtNanos < WatchSchedule.START_MILLIS * 1_000_000L;
    }

    /** Ends the watch after the call in flight. */
    public synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Waits until the next call is due, the address changes or the watch is stopped. */
    private synchronized void rest(int millis) {
        long untilNanos = System.nanoTime() + millis * 1_000_000L;
        try {
            for (long remaining = untilNanos - System.nanoTime();
                    remaining > 0 && !stopped && !isAddressChanged();
                    remaining = untilNanos - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            }
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    /**
     * The entries of a list that has been read as JSON.
     *
     * @param list the list as a map, as in a configuration file
     * @throws IOException if any entry is invalid; there are no partial results
     */
    public static List<Entry> parseEntries(Map<?, ?> list) throws IOException {
        if (!(list.get("servers") instanceof List<?> servers)) {
            throw new IOException("no list of hosts");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object each : servers) {
            entries.add(EndpointListReader.parseEntry(each));
        }
        return entries;
    }

    /**
     * Parses an address such as 10.0.0.4:5432 or [::1]:5432.
     *
     * @return null for any other text; host names are not resolved
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return null;
            }
            InetSocketAddress address = new InetSocketAddress(host, port);
            return address.isUnresolved() ? null : address;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
