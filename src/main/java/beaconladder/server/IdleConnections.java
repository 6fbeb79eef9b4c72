package beaconladder.server;

import beaconladder.routing.state.Host;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The idle connections by host, the most recently used first; guarded by the monitor of their map. */
final class IdleConnections {
    /** Bytes a host writes behind its response arrive within a millisecond; until then a connection is not reused. */
    private static final long MIN_IDLE_NANOS = 3_000_000;

    private final DescriptorLimit descriptors;
    private final Map<Host, Deque<ServerConnection>> idle = new HashMap<>();

    IdleConnections(DescriptorLimit descriptors) {
        this.descriptors = descriptors;
    }

    /** Closes the connection that has been idle longest; false where none is idle. */
    boolean closeOldest() {
        ServerConnection oldest = null;
        synchronized (idle) {
            Deque<ServerConnection> source = null;
            for (Deque<ServerConnection> ofHost : idle.values()) {
                if (!ofHost.isEmpty() && (oldest == null || ofHost.peekLast().lastUsedNanos < oldest.lastUsedNanos)) {
                    oldest = ofHost.peekLast();
                    source = ofHost;
                }
            }
            if (source != null) {
                source.removeLast();
            }
        }
        if (oldest != null) {
            close(oldest);
        }
        return oldest != null;
    }

    /**
     * Takes the most recently used connection that has been idle long enough to show a duplicate response.
     *
     * @param oldestNanos the earliest last use to accept, on System.nanoTime's clock
     * @return null where there is none
     */
    ServerConnection take(Host host, long oldestNanos) {
        long now = System.nanoTime();
        synchronized (idle) {
            Deque<ServerConnection> ofHost = idle.get(host);
            for (ServerConnection connection : ofHost == null ? List.<ServerConnection>of() : ofHost) {
                if (connection.lastUsedNanos < oldestNanos) {
                    break;
                }
                if (connection.lastUsedNanos <= now - MIN_IDLE_NANOS) {
                    ofHost.remove(connection);
                    return connection;
                }
            }
        }
        return null;
    }

    /** Keeps a connection for its next use, or closes it where its host is not ready. */
    void release(Host host, ServerConnection connection) {
        synchronized (idle) {
            if (host.state == Host.State.READY) {
                idle.computeIfAbsent(host, h -> new ArrayDeque<>()).addFirst(connection);
                return;
            }
        }
        close(connection);
    }

    /** Closes all idle connections to this host. */
    void close(Host host) {
        Deque<ServerConnection> all;
        synchronized (idle) {
            all = idle.remove(host);
        }
        if (all != null) {
            all.forEach(this::close);
        }
    }

    /** Closes those last used before this time on System.nanoTime's clock. */
    void sweep(long oldestNanos) {
        List<ServerConnection> expired = new ArrayList<>();
        synchronized (idle) {
            idle.values()
                    .forEach(ofHost -> ofHost.removeIf(
                            connection -> connection.lastUsedNanos < oldestNanos && expired.add(connection)));
        }
        expired.forEach(this::close);
    }

    /** Closes a connection, idle or in use, and returns its descriptor. */
    void close(ServerConnection connection) {
        connection.release();
        descriptors.release(DescriptorLimit.Use.SERVER, 1);
    }
}
