package beaconladder.testbed.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** One listening socket that stands for all hosts: it takes connections, counts them and says nothing. */
final class SharedHostStandIn implements AutoCloseable {
    private final ServerSocket door = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final Queue<Socket> taken = new ConcurrentLinkedQueue<>();
    final AtomicLong connections = new AtomicLong();

    SharedHostStandIn() throws IOException {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        while (true) {
                            taken.add(door.accept());
                            connections.incrementAndGet();
                        }
                    } catch (IOException e) {
                        // It is closed.
                    }
                },
                "hosts",
                128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return door.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        door.close();
        for (Socket socket : taken) {
            socket.close();
        }
    }
}
