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
import java.util.List;
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
 * {@link LeaseTable} and the feed's {@link VersionHistory} under Apache Ratis: the leader stamps each ask with its
 * clock, all replicas apply it alike.
 */
final class LeaseStateMachine extends BaseStateMachine {
    /** Before a message, an entry, a line of a snapshot that is the feed's; those of leases begin with {. */
    static final String FEED = "feed ";

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final LongSupplier clock;
    private final long bound;
    private LeaseTable grants = LeaseTable.none();
    /** What the feed has, as applied; those who follow it wait there. */
    private final VersionNotifier feed = new VersionNotifier();

    LeaseStateMachine(LongSupplier clock, long bound) {
        this.clock = clock;
        this.bound = bound;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage of) throws IOException {
        super.initialize(server, group, of);
        storage.init(of);
        load();
    }

    /** Its leader sent a snapshot. */
    @Override
    public void reinitialize() throws IOException {
        load();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** On the leader alone. What can't be read never gets into the log. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        String text = request.getMessage().getContent().toStringUtf8();
        String entry;
        if (text.startsWith(FEED)) {
            entry = FEED + FeedJson.text(proposal(text).validated());
        } else {
            entry = LeaseJson.text(new LeaseJson.Entry(LeaseJson.ask(text), clock.getAsLong(), bound));
        }
        return TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setServerRole(RaftPeerRole.LEADER)
                .setLogData(ByteString.copyFromUtf8(entry))
                .build();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto logged = transaction.getLogEntry();
        try {
            String text = logged.getStateMachineLogEntry().getLogData().toStringUtf8();
            if (text.startsWith(FEED)) {
                Proposal proposal = proposal(text);
                synchronized (this) {
                    VersionHistory.Transition applied = feed.current().apply(proposal);
                    feed.publish(applied.history());
                    updateLastAppliedTermIndex(logged.getTerm(), logged.getIndex());
                    return CompletableFuture.completedFuture(Message.valueOf(FeedJson.text(applied.result())));
                }
            }
            LeaseJson.Entry entry = LeaseJson.read(text, LeaseJson.Entry.class);
            synchronized (this) {
                LeaseTable.Applied applied = grants.apply(entry.ask(), entry.stamp(), entry.bound());
                grants = applied.next();
                updateLastAppliedTermIndex(logged.getTerm(), logged.getIndex());
                return CompletableFuture.completedFuture(Message.valueOf(LeaseJson.text(applied.answer())));
            }
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static Proposal proposal(String text) throws IOException {
        return FeedJson.read(text.substring(FEED.length()), Proposal.class);
    }

    /** The feed as this replica has applied it. */
    VersionNotifier feed() {
        return feed;
    }

    @Override
    public synchronized CompletableFuture<Message> query(Message asked) {
        return CompletableFuture.completedFuture(Message.valueOf(LeaseJson.text(grants)));
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
        Path beside = file.toPath().resolveSibling(file.getName() + ".part");
        Files.writeString(beside, text, StandardCharsets.UTF_8);
        Files.move(beside, file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        MD5Hash hash = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), hash), last));
        return last.getIndex();
    }

    /** The leases in the first line, as ever; what came later has a line and a word of its own. */
    synchronized String snapshot() {
        return LeaseJson.text(grants) + '\n' + FEED + FeedJson.text(feed.current()) + '\n';
    }

    /** Reads a snapshot, also of a program that knew of leases alone. */
    synchronized void read(String snapshot) throws IOException {
        List<String> lines = snapshot.lines().toList();
        LeaseTable read = LeaseJson.grants(lines.isEmpty() ? "" : lines.get(0));
        VersionHistory history = VersionHistory.empty();
        for (String line : lines.subList(1, lines.size())) {
            if (!line.startsWith(FEED)) {
                throw new IOException("a snapshot of a program that knows of more than this one");
            }
            history = FeedJson.read(line.substring(FEED.length()), VersionHistory.class)
                    .validated();
        }
        grants = read;
        feed.publish(history);
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
        read(Files.readString(file.toPath(), StandardCharsets.UTF_8));
        setLastAppliedTermIndex(SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file));
    }
}
