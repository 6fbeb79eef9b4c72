package beaconladder.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Discovery's agent. */
public final class DiscoveryStandIn implements AutoCloseable {
    /**
     * How it takes a call: half an answer then silence, half an answer then an end, a byte now and then, all of it
     * without its length and then a reset.
     */
    public enum Manner {
        ANSWER,
        SILENT,
        HALF,
        CUT,
        DRIP,
        RESET
    }

    private static final int DRIP_MILLIS = 20;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    public final AtomicInteger calls = new AtomicInteger();
    public volatile String garbage;
    public volatile Manner manner = Manner.ANSWER;
    /** So long each answer is late. */
    public volatile int lateMillis;
    /** The longest it waits for news, whatever it is asked; short, so that nonsense has its turn soon. */
    public volatile int waitMillis = 200;
    /** Connections of an earlier age are cut off: they stay open, and nothing comes on them any more. */
    private final AtomicInteger age = new AtomicInteger();
    /** What it bears, or null for an agent, which bears all. */
    public volatile Capacity capacity;
    /** Bytes of its answers. */
    public final AtomicLong bytes = new AtomicLong();
    /** What it was asked, in turn. */
    public final List<String> paths = new CopyOnWriteArrayList<>();

    private ChangeLog log = new ChangeLog();

    public DiscoveryStandIn() throws IOException {
        StandInThreads.spawn(() -> {
            while (true) {
                Socket socket = listener.accept();
                StandInThreads.spawn(() -> serve(socket));
            }
        });
    }

    public synchronized void list(boolean full, String... entries) {
        log.add(full, List.of(entries));
        notifyAll();
    }

    /** It begins anew with this list: nothing of earlier versions is known to it. */
    public synchronized void restart(String... entries) {
        log = new ChangeLog();
        list(true, entries);
    }

    /** The port at which it listens on the loopback address. */
    public int port() {
        return listener.getLocalPort();
    }

    /** The connections that are open now fall silent for good; new ones are served. */
    public void silenceOpenConnections() {
        age.incrementAndGet();
    }

    private void serve(Socket socket) throws IOException {
        int born = age.get();
        try (socket) {
            while (true) {
                ByteArrayOutputStream head = new ByteArrayOutputStream();
                while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                    int c = socket.getInputStream().read();
                    if (c < 0) {
                        return;
                    }
                    head.write(c);
                }
                calls.incrementAndGet();
                String path = head.toString(StandardCharsets.US_ASCII).split(" ")[1];
                paths.add(path);
                Capacity bears = capacity;
                if (bears != null && !bears.serve(lines(path))) {
                    socket.getOutputStream()
                            .write(("HTTP/1.1 503 Service Unavailable\r\n" + "Content-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                String body = body(path);
                StandInThreads.sleep(lateMillis);
                String bad = garbage;
                byte[] answer = (bad != null
                                ? bad
                                : "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII);
                bytes.addAndGet(answer.length);
                if (!say(socket, born < age.get() ? Manner.SILENT : manner, answer) || bad != null) {
                    return;
                }
            }
        }
    }

    /** Answers in this manner; false when the connection is at its end. */
    private static boolean say(Socket socket, Manner manner, byte[] answer) throws IOException {
        OutputStream out = socket.getOutputStream();
        switch (manner) {
            case ANSWER -> out.write(answer);
            case DRIP -> {
                for (byte b : answer) {
                    out.write(b);
                    StandInThreads.sleep(DRIP_MILLIS);
                }
            }
            case RESET -> {
                String text = new String(answer, StandardCharsets.US_ASCII);
                out.write(text.replaceFirst("\r\nContent-Length: \\d+", "").getBytes(StandardCharsets.US_ASCII));
                // What was written is read first, then the reset is met.
                StandInThreads.sleep(DRIP_MILLIS);
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case HALF, CUT -> out.write(Arrays.copyOf(answer, answer.length / 2));
            default -> {}
        }
        if (manner == Manner.SILENT || manner == Manner.HALF) {
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                continue;
            }
        }
        return manner == Manner.ANSWER || manner == Manner.DRIP;
    }

    private static int index(String path) {
        return path.contains("index=") ? Integer.parseInt(path.replaceAll(".*index=(\\d+).*", "$1")) : -1;
    }

    /** The entries of an answer that was given now. */
    private synchronized int lines(String path) {
        return log.entriesSince(index(path));
    }

    private synchronized String body(String path) {
        int index = index(path);
        if (index < 0) {
            return log.whole();
        }
        int wait = Math.min(waitMillis, Integer.parseInt(path.replaceAll(".*wait=(\\d+).*", "$1")));
        try {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
            while (index >= log.version() && System.nanoTime() < until) {
                TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, until - System.nanoTime()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return log.since(index);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
