package beaconladder.feed;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A log without lease servers: the real HTTP endpoint with a history in memory. */
public final class InMemoryLog implements LogEndpoint.Log, AutoCloseable {
    private final VersionNotifier versions = new VersionNotifier();
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private volatile boolean leader = true;

    public InMemoryLog() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(executor);
        new LogEndpoint(server, this);
        server.start();
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Returns the newest state and the recent changes. */
    public VersionHistory history() {
        return versions.current();
    }

    /** Commits a change that sets a document; returns the new state. */
    public VersionedState set(String name, String text) {
        VersionHistory.Transition transition = versions.current()
                .apply(new Proposal(versions.current().newest().version(), Map.of(name, text), List.of()));
        versions.publish(transition.history());
        return transition.history().newest();
    }

    void publish(VersionHistory history) {
        versions.publish(history);
    }

    void setLeader(boolean isLeader) {
        leader = isLeader;
    }

    @Override
    public VersionNotifier versions() {
        return versions;
    }

    @Override
    public boolean isLeader() {
        return leader;
    }

    @Override
    public synchronized CommitResult commit(Proposal proposal) {
        VersionHistory.Transition transition = versions.current().apply(proposal);
        versions.publish(transition.history());
        return transition.result();
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
