package beaconladder.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery's agent. */
public final class DiscoveryStandIn implements AutoCloseable {
    public final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    public final AtomicInteger calls = new AtomicInteger();
    public volatile String garbage;
    private String whole = "";
    private String change = "";
    private int version;

    public DiscoveryStandIn() throws IOException {
        Tasks.spawn(() -> {
            while (true) {
                Socket socket = door.accept();
                Tasks.spawn(() -> serve(socket));
            }
        });
    }

    public synchronized void list(boolean full, String... entries) {
        version++;
        change = "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", entries) + "]}";
        whole = full ? change : whole;
        notifyAll();
    }

    private void serve(Socket socket) throws IOException {
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
                String body = body(path);
                String bad = garbage;
                socket.getOutputStream().write((bad != null ? bad : "HTTP/1.1 200 OK\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
                if (bad != null) {
                    return;
                }
            }
        }
    }

    private synchronized String body(String path) {
        if (!path.contains("index=")) {
            return whole;
        }
        int index = Integer.parseInt(path.replaceAll(".*index=(\\d+).*", "$1"));
        try {
            // Shorter than what is asked for, so that nonsense has its turn soon.
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
            while (index >= version && System.nanoTime() < until) {
                wait(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return index >= version ? "{\"version\":" + version + ",\"full\":false,\"servers\":[]}" : change;
    }

    @Override
    public void close() throws IOException {
        door.close();
    }
}
