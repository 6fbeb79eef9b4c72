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
 * Watches discovery while the program runs: fetches the complete endpoint list first and then its changes. The thread
 * that runs this task makes the calls; all other methods are thread-safe.
 */
public final class EndpointWatch implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
    /** The version while none is known: the next call requests the complete list. */
    private static final long NO_VERSION = -1;

    /**
     * One host as discovery lists it.
     *
     * @param address null only for a host that is {@link State#GONE}
     * @param group the replication group of the host
     * @param leader whether the host is the primary of its group
     * @param launchedMillis the host's launch time in milliseconds since the epoch; 0 if discovery does not state it
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            int group,
            State state,
            boolean leader,
            long launchedMillis) {}

    /** The state of a host in discovery. The constants' names are written to the trace. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** Receives the endpoints from discovery, on the watch's thread. */
    public interface Listener {
        /**
         * Called for each response that is a complete list or has changes.
         *
         * @param complete whether the entries are all endpoints, or only those that have changed
         */
        void onEndpoints(boolean complete, List<Entry> entries);
    }

    private final Listener listener;
    private final DiscoverySchedule schedule;
    /** The connection to the current address; those to previous addresses are closed. */
    private volatile HttpFetcher fetcher;

    private final long createdAtNanos = System.nanoTime();
    private volatile boolean hasValidResponse;
    private volatile boolean stopped;

    private final PatientCalls patientCalls = new PatientCalls(this::onPatientResponse);

    // The fields below are confined to the thread of run().

    /** The connection that the version and the flag below refer to. */
    private HttpFetcher currentFetcher;
    /** The version of the last response; changes since then can be requested. */
    private long version = NO_VERSION;
    /** Whether the last call succeeded, so that the next one may wait for changes. */
    private boolean isWatching;
    /** The faults that have been logged since the last valid response. */
    private final Set<String> loggedFaults = new HashSet<>();

    /** Creates a watch for a process that is not part of a fleet and has no grace period for draining hosts. */
    public EndpointWatch(InetSocketAddress discovery, Listener listener) {
        this(discovery, WatchSchedule.NOTIFICATION_LIMIT_MILLIS, 0, listener);
    }

    /**
     * Creates a watch of a discovery agent on the same machine, not yet running.
     *
     * @param graceMillis how long after the notification limit requests may still be sent to a draining host
     * @param seed the seed of the schedule's jitter and backoff
     */
    public EndpointWatch(InetSocketAddress discovery, long graceMillis, long seed, Listener listener) {
        this(discovery, new WatchSchedule(graceMillis, seed), listener);
    }

    private EndpointWatch(InetSocketAddress discovery, DiscoverySchedule schedule, Listener listener) {
        this.fetcher = new HttpFetcher(discovery);
        this.listener = listener;
        this.schedule = schedule;
    }

    /**
     * Creates a watch of a discovery that is one service for all routers, with a schedule that avoids overloading it.
     *
     * @param pollPeriodMillis the period at which a client without a watch should poll, in milliseconds
     * @param seed the seed of the schedule's jitter and backoff
     */
    public static EndpointWatch polling(
            InetSocketAddress discovery, long pollPeriodMillis, long seed, Listener listener) {
        return new EndpointWatch(discovery, new PollSchedule(pollPeriodMillis, seed), listener);
    }

    /**
     * Sets the address of discovery. A new address cancels the call in flight, and the complete list is requested
     * again.
     */
    public synchronized void changeAddress(InetSocketAddress discovery) {
        HttpFetcher previous = fetcher;
        if (!previous.address().equals(discovery)) {
            fetcher = new HttpFetcher(discovery);
            previous.close();
            notifyAll();
        }
    }

    @Override
    public void run() {
        while (!stopped) {
            resetIfAddressChanged();
            patientCalls.startIfNone(currentFetcher.address(), path(0), schedule.patientCall());
            DiscoverySchedule.Call call = schedule.nextCall(isWatching);
            int delayMillis;
            try {
                delayMillis = callAndUpdate(call);
            } catch (IOException | JsonReader.ParseException e) {
                if (isAddressChanged() || patientCalls.hasResponse()) {
                    continue;
                }
                delayMillis = onFault(e, call);
            } catch (RuntimeException | Error e) {
                LOG.error("discovery: internal error; keeping the last endpoint list", e);
                forgetVersion();
                delayMillis = schedule.onFailure();
            }
            awaitNextCall(delayMillis);
        }
        patientCalls.cancel();
        fetcher.close();
    }

    /**
     * Processes the response of the patient call, or makes a call; returns the delay before the next in milliseconds.
     */
    private int callAndUpdate(DiscoverySchedule.Call call) throws IOException, JsonReader.ParseException {
        if (patientCalls.hasResponse()) {
            PatientCall answered = patientCalls.take();
            return onUpdate(answered.update(), answered.call(), answered.elapsedNanos());
        }
        long startNanos = System.nanoTime();
        EndpointListReader.EndpointUpdate update = fetch(call);
        if (isAddressChanged()) {
            return 0;
        }
        // Its response may be older than this one.
        patientCalls.cancel();
        return onUpdate(update, call, System.nanoTime() - startNanos);
    }

    /** Lets the watch process the response of a patient call at once; called on that call's thread. */
    private synchronized void onPatientResponse() {
        fetcher.abort();
        notifyAll();
    }

    private boolean isAddressChanged() {
        return currentFetcher != fetcher;
    }

    /** Resets the watch after a change of the address: versions of different addresses are not comparable. */
    private void resetIfAddressChanged() {
        if (isAddressChanged()) {
            currentFetcher = fetcher;
            forgetVersion();
            schedule.reset();
        }
    }

    private void forgetVersion() {
        version = NO_VERSION;
        isWatching = false;
        // It asks for what has changed since that version.
        patientCalls.cancel();
    }

    private EndpointListReader.EndpointUpdate fetch(DiscoverySchedule.Call call)
            throws IOException, JsonReader.ParseException {
        return currentFetcher.get(
                path(call.waitMillis()), call.timeoutMillis(), call.responseMillis(), EndpointListReader::read);
    }

    private String path(int waitMillis) {
        return version < 0 ? "/v1/servers" : "/v1/servers?index=" + version + "&wait=" + waitMillis;
    }

    /** Processes a valid response; returns the delay before the next call in milliseconds. */
    private int onUpdate(EndpointListReader.EndpointUpdate update, DiscoverySchedule.Call call, long elapsedNanos)
            throws IOException {
        checkVersion(update);
        if (update.complete() || !update.entries().isEmpty()) {
            listener.onEndpoints(update.complete(), update.entries());
        }
        hasValidResponse = true;
        boolean changed = update.version() != version;
        version = update.version();
        isWatching = true;
        if (!loggedFaults.isEmpty()) {
            LOG.info("discovery is available again");
            loggedFaults.clear();
        }
        return schedule.onResponse(call, elapsedNanos, changed);
    }

    /**
     * Rejects changes that are not based on the list that the watch holds. A lower version comes from a discovery that
     * has restarted without that list; with the same version there can be no changes.
     */
    private void checkVersion(EndpointListReader.EndpointUpdate update) throws IOException {
        if (!update.complete()
                && (update.version() < version
                        || update.version() == version && !update.entries().isEmpty())) {
            throw new EndpointListReader.InvalidListException(
                    "changes up to version " + update.version() + " do not continue version " + version);
        }
    }

    /** Handles a call without a valid response; returns the delay before the next call in milliseconds. */
    private int onFault(Exception fault, DiscoverySchedule.Call call) {
        isWatching = false;
        boolean isTimeout = fault instanceof SocketTimeoutException;
        // A watch also times out if nothing has changed: only the next call shows whether there is a fault.
        boolean isWatchTimeout = call.waitMillis() > 0 && isTimeout;
        // Logs each fault once until the next valid response, as calls are repeated twice a second.
        if (!isWatchTimeout && loggedFaults.add(String.valueOf(fault.getMessage()))) {
            LOG.warn("discovery: {}; keeping the last endpoint list", fault.getMessage());
        }
        if (isTimeout) {
            return schedule.onTimeout(call);
        }
        if (fault instanceof HttpFetcher.StatusException status && status.isRetryable()) {
            return schedule.onRejected(call);
        }
        // After a response that is invalid, or not based on the list that is held, the complete list is needed.
        if (fault instanceof EndpointListReader.InvalidListException
                || fault instanceof JsonReader.ParseException
                || fault instanceof HttpFetcher.StatusException) {
            forgetVersion();
        }
        return schedule.onFailure();
    }

    /** Returns whether a start still waits for the first valid response: none was received, within the time limit. */
    public boolean isAwaitingFirstAnswer() {
        return !hasValidResponse
                && System.nanoTime() - createdAtNanos < WatchSchedule.FIRST_LIST_TIMEOUT_MILLIS * 1_000_000L;
    }

    /** Ends the watch after the call in flight. */
    public synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /**
     * Waits for the delay before the next call, or until the patient call is answered, the address changes or the watch
     * is stopped.
     */
    private synchronized void awaitNextCall(int delayMillis) {
        long deadlineNanos = System.nanoTime() + delayMillis * 1_000_000L;
        try {
            for (long remainingNanos = deadlineNanos - System.nanoTime();
                    remainingNanos > 0 && !stopped && !isAddressChanged() && !patientCalls.hasResponse();
                    remainingNanos = deadlineNanos - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
            }
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    /**
     * Converts a list that has been parsed as JSON to its entries.
     *
     * @param list the parsed list, for example from a configuration file
     * @throws IOException if any entry is invalid; there are no partial results
     */
    public static List<Entry> parseEntries(Map<?, ?> list) throws IOException {
        if (!(list.get("servers") instanceof List<?> servers)) {
            throw new IOException("no list of hosts");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object server : servers) {
            entries.add(EndpointListReader.parseEntry(server));
        }
        return entries;
    }

    /**
     * Parses an address such as 10.0.0.4:5432 or [::1]:5432. Host names are not resolved.
     *
     * @return null for any other text
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
