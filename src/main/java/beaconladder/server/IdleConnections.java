package beaconladder.server;

import beaconladder.routing.state.Host;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The connections to hosts that wait for their next use, the newest first. */
final class IdleConnections {
    /** What a host writes behind its answer came within a millisecond; a connection in wait costs nothing. */
    private static final long RESTED = 3_000_000;

    private final DescriptorLimit descriptors;
    private final Map<Host, Deque<ServerConnection>> idle = new HashMap<>();

    IdleConnections(DescriptorLimit descriptors) {
        this.descriptors = descriptors;
    }

    /** Closes the connection that has lain idle longest; false when none is idle. */
    boolean closeOldest() {
        ServerConnection oldest = null;
        synchronized (idle) {
            Deque<ServerConnection> from = null;
            for (Deque<ServerConnection> of : idle.values()) {
                if (!of.isEmpty() && (oldest == null || of.peekLast().usedAt < oldest.usedAt)) {
                    oldest = of.peekLast();
                    from = of;
                }
            }
            if (from != null) {
                from.removeLast();
            }
        }
        if (oldest != null) {
            close(oldest);
        }
        return oldest != null;
    }

    /** The newest that has rested and was in use since then; a second copy of an answer has shown itself. */
    ServerConnection take(Host host, long oldest) {
        long now = System.nanoTime();
        synchronized (idle) {
            Deque<ServerConnection> of = idle.get(host);
            for (ServerConnection line : of == null ? List.<ServerConnection>of() : of) {
                if (line.usedAt < oldest) {
                    break;
                }
                if (line.usedAt <= now - RESTED) {
                    of.remove(line);
                    return line;
                }
            }
        }
        return null;
    }

    void giveBack(Host host, ServerConnection line) {
        synchronized (idle) {
            if (host.state == Host.State.READY) {
                idle.computeIfAbsent(host, h -> new ArrayDeque<>()).addFirst(line);
                return;
            }
        }
        close(line);
    }

    /** Closes all of this host. */
    void close(Host host) {
        Deque<ServerConnection> all;
        synchronized (idle) {
            all = idle.remove(host);
        }
        if (all != null) {
            all.forEach(this::close);
        }
    }

    /** Closes those not in use since then. */
    void sweep(long oldest) {
        List<ServerConnection> old = new ArrayList<>();
        synchronized (idle) {
            idle.values().forEach(of -> of.removeIf(line -> line.usedAt < oldest && old.add(line)));
        }
        old.forEach(this::close);
    }

    /** Closes one that is idle or was in use, and gives its descriptor back. */
    void close(ServerConnection line) {
        line.release();
        descriptors.release(DescriptorLimit.Use.SERVER, 1);
    }
}
