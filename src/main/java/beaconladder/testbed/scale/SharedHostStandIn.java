package beaconladder.testbed.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** One listening socket that represents all hosts: it accepts and counts connections and sends nothing. */
final class SharedHostStandIn implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();
    final AtomicLong connections = new AtomicLong();

    SharedHostStandIn() throws IOException {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        while (true) {
                            accepted.add(listener.accept());
                            connections.incrementAndGet();
                        }
                    } catch (IOException e) {
                        // The listener was closed.
                    }
                },
                "hosts",
                128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
