package beaconladder.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Relays connections to a loopback port. While it is cut, it closes open connections and each new one. */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final int targetPort;
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    private volatile boolean cut;

    Relay(int targetPort) throws IOException {
        this.targetPort = targetPort;
        StandInThreads.spawn(() -> {
            while (true) {
                Socket clientSocket = listener.accept();
                if (cut) {
                    clientSocket.close();
                    continue;
                }
                try {
                    Socket serverSocket = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                    openSockets.addAll(List.of(clientSocket, serverSocket));
                    StandInThreads.spawn(() -> copyBytes(clientSocket, serverSocket));
                    StandInThreads.spawn(() -> copyBytes(serverSocket, clientSocket));
                } catch (IOException e) {
                    clientSocket.close();
                }
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private void copyBytes(Socket from, Socket into) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                into) {
            for (int count = from.getInputStream().read(buffer);
                    count >= 0;
                    count = from.getInputStream().read(buffer)) {
                if (cut) {
                    return;
                }
                into.getOutputStream().write(buffer, 0, count);
            }
        } finally {
            openSockets.remove(from);
            openSockets.remove(into);
        }
    }

    /** Closes all connections, and new ones until {@link #mend}. */
    void cut() throws IOException {
        cut = true;
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    /** Relays new connections again. */
    void mend() {
        cut = false;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cut();
    }
}
