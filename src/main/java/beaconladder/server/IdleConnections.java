package beaconladder.server;

import beaconladder.routing.state.Host;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The idle connections of each host, the most recently used first; guarded by the monitor of the map. */
final class IdleConnections {
    /**
     * A connection is not reused before it has been idle this long: bytes that a host sends after its response, such as
     * a duplicate response, arrive within a millisecond.
     */
    private static final long MIN_IDLE_NANOS = 3_000_000;

    private final DescriptorLimit descriptors;
    private final Map<Host, Deque<ServerConnection>> idleByHost = new HashMap<>();

    IdleConnections(DescriptorLimit descriptors) {
        this.descriptors = descriptors;
    }

    /** Closes the connection that has been idle longest; returns false where none is idle. */
    boolean closeOldest() {
        ServerConnection oldest = null;
        synchronized (idleByHost) {
            Deque<ServerConnection> oldestQueue = null;
            for (Deque<ServerConnection> connections : idleByHost.values()) {
                if (!connections.isEmpty()
                        && (oldest == null || connections.peekLast().lastUsedNanos < oldest.lastUsedNanos)) {
                    oldest = connections.peekLast();
                    oldestQueue = connections;
                }
            }
            if (oldestQueue != null) {
                oldestQueue.removeLast();
            }
        }
        if (oldest != null) {
            close(oldest);
        }
        return oldest != null;
    }

    /**
     * Takes the most recently used connection that has been idle long enough to detect a duplicate response.
     *
     * @param minLastUsedNanos the earliest last use to accept, on System.nanoTime's clock
     * @return the connection, or null where there is none
     */
    ServerConnection take(Host host, long minLastUsedNanos) {
        long now = System.nanoTime();
        synchronized (idleByHost) {
            Deque<ServerConnection> connections = idleByHost.get(host);
            for (ServerConnection connection : connections == null ? List.<ServerConnection>of() : connections) {
                if (connection.lastUsedNanos < minLastUsedNanos) {
                    break;
                }
                if (connection.lastUsedNanos <= now - MIN_IDLE_NANOS) {
                    connections.remove(connection);
                    return connection;
                }
            }
        }
        return null;
    }

    /** Keeps a connection for its next use; closes it where its host is not ready. */
    void release(Host host, ServerConnection connection) {
        synchronized (idleByHost) {
            if (host.state == Host.State.READY) {
                idleByHost.computeIfAbsent(host, h -> new ArrayDeque<>()).addFirst(connection);
                return;
            }
        }
        close(connection);
    }

    /** Closes all idle connections to this host. */
    void close(Host host) {
        Deque<ServerConnection> removed;
        synchronized (idleByHost) {
            removed = idleByHost.remove(host);
        }
        if (removed != null) {
            removed.forEach(this::close);
        }
    }

    /** Closes the connections last used before this time on System.nanoTime's clock. */
    void sweep(long minLastUsedNanos) {
        List<ServerConnection> expired = new ArrayList<>();
        synchronized (idleByHost) {
            idleByHost
                    .values()
                    .forEach(connections -> connections.removeIf(
                            connection -> connection.lastUsedNanos < minLastUsedNanos && expired.add(connection)));
        }
        expired.forEach(this::close);
    }

    /** Closes a connection, whether it was idle or in use, and releases its descriptor. */
    void close(ServerConnection connection) {
        connection.release();
        descriptors.release(DescriptorLimit.Use.SERVER, 1);
    }
}
