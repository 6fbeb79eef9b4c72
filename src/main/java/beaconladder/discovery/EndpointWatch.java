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

/** Keeps the watch on discovery: the whole list first, then what changes, for as long as the program runs. */
public final class EndpointWatch implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);

    /** One host as discovery lists it. */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            int group,
            State state,
            boolean leader,
            long launchedMillis) {}

    /** What discovery says of a host. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** Takes the news. */
    public interface Listener {
        void onEndpoints(boolean complete, List<Entry> entries);
    }

    private final Listener listener;
    private final DiscoverySchedule schedule;
    /** The calls to the present address; those to an earlier one are ended. */
    private volatile HttpFetcher http;

    private final long madeAt = System.nanoTime();
    private volatile boolean answered;
    private volatile boolean stopped;

    /** One for who has no fleet beside it and no rule on drains. */
    public EndpointWatch(InetSocketAddress discovery, Listener listener) {
        this(discovery, WatchSchedule.TOLD_MILLIS, 0, listener);
    }

    /**
     * One that has not begun.
     *
     * @param graceMillis how long after it counts as told a drain may still be unheeded
     * @param seed for the moments at which it asks
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
     * One of a discovery that is one service for all routers and tells nobody who does not ask.
     *
     * @param everyMillis how often the rules want to be asked by who has no watch
     * @param seed for the moments at which it asks
     */
    public static EndpointWatch polling(InetSocketAddress discovery, long everyMillis, long seed, Listener listener) {
        return new EndpointWatch(discovery, new PollSchedule(everyMillis, seed), listener);
    }

    /** Discovery is to be asked at this address from now on, for the whole list first. */
    public synchronized void changeAddress(InetSocketAddress discovery) {
        HttpFetcher before = http;
        if (!before.address().equals(discovery)) {
            http = new HttpFetcher(discovery);
            before.close();
            notifyAll();
        }
    }

    @Override
    public void run() {
        HttpFetcher asked = null;
        // What was last heard; changes since then can be asked for. A watch goes on behind an answer.
        long version = -1;
        boolean goesOn = false;
        Set<String> troubles = new HashSet<>();
        while (!stopped) {
            if (asked != http) {
                // Versions are of the address that gave them.
                asked = http;
                version = -1;
                goesOn = false;
                schedule.moved();
            }
            DiscoverySchedule.Call call = schedule.call(goesOn);
            long from = System.nanoTime();
            try {
                EndpointListReader.EndpointUpdate news = asked.get(
                        version < 0 ? "/v1/servers" : "/v1/servers?index=" + version + "&wait=" + call.waits(),
                        call.all(),
                        call.tail(),
                        EndpointListReader::read);
                if (asked != http) {
                    continue;
                }
                long before = version;
                version = take(news, before);
                goesOn = true;
                if (!troubles.isEmpty()) {
                    LOG.info("discovery answers again");
                    troubles.clear();
                }
                rest(asked, schedule.answered(call, System.nanoTime() - from, version != before));
            } catch (IOException | JsonReader.ParseException e) {
                if (asked != http) {
                    continue;
                }
                goesOn = false;
                // A call that waits is given up when it is quiet, too: only the next one tells.
                boolean quiet = call.waits() > 0 && e instanceof SocketTimeoutException;
                // Once for each is enough until it answers again: it is tried twice a second.
                if (!quiet && troubles.add(String.valueOf(e.getMessage()))) {
                    LOG.warn("discovery: {}; the last list stands", e.getMessage());
                }
                if (e instanceof SocketTimeoutException) {
                    rest(asked, schedule.silent(call));
                } else if (e instanceof HttpFetcher.StatusException status && status.isRetryable()) {
                    rest(asked, schedule.refused(call));
                } else {
                    // What can't be read, or does not fit what is held, is asked for whole.
                    version = e instanceof EndpointListReader.InvalidListException
                                    || e instanceof JsonReader.ParseException
                                    || e instanceof HttpFetcher.StatusException
                            ? -1
                            : version;
                    rest(asked, schedule.failed());
                }
            } catch (RuntimeException | Error e) {
                LOG.error("discovery: the last list stands", e);
                version = -1;
                goesOn = false;
                rest(asked, schedule.failed());
            }
        }
        http.close();
    }

    /** Whether discovery has not answered yet, and still has some of its time to, from when this was made. */
    public boolean isAwaitingFirstAnswer() {
        return !answered && System.nanoTime() - madeAt < WatchSchedule.START_MILLIS * 1_000_000L;
    }

    public synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Rests so long, unless there is another address to ask than this one. */
    private synchronized void rest(HttpFetcher asked, int millis) {
        long until = System.nanoTime() + millis * 1_000_000L;
        try {
            for (long left = until - System.nanoTime();
                    left > 0 && !stopped && asked == http;
                    left = until - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, left);
            }
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    /** Tells the news since that version, or since ever; returns their version. */
    private long take(EndpointListReader.EndpointUpdate news, long since) throws IOException {
        // One that goes back is of a discovery that began anew, and knows nothing of what we hold; nor can
        // there be changes without a newer version.
        if (!news.whole()
                && (news.version() < since
                        || news.version() == since && !news.entries().isEmpty())) {
            throw new EndpointListReader.InvalidListException(
                    "changes up to version " + news.version() + " since " + since);
        }
        if (news.whole() || !news.entries().isEmpty()) {
            listener.onEndpoints(news.whole(), news.entries());
        }
        answered = true;
        return news.version();
    }

    /** The entries of a list; one that can't be read makes the whole of it void. */
    public static List<Entry> parseEntries(Map<?, ?> news) throws IOException {
        if (!(news.get("servers") instanceof List<?> list)) {
            throw new IOException("no list of hosts");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object each : list) {
            entries.add(EndpointListReader.entry(each));
        }
        return entries;
    }

    /** An address of the form 10.0.0.4:5432; names are not looked up. Null for any other text. */
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
