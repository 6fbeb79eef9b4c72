package beaconladder.testbed.scale;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntUnaryOperator;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * A stand-in for the discovery agent with a list of any size: it holds a request for as long as the request asks,
 * answers with what changed since a version, and counts the bytes on its sockets.
 */
final class DiscoveryStandIn implements AutoCloseable {
    /** The hosts of one group: a primary and two replicas. */
    static final int GROUP_SIZE = 3;

    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int POLL_MILLIS = 5;
    private static final int MAX_POLLS = 4_000;

    private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final IntUnaryOperator ports;
    private final String[] states;
    private final long[] changedInVersion;
    private long version = 1;
    private byte[] fullList;
    private long fullListVersion;
    /** Bytes read from and written to sockets. */
    final AtomicLong bytes = new AtomicLong();

    final AtomicLong fullAnswers = new AtomicLong();
    final AtomicLong calls = new AtomicLong();
    final AtomicLong changesSent = new AtomicLong();
    /** The arrival times of waiting requests, with the bytes transferred until then. */
    private final List<Call> waitingCalls = new ArrayList<>();
    /** Microseconds from the last byte of a change to the next request, when the client has applied the change. */
    private volatile Histogram applyTimes = histogram();

    /** Creates a list of so many hosts, all at this port. */
    DiscoveryStandIn(int hosts, int port) throws IOException {
        this(hosts, host -> port);
    }

    /** Creates a list of so many hosts at these ports. */
    DiscoveryStandIn(int hosts, IntUnaryOperator ports) throws IOException {
        this.ports = ports;
        states = new String[hosts];
        changedInVersion = new long[hosts];
        java.util.Arrays.fill(states, "Ready");
        java.util.Arrays.fill(changedInVersion, version);
        startThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> serve(socket));
            }
        });
    }

    /** A request that waits for changes. */
    private record Call(long atNanos, long bytes) {}

    /**
     * Returns the bytes per second between the first and the last waiting request since then. These are whole rounds of
     * a client, so the result does not depend on how many rounds fall into the period.
     */
    double bytesPerSecond(long sinceNanos) {
        synchronized (waitingCalls) {
            List<Call> all = waitingCalls.stream()
                    .filter(call -> call.atNanos() >= sinceNanos)
                    .toList();
            if (all.size() < 2) {
                return 0;
            }
            Call first = all.get(0);
            Call last = all.get(all.size() - 1);
            return (last.bytes() - first.bytes()) / ((last.atNanos() - first.atNanos()) / 1e9);
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The peer or the test closed the connection.
                    }
                },
                "list",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(3);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Waits until so many changed entries were sent in total, up to a limit. */
    void awaitChanges(long entries) throws InterruptedException {
        for (int i = 0; changesSent.get() < entries && i < MAX_POLLS; i++) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns the times that changes took to be applied since the previous call, in microseconds. */
    Histogram applyTimes() {
        Histogram now = applyTimes;
        applyTimes = histogram();
        return now;
    }

    /** Sets the state of these hosts, as one change. */
    synchronized void change(Collection<Integer> hosts, String state) {
        version++;
        for (int host : hosts) {
            states[host] = state;
            changedInVersion[host] = version;
        }
        notifyAll();
    }

    String entry(int host) {
        return "{\"id\":\"s-" + Integer.toHexString(0x5be20000 + host) + "\",\"addr\":\"127.0.0.1:"
                + ports.applyAsInt(host) + "\",\"zone\":\"z" + host % 9 + "\",\"kind\":\"m2\",\"cell\":"
                + host / GROUP_SIZE + ",\"state\":\"" + states[host]
                + "\",\"weight\":1.0,\"started_ms\":0,\"role\":\""
                + (host % GROUP_SIZE == 0 ? "leader" : "follower") + "\"}";
    }

    private String body(boolean full, List<Integer> hosts) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < hosts.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entry(hosts.get(i)));
        }
        return text.append("]}").toString();
    }

    private synchronized byte[] fullList() {
        if (fullListVersion != version) {
            List<Integer> listed = new ArrayList<>();
            for (int i = 0; i < states.length; i++) {
                if (!states[i].equals("Gone")) {
                    listed.add(i);
                }
            }
            fullList = body(true, listed).getBytes(StandardCharsets.US_ASCII);
            fullListVersion = version;
        }
        fullAnswers.incrementAndGet();
        return fullList;
    }

    private synchronized byte[] changesSince(long index, long millis) throws InterruptedException {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (index >= version) {
            long remainingMillis = (deadline - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                break;
            }
            wait(remainingMillis);
        }
        List<Integer> hosts = new ArrayList<>();
        for (int i = 0; i < states.length && index < version; i++) {
            if (changedInVersion[i] > index) {
                hosts.add(i);
            }
        }
        changesSent.addAndGet(hosts.size());
        return body(false, hosts).getBytes(StandardCharsets.US_ASCII);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] head = new byte[MAX_HEAD_BYTES];
            long answeredNanos = 0;
            while (true) {
                int length = 0;
                while (length < 4 || head[length - 1] != '\n' || head[length - 3] != '\n') {
                    int n = in.read(head, length, head.length - length);
                    if (n <= 0) {
                        return;
                    }
                    if (answeredNanos != 0) {
                        applyTimes.recordValue((System.nanoTime() - answeredNanos) / 1_000);
                        answeredNanos = 0;
                    }
                    length += n;
                    bytes.addAndGet(n);
                }
                calls.incrementAndGet();
                String path = new String(head, 0, length, StandardCharsets.US_ASCII).split(" ")[1];
                long index = number(path, "index", -1);
                if (path.contains("wait=")) {
                    synchronized (waitingCalls) {
                        waitingCalls.add(new Call(System.nanoTime(), bytes.get()));
                    }
                }
                byte[] body = index < 0 ? fullList() : changesSince(index, number(path, "wait", 0));
                ByteArrayOutputStream answer = new ByteArrayOutputStream(body.length + 128);
                answer.writeBytes(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                answer.writeBytes(body);
                socket.getOutputStream().write(answer.toByteArray());
                bytes.addAndGet(answer.size());
                answeredNanos = index < 0 ? 0 : System.nanoTime();
            }
        }
    }

    private static long number(String path, String name, long defaultValue) {
        return path.contains(name + "=")
                ? Long.parseLong(path.replaceAll(".*[?&]" + name + "=(\\d+).*", "$1"))
                : defaultValue;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
