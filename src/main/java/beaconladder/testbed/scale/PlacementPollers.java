package beaconladder.testbed.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;

/** Routers as the keeper sees them, hollow: a connection each, on which the next call follows the answer. */
final class PlacementPollers implements AutoCloseable {
    private static final int STACK = 160 * 1024;
    private static final int LONGEST_HEAD = 4 * 1024;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int LOOK_MILLIS = 20;
    private static final int MOST_LOOKS = 1_000;

    private final List<Thread> threads = new ArrayList<>();
    private final ConcurrentHistogram late = new ConcurrentHistogram(3);
    final AtomicLong calls = new AtomicLong();
    final AtomicLong bytes = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    private volatile boolean closed;

    /** So many, each of which asks with a wait of so long. */
    PlacementPollers(int port, int count, int waitMillis) {
        for (int i = 0; i < count; i++) {
            String name = "r" + i;
            int later = (int) ((long) waitMillis * i / count);
            Thread thread = new Thread(
                    null,
                    () -> {
                        // Spread over a wait, as a fleet's are that began at different times.
                        LockSupport.parkNanos(later * 1_000_000L);
                        while (!closed) {
                            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                                socket.setTcpNoDelay(true);
                                socket.setSoTimeout(TIMEOUT_MILLIS);
                                poll(socket, name, waitMillis);
                            } catch (IOException e) {
                                failed.addAndGet(closed ? 0 : 1);
                            }
                        }
                    },
                    "poller",
                    STACK);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    private void poll(Socket socket, String name, int waitMillis) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] head = new byte[LONGEST_HEAD];
        long version = -1;
        while (!closed) {
            String path =
                    "/v1/placement?router=" + name + "&run=1&version=" + version + "&wait=" + waitMillis + "&busy=";
            byte[] call = ("GET " + path + " HTTP/1.1\r\nHost: keeper\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
            long from = System.nanoTime();
            socket.getOutputStream().write(call);
            int length = 0;
            while (length < 4 || head[length - 1] != '\n' || head[length - 3] != '\n') {
                int c = in.read();
                if (c < 0 || length == head.length) {
                    throw new IOException("an answer without its end");
                }
                head[length++] = (byte) c;
            }
            String text = new String(head, 0, length, StandardCharsets.US_ASCII);
            int size = Integer.parseInt(text.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
            String body = new String(in.readNBytes(size), StandardCharsets.UTF_8);
            bytes.addAndGet(call.length + length + size);
            calls.incrementAndGet();
            if (version >= 0) {
                late.recordValue(Math.max(0, (System.nanoTime() - from) / 1_000_000 - waitMillis));
            }
            version = Long.parseLong(body.replaceAll("(?s).*\"version\":(-?\\d+).*", "$1"));
        }
    }

    /** Waits until so many calls were answered, for a while at the most. */
    void await(long answered) throws InterruptedException {
        for (int i = 0; calls.get() < answered && i < MOST_LOOKS; i++) {
            Thread.sleep(LOOK_MILLIS);
        }
    }

    /** Milliseconds by which answers came later than the wait that was asked for. */
    ConcurrentHistogram late() {
        return late;
    }

    @Override
    public void close() {
        closed = true;
        try {
            for (Thread thread : threads) {
                thread.join(TIMEOUT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
