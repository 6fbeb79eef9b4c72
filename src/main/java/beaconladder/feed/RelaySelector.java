package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Which relay a router polls: its own; its spare while that one is dead or hears nothing from the log; the others in
 * their order while neither answers. One connection at a time. Where two that answer hear nothing, it stays with the
 * first of them: the log is away, and going round would help nobody.
 */
final class RelaySelector implements AutoCloseable {
    private final List<String> order;
    private final Map<String, InetSocketAddress> addresses;
    private final SplittableRandom chance;
    private HttpFetcher open;
    private int openTo = -1;
    private int at;
    private int firstStale = -1;
    /** Whether it looks for a relay: polls don't wait then. */
    private boolean quick = true;

    private boolean settled;
    private long backAt;
    /** The relay that may count this router, and from when on; see {@link AcknowledgementSummary}. */
    private int home = -1;

    private long countsFrom;
    private boolean closed;

    RelaySelector(String router, Map<String, InetSocketAddress> relays, SplittableRandom chance) {
        this.order = Rendezvous.order(router, relays.keySet());
        this.addresses = Map.copyOf(relays);
        this.chance = chance;
        if (order.isEmpty()) {
            throw new IllegalArgumentException("no relay is stated");
        }
    }

    synchronized boolean quick() {
        return quick;
    }

    /** Whether it stays with a relay that hears nothing from the log. */
    synchronized boolean settled() {
        return settled;
    }

    synchronized boolean counts() {
        return at == home && System.nanoTime() - countsFrom >= 0;
    }

    synchronized String relay() {
        return order.get(at);
    }

    /** The connection to the relay whose turn it is. */
    synchronized HttpFetcher use() throws IOException {
        if (closed) {
            throw new IOException("closed");
        }
        if (openTo != at) {
            hangUp();
            open = new HttpFetcher(addresses.get(order.get(at)));
            openTo = at;
        }
        return open;
    }

    /** It answered; fresh, if it knows the log's newest version and that is none older than the router's. */
    synchronized void answered(boolean fresh) {
        boolean look = System.nanoTime() - backAt >= 0;
        if (fresh && at == 0 || settled && !look) {
            stay(at, !fresh);
        } else if (settled || fresh && !quick && look) {
            settled = false;
            begin();
        } else if (fresh) {
            stay(at, false);
        } else if (firstStale >= 0) {
            stay(firstStale, true);
        } else {
            firstStale = at;
            next();
        }
    }

    /** It did not answer. Whether none does, all tried: then there is no hurry. */
    synchronized boolean failed() {
        hangUp();
        if (settled) {
            settled = false;
            begin();
            return false;
        }
        return next();
    }

    private void begin() {
        at = 0;
        quick = true;
        firstStale = -1;
        backAt = System.nanoTime() + Subscriber.back(chance);
    }

    private boolean next() {
        quick = true;
        at++;
        if (at < order.size()) {
            return false;
        }
        if (firstStale >= 0) {
            stay(firstStale, true);
            return false;
        }
        begin();
        return true;
    }

    private void stay(int relay, boolean stale) {
        if (quick || settled != stale) {
            backAt = System.nanoTime() + Subscriber.back(chance);
        }
        at = relay;
        quick = false;
        settled = stale;
        firstStale = -1;
        if (home != relay) {
            home = relay;
            countsFrom = System.nanoTime() + AcknowledgementSummary.MOVED;
        }
    }

    private void hangUp() {
        if (open != null) {
            open.close();
        }
        open = null;
        openTo = -1;
    }

    @Override
    public synchronized void close() {
        closed = true;
        hangUp();
    }
}
