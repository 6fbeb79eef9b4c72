package beaconladder.testbed.soak;

import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy in front of a host, which can delay, block or reset connections. */
final class FaultProxy implements AutoCloseable {
    private static final int SILENCE_POLL_MILLIS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final int hostPort;
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    /** The delay before a new connection is forwarded. */
    volatile int acceptDelayMillis;
    /** Whether no bytes pass: open connections are silent, and new ones are not forwarded. */
    volatile boolean silent;
    /** Whether the host counts as crashed: new connections are reset at once. */
    volatile boolean down;
    /** The number of forwarded chunks, in a thousand, at which the connection is reset instead. */
    volatile int resetsPerMille;
    /** The time without bytes after which a connection is closed without a reset, or 0 for never. */
    volatile int idleCloseMillis;

    /** Starts a proxy to the given port on loopback. */
    FaultProxy(int hostPort) throws IOException {
        this.hostPort = hostPort;
        StandInThreads.spawn(() -> {
            while (true) {
                Socket client = listener.accept();
                if (down) {
                    reset(client);
                    continue;
                }
                openSockets.add(client);
                StandInThreads.spawn(() -> forward(client));
            }
        });
    }

    /** Returns the port that the proxy listens on. */
    int port() {
        return listener.getLocalPort();
    }

    /** Resets all open connections. */
    void resetAll() {
        openSockets.forEach(FaultProxy::reset);
        openSockets.clear();
    }

    private void forward(Socket client) throws IOException {
        StandInThreads.sleep(acceptDelayMillis);
        waitWhileSilent();
        Socket host = new Socket();
        openSockets.add(host);
        try {
            host.connect(
                    new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), hostPort), CONNECT_TIMEOUT_MILLIS);
            client.setTcpNoDelay(true);
            host.setTcpNoDelay(true);
            StandInThreads.spawn(() -> copy(host, client));
            copy(client, host);
        } finally {
            close(client);
            close(host);
        }
    }

    private void copy(Socket source, Socket destination) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (true) {
                source.setSoTimeout(idleCloseMillis);
                int length = source.getInputStream().read(buffer);
                if (length < 0) {
                    return;
                }
                waitWhileSilent();
                if (resetsPerMille > 0 && Math.floorMod(System.nanoTime() / 1_000, 1_000) < resetsPerMille) {
                    reset(source);
                    reset(destination);
                    return;
                }
                destination.getOutputStream().write(buffer, 0, length);
            }
        } finally {
            close(source);
            close(destination);
        }
    }

    private void waitWhileSilent() {
        while (silent) {
            StandInThreads.sleep(SILENCE_POLL_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed in either case.
        }
    }

    private void close(Socket socket) {
        openSockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed in either case.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        silent = false;
        resetAll();
    }
}
