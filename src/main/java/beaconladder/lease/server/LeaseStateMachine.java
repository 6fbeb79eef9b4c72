package beaconladder.lease.server;

import beaconladder.feed.FeedJson;
import beaconladder.feed.Proposal;
import beaconladder.feed.VersionHistory;
import beaconladder.feed.VersionNotifier;
import beaconladder.lease.LeaseTable;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.MD5FileUtil;

/**
 * {@link LeaseTable} and the feed's {@link VersionHistory} as an Apache Ratis state machine: the leader attaches its
 * clock to each lease request, and all replicas apply the request with that time.
 */
final class LeaseStateMachine extends BaseStateMachine {
    /**
     * The prefix of the feed's messages, log entries and snapshot lines; those of leases begin with an opening brace.
     */
    static final String FEED_PREFIX = "feed ";

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final LongSupplier clock;
    private final long clockBoundNanos;
    private LeaseTable leases = LeaseTable.empty();
    /** The applied versions of the feed; pending fetches wait here for the next one. */
    private final VersionNotifier feed = new VersionNotifier();

    /**
     * Creates a state machine without leases or versions.
     *
     * @param clock the Unix time in nanoseconds; read on the leader only
     * @param clockBoundNanos the largest difference between any clock of the fleet and the true time
     */
    LeaseStateMachine(LongSupplier clock, long clockBoundNanos) {
        this.clock = clock;
        this.clockBoundNanos = clockBoundNanos;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        loadLatestSnapshot();
    }

    /** Loads the snapshot that the leader has installed. */
    @Override
    public void reinitialize() throws IOException {
        loadLatestSnapshot();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** Validates a message and adds the timestamp; runs on the leader only. An invalid message never enters the log. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        String entry = logEntry(request.getMessage().getContent().toStringUtf8());
        return TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setServerRole(RaftPeerRole.LEADER)
                .setLogData(ByteString.copyFromUtf8(entry))
                .build();
    }

    private String logEntry(String message) throws IOException {
        return message.startsWith(FEED_PREFIX)
                ? FEED_PREFIX + FeedJson.text(parseProposal(message).validated())
                : LeaseJson.toJson(
                        new LeaseJson.LogEntry(LeaseJson.readRequest(message), clock.getAsLong(), clockBoundNanos));
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto raftEntry = transaction.getLogEntry();
        try {
            String entry = raftEntry.getStateMachineLogEntry().getLogData().toStringUtf8();
            String response = entry.startsWith(FEED_PREFIX)
                    ? applyProposal(parseProposal(entry), raftEntry)
                    : applyRequest(LeaseJson.read(entry, LeaseJson.LogEntry.class), raftEntry);
            return CompletableFuture.completedFuture(Message.valueOf(response));
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private synchronized String applyProposal(Proposal proposal, LogEntryProto raftEntry) {
        VersionHistory.Transition applied = feed.current().apply(proposal);
        feed.publish(applied.history());
        updateLastAppliedTermIndex(raftEntry.getTerm(), raftEntry.getIndex());
        return FeedJson.text(applied.result());
    }

    private synchronized String applyRequest(LeaseJson.LogEntry entry, LogEntryProto raftEntry) {
        LeaseTable.Transition applied = leases.apply(entry.request(), entry.timestampNanos(), entry.clockBoundNanos());
        leases = applied.next();
        updateLastAppliedTermIndex(raftEntry.getTerm(), raftEntry.getIndex());
        return LeaseJson.toJson(applied.response());
    }

    private static Proposal parseProposal(String text) throws IOException {
        return FeedJson.read(text.substring(FEED_PREFIX.length()), Proposal.class);
    }

    /** Returns the versions of the feed that this replica has applied. */
    VersionNotifier feed() {
        return feed;
    }

    @Override
    public synchronized CompletableFuture<Message> query(Message ignored) {
        return CompletableFuture.completedFuture(Message.valueOf(LeaseJson.toJson(leases)));
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex lastApplied;
        String text;
        synchronized (this) {
            lastApplied = getLastAppliedTermIndex();
            text = snapshot();
        }
        if (lastApplied == null || lastApplied.getIndex() < 0) {
            return -1;
        }
        File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
        Path partial = file.toPath().resolveSibling(file.getName() + ".part");
        Files.writeString(partial, text, StandardCharsets.UTF_8);
        Files.move(partial, file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        MD5Hash hash = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), hash), lastApplied));
        return lastApplied.getIndex();
    }

    /** Returns the state as the text of a snapshot. */
    synchronized String snapshot() {
        return new LeaseSnapshot(leases, feed.current()).toText();
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @throws IOException if the snapshot can't be parsed; the state is then unchanged
     */
    synchronized void restore(String text) throws IOException {
        LeaseSnapshot snapshot = LeaseSnapshot.parse(text);
        leases = snapshot.leases();
        feed.publish(snapshot.feed());
    }

    private synchronized void loadLatestSnapshot() throws IOException {
        SingleFileSnapshotInfo info = storage.loadLatestSnapshot();
        if (info == null) {
            return;
        }
        File file = info.getFile().getPath().toFile();
        MD5Hash hash = info.getFile().getFileDigest();
        if (hash != null) {
            MD5FileUtil.verifySavedMD5(file, hash);
        }
        restore(Files.readString(file.toPath(), StandardCharsets.UTF_8));
        setLastAppliedTermIndex(SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file));
    }
}
