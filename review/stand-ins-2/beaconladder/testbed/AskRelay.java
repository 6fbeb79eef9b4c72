package beaconladder.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Passes a holder's asks on to a lease server; with a delay set, each release comes a second time, so much later. */
final class AskRelay {
    private final int targetPort;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    /** What the relay did, in words. */
    final Queue<String> events = new ConcurrentLinkedQueue<>();
    /** After which time a release comes again; 0 for never. */
    volatile int copyAfterMillis;

    AskRelay(int targetPort) throws IOException {
        this.targetPort = targetPort;
        StandInThreads.spawn(() -> {
            while (true) {
                Socket client = listener.accept();
                StandInThreads.spawn(() -> serve(client));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private void serve(Socket client) throws IOException {
        try (client;
                Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
            StandInThreads.spawn(() -> target.getInputStream().transferTo(client.getOutputStream()));
            while (true) {
                byte[] ask = readHead(client.getInputStream());
                if (ask == null) {
                    return;
                }
                target.getOutputStream().write(ask);
                int delayMillis = copyAfterMillis;
                if (delayMillis > 0 && new String(ask, StandardCharsets.US_ASCII).contains("RELEASE")) {
                    events.add("a release passes to the lease server; it will come again in " + delayMillis + " ms");
                    StandInThreads.spawn(() -> sendCopy(ask, delayMillis));
                }
            }
        }
    }

    private void sendCopy(byte[] ask, int delayMillis) throws IOException, InterruptedException {
        Thread.sleep(delayMillis);
        try (Socket again = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
            again.getOutputStream().write(ask);
            events.add("the same release comes a second time");
            Thread.sleep(1_000);
        }
    }

    /** Reads a request, which has no body; null at the end. */
    private static byte[] readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        return head.toByteArray();
    }
}
