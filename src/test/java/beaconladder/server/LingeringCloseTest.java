package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LingeringCloseTest {
    private static final long SOON_NANOS = 10_000_000;
    private static final long AFTER_LINGER_NANOS = LingeringClose.LINGER_NANOS + 1;
    private static final long AFTER_FLUSH_NANOS = LingeringClose.FLUSH_TIMEOUT_NANOS + 1;

    private final LingeringClose lingeringClose = new LingeringClose();

    @Test
    void anOrderlyCloseWaitsForTheClientToReceiveTheLastAnswer() {
        assertThat(lingeringClose.isDue(SOON_NANOS)).isFalse();
        assertThat(lingeringClose.needsFlushReport()).isFalse();
        assertThat(lingeringClose.isDue(AFTER_LINGER_NANOS)).isTrue();
        lingeringClose.onClientEnd();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isTrue();
        assertThat(lingeringClose.wantsRead()).isFalse();
    }

    /** Guards against a reset that destroys answers: it comes when they are received, or after a bounded time. */
    @Test
    void aResetWaitsUntilAllAnswersAreReceivedForABoundedTime() {
        lingeringClose.onUnhandledBytes();
        lingeringClose.onWritable();
        assertThat(lingeringClose.isDue(AFTER_LINGER_NANOS)).isFalse();
        assertThat(lingeringClose.needsFlushReport()).isTrue();
        assertThat(lingeringClose.isDue(AFTER_FLUSH_NANOS)).isTrue();
        lingeringClose.onFlushReportRequested();
        assertThat(lingeringClose.awaitsFlush()).isTrue();
        assertThat(lingeringClose.isDue(AFTER_LINGER_NANOS)).isFalse();
        lingeringClose.onWritable();
        assertThat(lingeringClose.awaitsFlush()).isFalse();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isFalse();
        assertThat(lingeringClose.isDue(AFTER_LINGER_NANOS)).isTrue();
    }

    /** Guards against a client that is closed late, as it has waited for its time limit already. */
    @Test
    void aClientThatHasLetATimeLimitPassIsClosedOnceItHasTheError() {
        lingeringClose.skipLinger();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isTrue();
        lingeringClose.onUnhandledBytes();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isFalse();
        lingeringClose.onFlushReportRequested();
        lingeringClose.onWritable();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isTrue();
    }

    /** Guards against a client that sends without end after the final error. */
    @Test
    void whatArrivesAfterTheLastAnswerIsDiscardedUpToABound() {
        int discarded = 0;
        while (lingeringClose.wantsRead()) {
            lingeringClose.onDiscarded(1_024);
            discarded += 1_024;
        }
        assertThat(discarded).isEqualTo(64 * 1_024);
    }

    /** Guards against the end of an idle or drained connection with bytes that nobody reads and no reset. */
    @Test
    void anEndThatLeavesBytesUnreadIsAResetOnlyIfSomeHaveArrived() {
        lingeringClose.leaveUnread(LingeringClose.LINGER_NANOS);
        assertThat(lingeringClose.wantsRead()).isTrue();
        assertThat(lingeringClose.isReset()).isFalse();
        lingeringClose.onFlushReportRequested();
        lingeringClose.onWritable();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isTrue();
        lingeringClose.onUnhandledBytes();
        assertThat(lingeringClose.wantsRead()).isFalse();
        assertThat(lingeringClose.isReset()).isTrue();
        assertThat(lingeringClose.isDue(SOON_NANOS)).isTrue();
    }
}
