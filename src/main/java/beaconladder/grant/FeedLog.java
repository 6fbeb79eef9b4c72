package beaconladder.grant;

import beaconladder.feed.Board;
import beaconladder.feed.FeedText;
import beaconladder.feed.LogDoor;
import beaconladder.feed.Proposal;
import beaconladder.feed.Written;
import java.io.IOException;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;

/**
 * The feed's log is the grantors'. A leader that is one no longer and does not know it yet answers from what was
 * applied before: that is older, and never wrong.
 */
record FeedLog(GrantLog log, RaftServer server, RaftGroupId group, RaftClient client) implements LogDoor.Log {
    @Override
    public Board board() {
        return log.feed();
    }

    @Override
    public boolean leads() {
        try {
            return server.getDivision(group).getInfo().isLeaderReady();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public Written write(Proposal proposal) throws IOException {
        RaftClientReply reply = client.io().send(Message.valueOf(GrantLog.FEED + FeedText.text(proposal)));
        if (!reply.isSuccess()) {
            throw new IOException(String.valueOf(reply.getException()));
        }
        return FeedText.read(reply.getMessage().getContent().toStringUtf8(), Written.class);
    }
}
