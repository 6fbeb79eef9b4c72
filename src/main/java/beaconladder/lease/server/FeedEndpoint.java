package beaconladder.lease.server;

import beaconladder.feed.CommitResult;
import beaconladder.feed.FeedJson;
import beaconladder.feed.LogEndpoint;
import beaconladder.feed.Proposal;
import beaconladder.feed.VersionNotifier;
import java.io.IOException;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;

/**
 * The feed's log, which is the Raft log of the lease servers. A former leader that has not learned of the new leader
 * yet responds with the state that it has applied, which may be old but was committed.
 */
record FeedEndpoint(LeaseStateMachine stateMachine, RaftServer server, RaftGroupId group, RaftClient client)
        implements LogEndpoint.Log {
    @Override
    public VersionNotifier versions() {
        return stateMachine.feed();
    }

    @Override
    public boolean isLeader() {
        try {
            return server.getDivision(group).getInfo().isLeaderReady();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public CommitResult commit(Proposal proposal) throws IOException {
        RaftClientReply reply =
                client.io().send(Message.valueOf(LeaseStateMachine.FEED_PREFIX + FeedJson.text(proposal)));
        if (!reply.isSuccess()) {
            throw new IOException(String.valueOf(reply.getException()));
        }
        return FeedJson.read(reply.getMessage().getContent().toStringUtf8(), CommitResult.class);
    }
}
