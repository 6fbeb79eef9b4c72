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
 * {@link LeaseTable} and the feed's {@link VersionHistory} as a state machine of Apache Ratis: the leader stamps each
 * lease request with its clock, and all replicas apply it alike.
 */
final class LeaseStateMachine extends BaseStateMachine {
    /** Begins a message, a log entry or a line of a snapshot that belongs to the feed; those of leases begin with {. */
    static final String FEED_PREFIX = "feed ";

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final LongSupplier clock;
    private final long clockBoundNanos;
    private LeaseTable leases = LeaseTable.empty();
    /** The feed's versions as applied; followers wait there for the next one. */
    private final VersionNotifier feed = new VersionNotifier();

    /**
     * A state machine without any state yet.
     *
     * @param clock Unix time in nanoseconds; read on the leader only
     * @param clockBoundNanos how far any clock of the fleet may be from the true time
     */
    LeaseStateMachine(LongSupplier clock, long clockBoundNanos) {
        this.clock = clock;
        this.clockBoundNanos = clockBoundNanos;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        load();
    }

    /** The leader has sent a snapshot. */
    @Override
    public void reinitialize() throws IOException {
        load();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** Runs on the leader only. A message that can't be read is rejected here and never enters the log. */
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
                ? FEED_PREFIX + FeedJson.text(proposal(message).validated())
                : LeaseJson.toJson(
                        new LeaseJson.LogEntry(LeaseJson.readRequest(message), clock.getAsLong(), clockBoundNanos));
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto logged = transaction.getLogEntry();
        try {
            String entry = logged.getStateMachineLogEntry().getLogData().toStringUtf8();
            String response = entry.startsWith(FEED_PREFIX)
                    ? applyProposal(proposal(entry), logged)
                    : applyRequest(LeaseJson.read(entry, LeaseJson.LogEntry.class), logged);
            return CompletableFuture.completedFuture(Message.valueOf(response));
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private synchronized String applyProposal(Proposal proposal, LogEntryProto logged) {
        VersionHistory.Transition applied = feed.current().apply(proposal);
        feed.publish(applied.history());
        updateLastAppliedTermIndex(logged.getTerm(), logged.getIndex());
        return FeedJson.text(applied.result());
    }

    private synchronized String applyRequest(LeaseJson.LogEntry entry, LogEntryProto logged) {
        LeaseTable.Transition applied = leases.apply(entry.request(), entry.stampNanos(), entry.clockBoundNanos());
        leases = applied.next();
        updateLastAppliedTermIndex(logged.getTerm(), logged.getIndex());
        return LeaseJson.toJson(applied.response());
    }

    private static Proposal proposal(String text) throws IOException {
        return FeedJson.read(text.substring(FEED_PREFIX.length()), Proposal.class);
    }

    /** The feed's versions as this replica has applied them. */
    VersionNotifier feed() {
        return feed;
    }

    @Override
    public synchronized CompletableFuture<Message> query(Message ignored) {
        return CompletableFuture.completedFuture(Message.valueOf(LeaseJson.toJson(leases)));
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last;
        String text;
        synchronized (this) {
            last = getLastAppliedTermIndex();
            text = snapshot();
        }
        if (last == null || last.getIndex() < 0) {
            return -1;
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        Path partial = file.toPath().resolveSibling(file.getName() + ".part");
        Files.writeString(partial, text, StandardCharsets.UTF_8);
        Files.move(partial, file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        MD5Hash hash = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), hash), last));
        return last.getIndex();
    }

    /** The text of a snapshot. */
    synchronized String snapshot() {
        return new LeaseSnapshot(leases, feed.current()).toText();
    }

    /**
     * Replaces the state by that of a snapshot.
     *
     * @throws IOException where it can't be read; the state stays as it was
     */
    synchronized void restore(String text) throws IOException {
        LeaseSnapshot snapshot = LeaseSnapshot.parse(text);
        leases = snapshot.leases();
        feed.publish(snapshot.feed());
    }

    private synchronized void load() throws IOException {
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
