package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RequiredThreadTest {
    /** Guards against a router that exits in its start, as the operating system has no thread for a moment. */
    @Test
    void itIsStartedOnceTheOperatingSystemHasAThread() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        CountDownLatch started = new CountDownLatch(1);
        RequiredThread.start(() -> new Thread(started::countDown), thread -> {
            if (attempts.incrementAndGet() <= 3) {
                throw new OutOfMemoryError("unable to create native thread");
            }
            thread.start();
        });
        assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(attempts).hasValue(4);
    }

    @Test
    void oneThatCanNeverBeStartedEndsTheStart() {
        assertThatThrownBy(() -> RequiredThread.start(() -> new Thread(() -> {}), thread -> {
                    throw new OutOfMemoryError("unable to create native thread");
                }))
                .isInstanceOf(OutOfMemoryError.class);
    }
}
