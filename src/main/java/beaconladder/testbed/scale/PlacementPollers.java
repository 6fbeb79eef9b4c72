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

/** Simulated routers of the coordinator: a connection each, on which the next request follows the response. */
final class PlacementPollers implements AutoCloseable {
    private static final int STACK_BYTES = 160 * 1024;
    private static final int MAX_HEAD_BYTES = 4 * 1024;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int POLL_MILLIS = 20;
    private static final int MAX_POLLS = 1_000;

    private final List<Thread> threads = new ArrayList<>();
    private final ConcurrentHistogram latenessMillis = new ConcurrentHistogram(3);
    final AtomicLong calls = new AtomicLong();
    final AtomicLong bytes = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    private volatile boolean closed;

    /** Starts so many routers, each of which asks with this wait. */
    PlacementPollers(int port, int count, int waitMillis) {
        for (int i = 0; i < count; i++) {
            String name = "r" + i;
            int startDelayMillis = (int) ((long) waitMillis * i / count);
            Thread thread = new Thread(
                    null,
                    () -> {
                        // The starts are spread over one wait, as those of a fleet whose routers started at different
                        // times.
                        LockSupport.parkNanos(startDelayMillis * 1_000_000L);
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
                    STACK_BYTES);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    private void poll(Socket socket, String name, int waitMillis) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] head = new byte[MAX_HEAD_BYTES];
        long version = -1;
        while (!closed) {
            String path =
                    "/v1/placement?router=" + name + "&run=1&version=" + version + "&wait=" + waitMillis + "&busy=";
            byte[] request = ("GET " + path + " HTTP/1.1\r\nHost: keeper\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
            long startNanos = System.nanoTime();
            socket.getOutputStream().write(request);
            int length = 0;
            while (length < 4 || head[length - 1] != '\n' || head[length - 3] != '\n') {
                int c = in.read();
                if (c < 0 || length == head.length) {
                    throw new IOException("incomplete response head");
                }
                head[length++] = (byte) c;
            }
            String text = new String(head, 0, length, StandardCharsets.US_ASCII);
            int size = Integer.parseInt(text.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
            String body = new String(in.readNBytes(size), StandardCharsets.UTF_8);
            bytes.addAndGet(request.length + length + size);
            calls.incrementAndGet();
            if (version >= 0) {
                latenessMillis.recordValue(Math.max(0, (System.nanoTime() - startNanos) / 1_000_000 - waitMillis));
            }
            version = Long.parseLong(body.replaceAll("(?s).*\"version\":(-?\\d+).*", "$1"));
        }
    }

    /** Waits until so many requests were answered in total, up to a limit. */
    void await(long answered) throws InterruptedException {
        for (int i = 0; calls.get() < answered && i < MAX_POLLS; i++) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns by how many milliseconds responses came later than the requested wait. */
    ConcurrentHistogram latenessMillis() {
        return latenessMillis;
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
