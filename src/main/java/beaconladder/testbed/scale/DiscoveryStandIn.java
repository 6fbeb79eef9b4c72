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
 * Discovery's agent with a list of any size: it waits as long as it is asked to, tells what changed since a version,
 * and counts what goes over its sockets.
 */
final class DiscoveryStandIn implements AutoCloseable {
    /** Of one group: a primary and two replicas. */
    static final int MEMBERS = 3;

    private static final int LONGEST_HEAD = 8 * 1024;
    private static final int LOOK_MILLIS = 5;
    private static final int MOST_LOOKS = 4_000;

    private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final IntUnaryOperator ports;
    private final String[] states;
    private final long[] changed;
    private long version = 1;
    private byte[] whole;
    private long wholeOf;
    /** Read from sockets and written to them. */
    final AtomicLong bytes = new AtomicLong();

    final AtomicLong wholes = new AtomicLong();
    final AtomicLong calls = new AtomicLong();
    final AtomicLong news = new AtomicLong();
    /** When calls that wait came, and what had gone over the sockets by then. */
    private final List<Call> waits = new ArrayList<>();
    /** From the last byte of news to the next call, in microseconds: the asker has applied them then. */
    private volatile Histogram applied = histogram();

    /** A list of so many hosts, all of them at this port. */
    DiscoveryStandIn(int hosts, int port) throws IOException {
        this(hosts, host -> port);
    }

    /** A list of so many hosts at these ports. */
    DiscoveryStandIn(int hosts, IntUnaryOperator ports) throws IOException {
        this.ports = ports;
        states = new String[hosts];
        changed = new long[hosts];
        java.util.Arrays.fill(states, "Ready");
        java.util.Arrays.fill(changed, version);
        thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread(() -> serve(socket));
            }
        });
    }

    /** A call that waits. */
    private record Call(long at, long bytes) {}

    /**
     * Bytes a second from the first to the last call that waited since then: whole rounds of an asker, so that it does
     * not count how many of them fell into some seconds.
     */
    double bytesASecond(long since) {
        synchronized (waits) {
            List<Call> all = waits.stream().filter(call -> call.at() >= since).toList();
            if (all.size() < 2) {
                return 0;
            }
            Call first = all.get(0);
            Call last = all.get(all.size() - 1);
            return (last.bytes() - first.bytes()) / ((last.at() - first.at()) / 1e9);
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void thread(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side, or the test, has ended it.
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

    /** Waits until so many entries of news were told in all, for a while at the most. */
    void awaitChanges(long entries) throws InterruptedException {
        for (int i = 0; news.get() < entries && i < MOST_LOOKS; i++) {
            Thread.sleep(LOOK_MILLIS);
        }
    }

    /** How long news took to be applied since this was last asked, in microseconds. */
    Histogram applied() {
        Histogram now = applied;
        applied = histogram();
        return now;
    }

    /** These hosts are in this state from now on, as one change. */
    synchronized void change(Collection<Integer> hosts, String state) {
        version++;
        for (int host : hosts) {
            states[host] = state;
            changed[host] = version;
        }
        notifyAll();
    }

    String entry(int host) {
        return "{\"id\":\"s-" + Integer.toHexString(0x5be20000 + host) + "\",\"addr\":\"127.0.0.1:"
                + ports.applyAsInt(host) + "\",\"zone\":\"z" + host % 9 + "\",\"kind\":\"m2\",\"cell\":"
                + host / MEMBERS + ",\"state\":\"" + states[host]
                + "\",\"weight\":1.0,\"started_ms\":0,\"role\":\""
                + (host % MEMBERS == 0 ? "leader" : "follower") + "\"}";
    }

    private String body(boolean full, List<Integer> hosts) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < hosts.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entry(hosts.get(i)));
        }
        return text.append("]}").toString();
    }

    private synchronized byte[] whole() {
        if (wholeOf != version) {
            List<Integer> there = new ArrayList<>();
            for (int i = 0; i < states.length; i++) {
                if (!states[i].equals("Gone")) {
                    there.add(i);
                }
            }
            whole = body(true, there).getBytes(StandardCharsets.US_ASCII);
            wholeOf = version;
        }
        wholes.incrementAndGet();
        return whole;
    }

    private synchronized byte[] since(long index, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (index >= version) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        List<Integer> hosts = new ArrayList<>();
        for (int i = 0; i < states.length && index < version; i++) {
            if (changed[i] > index) {
                hosts.add(i);
            }
        }
        news.addAndGet(hosts.size());
        return body(false, hosts).getBytes(StandardCharsets.US_ASCII);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] head = new byte[LONGEST_HEAD];
            long told = 0;
            while (true) {
                int length = 0;
                while (length < 4 || head[length - 1] != '\n' || head[length - 3] != '\n') {
                    int n = in.read(head, length, head.length - length);
                    if (n <= 0) {
                        return;
                    }
                    if (told != 0) {
                        applied.recordValue((System.nanoTime() - told) / 1_000);
                        told = 0;
                    }
                    length += n;
                    bytes.addAndGet(n);
                }
                calls.incrementAndGet();
                String path = new String(head, 0, length, StandardCharsets.US_ASCII).split(" ")[1];
                long index = number(path, "index", -1);
                if (path.contains("wait=")) {
                    synchronized (waits) {
                        waits.add(new Call(System.nanoTime(), bytes.get()));
                    }
                }
                byte[] body = index < 0 ? whole() : since(index, number(path, "wait", 0));
                ByteArrayOutputStream answer = new ByteArrayOutputStream(body.length + 128);
                answer.writeBytes(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                answer.writeBytes(body);
                socket.getOutputStream().write(answer.toByteArray());
                bytes.addAndGet(answer.size());
                told = index < 0 ? 0 : System.nanoTime();
            }
        }
    }

    private static long number(String path, String name, long otherwise) {
        return path.contains(name + "=")
                ? Long.parseLong(path.replaceAll(".*[?&]" + name + "=(\\d+).*", "$1"))
                : otherwise;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
