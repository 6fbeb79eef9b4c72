package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** When an id is accepted again. */
class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

    @Test
    void anIdIsAcceptedAgainOnceItsReservationHasEnded() {
        assertThat(ids.tryUse("a", 0)).isTrue();
        assertThat(ids.tryUse("a", 5)).isFalse();
        ids.release("a", 100, 10);
        assertThat(ids.tryUse("a", 99)).isFalse();
        assertThat(ids.tryUse("a", 100)).isTrue();
        ids.release("a", 110, 110);
        assertThat(ids.tryUse("a", 110)).isTrue();
    }

    /** Guards against memory that grows with ever new ids. */
    @Test
    void reservedIdsAreBoundedAndTheOneThatEndsFirstGoes() {
        for (int i = 0; i <= RequestIds.MAX_RESERVED; i++) {
            ids.tryUse("id" + i, 0);
            ids.release("id" + i, 1_000_000 + i, 0);
        }
        assertThat(ids.tryUse("id0", 0)).isTrue();
        assertThat(ids.tryUse("id1", 0)).isFalse();
        assertThat(ids.inFlightCount()).isEqualTo(1);
    }
}
