package beaconladder.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.feed.History;
import beaconladder.feed.Proposal;
import beaconladder.lease.Ask;
import beaconladder.lease.Grants;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Snapshots: of this program, and of the one that knew of leases alone. */
class GrantLogTest {
    private static final Ask TAKE = new Ask(Ask.Kind.TAKE, "t", "a#1", 1, 0, 600, "");

    @Test
    void aSnapshotHoldsLeasesAndTheFeed() throws IOException {
        GrantLog one = new GrantLog(() -> 0, 50);
        Grants grants = Grants.none().apply(TAKE, 1_000, 50).next();
        History history = History.none()
                .apply(new Proposal(0, Map.of("a.json", "{\n}"), List.of()))
                .next();
        one.read(GrantText.text(grants));
        one.feed().show(history);
        GrantLog two = new GrantLog(() -> 0, 50);
        two.read(one.snapshot());
        assertThat(two.snapshot()).isEqualTo(one.snapshot()).startsWith(GrantText.text(grants) + "\n");
        assertThat(two.feed().now()).isEqualTo(history);
    }

    @Test
    void anOlderOneHoldsNoFeed() throws IOException {
        GrantLog log = new GrantLog(() -> 0, 50);
        Grants grants = Grants.none().apply(TAKE, 1_000, 50).next();
        log.read(GrantText.text(grants));
        assertThat(log.snapshot()).startsWith(GrantText.text(grants));
        assertThat(log.feed().now()).isEqualTo(History.none());
    }

    @Test
    void oneThatIsNotWholeOrOfANewerProgramDoesNotCount() throws IOException {
        String grants = GrantText.text(Grants.none());
        GrantLog log = new GrantLog(() -> 0, 50);
        log.feed()
                .show(History.none()
                        .apply(new Proposal(0, Map.of("a", "1"), List.of()))
                        .next());
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
