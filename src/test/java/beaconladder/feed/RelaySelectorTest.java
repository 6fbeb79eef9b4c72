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

/** Which relay a router polls after which responses and failures. */
class RelaySelectorTest {
    private final Map<String, InetSocketAddress> relays = new TreeMap<>();
    private final List<String> order;
    private final RelaySelector selector;

    RelaySelectorTest() {
        for (int i = 0; i < 4; i++) {
            relays.put("r" + i, new InetSocketAddress("127.0.0.1", 9));
        }
        order = Rendezvous.preferenceOrder("n", relays.keySet());
        selector = new RelaySelector("n", relays, new SplittableRandom(1));
    }

    @Test
    void staysWithTheFirstRelayWhileItIsFresh() {
        assertThat(currentIndex()).isZero();
        assertThat(selector.isProbing()).isTrue();
        for (int i = 0; i < 5; i++) {
            selector.onResponse(true);
            assertThat(currentIndex()).isZero();
            assertThat(selector.isProbing()).isFalse();
        }
    }

    @Test
    void failsOverToTheSecondRelayAndThenToTheOthers() {
        selector.onResponse(true);
        assertThat(selector.onFailure()).isFalse();
        assertThat(currentIndex()).isEqualTo(1);
        assertThat(selector.isProbing()).isTrue();
        selector.onResponse(true);
        assertThat(currentIndex()).isEqualTo(1);
        assertThat(selector.isProbing()).isFalse();
        assertThat(selector.onFailure()).isFalse();
        assertThat(currentIndex()).isEqualTo(2);
        selector.onResponse(true);
        assertThat(currentIndex()).isEqualTo(2);
    }

    @Test
    void backsOffOnlyAfterAllRelaysFailed() {
        for (int i = 0; i < 3; i++) {
            assertThat(selector.onFailure()).as("relay " + i).isFalse();
        }
        assertThat(selector.onFailure()).isTrue();
        assertThat(currentIndex()).isZero();
    }

    @Test
    void settlesOnTheFirstOfTwoStaleRelays() {
        selector.onResponse(true);
        selector.onResponse(false);
        assertThat(currentIndex()).isEqualTo(1);
        assertThat(selector.isSettledOnStale()).isFalse();
        selector.onResponse(false);
        assertThat(currentIndex()).isZero();
        assertThat(selector.isSettledOnStale()).isTrue();
        // Further polls stay with that relay.
        for (int i = 0; i < 5; i++) {
            selector.onResponse(false);
            assertThat(currentIndex()).isZero();
            assertThat(selector.isProbing()).isFalse();
        }
        selector.onResponse(true);
        assertThat(selector.isSettledOnStale()).isFalse();
        assertThat(currentIndex()).isZero();
    }

    @Test
    void settlesOnTheOnlyRelayThatRespondsThoughItIsStale() {
        selector.onFailure();
        selector.onResponse(false);
        selector.onFailure();
        selector.onFailure();
        assertThat(currentIndex()).isEqualTo(1);
        assertThat(selector.isSettledOnStale()).isTrue();
        // After that relay fails, too, all relays are tried again.
        assertThat(selector.onFailure()).isFalse();
        assertThat(currentIndex()).isZero();
        assertThat(selector.isSettledOnStale()).isFalse();
    }

    @Test
    void isNotCountableRightAfterAChangeOfRelay() {
        selector.onResponse(true);
        assertThat(selector.isCountable()).isFalse();
    }

    @Test
    void opensNoConnectionOnceClosed() throws IOException {
        assertThat(selector.connection()).isSameAs(selector.connection());
        selector.close();
        assertThatThrownBy(selector::connection).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> new RelaySelector("n", Map.of(), new SplittableRandom(1)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private int currentIndex() {
        return order.indexOf(selector.currentRelay());
    }
}
