package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Which relay a router polls after which answer. */
class FeedLinksTest {
    private final Map<String, InetSocketAddress> relays = new TreeMap<>();
    private final List<String> order;
    private final RelaySelector links;

    FeedLinksTest() {
        for (int i = 0; i < 4; i++) {
            relays.put("r" + i, new InetSocketAddress("127.0.0.1", 9));
        }
        order = Rendezvous.order("n", relays.keySet());
        links = new RelaySelector("n", relays, new SplittableRandom(1));
    }

    @Test
    void itStaysWithItsOwnWhileThatIsFresh() {
        assertThat(at()).isZero();
        assertThat(links.quick()).isTrue();
        for (int i = 0; i < 5; i++) {
            links.answered(true);
            assertThat(at()).isZero();
            assertThat(links.quick()).isFalse();
        }
    }

    @Test
    void itsSpareServesItWhileItsOwnIsDeadAndOthersWhileBothAre() {
        links.answered(true);
        assertThat(links.failed()).isFalse();
        assertThat(at()).isEqualTo(1);
        assertThat(links.quick()).isTrue();
        links.answered(true);
        assertThat(at()).isEqualTo(1);
        assertThat(links.quick()).isFalse();
        assertThat(links.failed()).isFalse();
        assertThat(at()).isEqualTo(2);
        links.answered(true);
        assertThat(at()).isEqualTo(2);
    }

    @Test
    void onlyAfterAllHaveFailedIsThereAPause() {
        for (int i = 0; i < 3; i++) {
            assertThat(links.failed()).as("relay " + i).isFalse();
        }
        assertThat(links.failed()).isTrue();
        assertThat(at()).isZero();
    }

    @Test
    void whereTwoThatAnswerHearNothingItSettlesAtTheFirst() {
        links.answered(true);
        links.answered(false);
        assertThat(at()).isEqualTo(1);
        assertThat(links.settled()).isFalse();
        links.answered(false);
        assertThat(at()).isZero();
        assertThat(links.settled()).isTrue();
        // It goes on there and nowhere else, poll by poll.
        for (int i = 0; i < 5; i++) {
            links.answered(false);
            assertThat(at()).isZero();
            assertThat(links.quick()).isFalse();
        }
        links.answered(true);
        assertThat(links.settled()).isFalse();
        assertThat(at()).isZero();
    }

    @Test
    void whereOneAloneAnswersAndHearsNothingItSettlesThere() {
        links.failed();
        links.answered(false);
        links.failed();
        links.failed();
        assertThat(at()).isEqualTo(1);
        assertThat(links.settled()).isTrue();
        // When that one dies too, all are tried anew.
        assertThat(links.failed()).isFalse();
        assertThat(at()).isZero();
        assertThat(links.settled()).isFalse();
    }

    @Test
    void itIsCountedNowhereRightAfterAChangeOfRelay() {
        links.answered(true);
        assertThat(links.counts()).isFalse();
    }

    @Test
    void closedItOpensNothing() throws IOException {
        assertThat(links.use()).isSameAs(links.use());
        links.close();
        assertThatThrownBy(links::use).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> new RelaySelector("n", Map.of(), new SplittableRandom(1)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private int at() {
        return order.indexOf(links.relay());
    }
}
