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

/** Snapshots: of this program, and of the one that knew of leases alone. */
class LeaseStateMachineTest {
    private static final LeaseRequest TAKE = new LeaseRequest(LeaseRequest.Kind.TAKE, "t", "a#1", 1, 0, 600, "");

    @Test
    void aSnapshotHoldsLeasesAndTheFeed() throws IOException {
        LeaseStateMachine one = new LeaseStateMachine(() -> 0, 50);
        LeaseTable grants = LeaseTable.none().apply(TAKE, 1_000, 50).next();
        VersionHistory history = VersionHistory.empty()
                .apply(new Proposal(0, Map.of("a.json", "{\n}"), List.of()))
                .history();
        one.read(LeaseJson.text(grants));
        one.feed().publish(history);
        LeaseStateMachine two = new LeaseStateMachine(() -> 0, 50);
        two.read(one.snapshot());
        assertThat(two.snapshot()).isEqualTo(one.snapshot()).startsWith(LeaseJson.text(grants) + "\n");
        assertThat(two.feed().current()).isEqualTo(history);
    }

    @Test
    void anOlderOneHoldsNoFeed() throws IOException {
        LeaseStateMachine log = new LeaseStateMachine(() -> 0, 50);
        LeaseTable grants = LeaseTable.none().apply(TAKE, 1_000, 50).next();
        log.read(LeaseJson.text(grants));
        assertThat(log.snapshot()).startsWith(LeaseJson.text(grants));
        assertThat(log.feed().current()).isEqualTo(VersionHistory.empty());
    }

    @Test
    void oneThatIsNotWholeOrOfANewerProgramDoesNotCount() throws IOException {
        String grants = LeaseJson.text(LeaseTable.none());
        LeaseStateMachine log = new LeaseStateMachine(() -> 0, 50);
        log.feed()
                .publish(VersionHistory.empty()
                        .apply(new Proposal(0, Map.of("a", "1"), List.of()))
                        .history());
        String whole = log.snapshot();
        for (String wrong : List.of(
                "",
                grants + "\nnotes {}\n",
                grants + "\nfeed {}\n",
                grants + "\nfeed \n",
                whole.replace("\"a\":\"1\"", "\"a\":\"2\""),
                whole.substring(0, whole.length() - 4))) {
            assertThatThrownBy(() -> log.read(wrong)).as(wrong).isInstanceOf(IOException.class);
        }
        assertThat(log.snapshot()).isEqualTo(whole);
    }
}
