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
public final class LogStandIn implements LogEndpoint.Log, AutoCloseable {
    private final VersionNotifier board = new VersionNotifier();
    private final HttpServer door;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile boolean leads = true;

    public LogStandIn() throws IOException {
        door = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        door.setExecutor(threads);
        new LogEndpoint(door, this);
        door.start();
    }

    public InetSocketAddress at() {
        return door.getAddress();
    }

    /** What has been written, oldest first, as far as it is kept. */
    public VersionHistory history() {
        return board.current();
    }

    /** Sets a document. */
    public VersionedState set(String name, String text) {
        VersionHistory.Transition applied =
                board.current().apply(new Proposal(board.current().newest().version(), Map.of(name, text), List.of()));
        board.publish(applied.history());
        return applied.history().newest();
    }

    void publish(VersionHistory history) {
        board.publish(history);
    }

    void setLeader(boolean on) {
        leads = on;
    }

    @Override
    public VersionNotifier versions() {
        return board;
    }

    @Override
    public boolean isLeader() {
        return leads;
    }

    @Override
    public synchronized CommitResult commit(Proposal proposal) {
        VersionHistory.Transition applied = board.current().apply(proposal);
        board.publish(applied.history());
        return applied.result();
    }

    @Override
    public void close() {
        door.stop(0);
        threads.shutdownNow();
    }
}
