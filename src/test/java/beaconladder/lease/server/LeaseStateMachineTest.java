package beaconladder.lease.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.feed.Proposal;
import beaconladder.feed.VersionHistory;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseTable;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests snapshots of this build, and of earlier builds without the feed. */
class LeaseStateMachineTest {
    private static final LeaseRequest ACQUIRE = new LeaseRequest(LeaseRequest.Kind.ACQUIRE, "t", "a#1", 1, 0, 600, "");

    @Test
    void snapshotHoldsLeasesAndFeed() throws IOException {
        LeaseStateMachine first = new LeaseStateMachine(() -> 0, 50);
        LeaseTable leases = LeaseTable.empty().apply(ACQUIRE, 1_000, 50).next();
        VersionHistory history = VersionHistory.empty()
                .apply(new Proposal(0, Map.of("a.json", "{\n}"), List.of()))
                .history();
        first.restore(LeaseJson.toJson(leases));
        first.feed().publish(history);
        LeaseStateMachine second = new LeaseStateMachine(() -> 0, 50);
        second.restore(first.snapshot());
        assertThat(second.snapshot()).isEqualTo(first.snapshot()).startsWith(LeaseJson.toJson(leases) + "\n");
        assertThat(second.feed().current()).isEqualTo(history);
    }

    @Test
    void olderSnapshotWithoutFeedIsRead() throws IOException {
        LeaseStateMachine stateMachine = new LeaseStateMachine(() -> 0, 50);
        LeaseTable leases = LeaseTable.empty().apply(ACQUIRE, 1_000, 50).next();
        stateMachine.restore(LeaseJson.toJson(leases));
        assertThat(stateMachine.snapshot()).startsWith(LeaseJson.toJson(leases));
        assertThat(stateMachine.feed().current()).isEqualTo(VersionHistory.empty());
    }

    @Test
    void incompleteOrNewerSnapshotIsRejected() throws IOException {
        String leases = LeaseJson.toJson(LeaseTable.empty());
        LeaseStateMachine stateMachine = new LeaseStateMachine(() -> 0, 50);
        stateMachine
                .feed()
                .publish(VersionHistory.empty()
                        .apply(new Proposal(0, Map.of("a", "1"), List.of()))
                        .history());
        String complete = stateMachine.snapshot();
        for (String invalid : List.of(
                "",
                leases + "\nnotes {}\n",
                leases + "\nfeed {}\n",
                leases + "\nfeed \n",
                complete.replace("\"a\":\"1\"", "\"a\":\"2\""),
                complete.substring(0, complete.length() - 4))) {
            assertThatThrownBy(() -> stateMachine.restore(invalid)).as(invalid).isInstanceOf(IOException.class);
        }
        assertThat(stateMachine.snapshot()).isEqualTo(complete);
    }
}
