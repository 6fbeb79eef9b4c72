package beaconladder.feed;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The grantors' log without the grantors: its real door, on a history in memory. */
public final class InMemoryLog implements LogEndpoint.Log, AutoCloseable {
    private final VersionNotifier versions = new VersionNotifier();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile boolean leader = true;

    public InMemoryLog() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(threads);
        new LogEndpoint(server, this);
        server.start();
    }

    public InetSocketAddress at() {
        return server.getAddress();
    }

    /** What has been written, oldest first, as far as it is kept. */
    public VersionHistory history() {
        return versions.current();
    }

    /** Sets a document. */
    public VersionedState set(String name, String text) {
        VersionHistory.Transition applied = versions.current()
                .apply(new Proposal(versions.current().newest().version(), Map.of(name, text), List.of()));
        versions.publish(applied.history());
        return applied.history().newest();
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
        VersionHistory.Transition applied = versions.current().apply(proposal);
        versions.publish(applied.history());
        return applied.result();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
