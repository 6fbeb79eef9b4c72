package beaconladder.testbed.soak;

import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stands before a host: passes bytes on, late, not at all, or with a reset in their midst. */
final class FaultProxy implements AutoCloseable {
    private static final int LOOK_MILLIS = 2;
    private static final int BUFFER = 16 * 1024;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final int to;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    /** A new connection comes up so much later. */
    volatile int acceptMillis;
    /** Nothing passes: what is open is silent, and new connections never come up. */
    volatile boolean silent;
    /** The host's process is gone: what is open was reset, and what comes is. */
    volatile boolean down;
    /** Of a thousand pieces that pass, so many are met by a reset of their connection. */
    volatile int resetsPerMille;
    /** Connections are closed in order after so long without bytes, or 0. */
    volatile int idleCloseMillis;

    FaultProxy(int to) throws IOException {
        this.to = to;
        StandInThreads.spawn(() -> {
            while (true) {
                Socket in = listener.accept();
                if (down) {
                    reset(in);
                    continue;
                }
                open.add(in);
                StandInThreads.spawn(() -> join(in));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Resets all connections that are open. */
    void resetAll() {
        open.forEach(FaultProxy::reset);
        open.clear();
    }

    private void join(Socket in) throws IOException {
        StandInThreads.sleep(acceptMillis);
        waitWhileSilent();
        Socket out = new Socket();
        open.add(out);
        try {
            out.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), to), 1_000);
            in.setTcpNoDelay(true);
            out.setTcpNoDelay(true);
            StandInThreads.spawn(() -> copy(out, in));
            copy(in, out);
        } finally {
            close(in);
            close(out);
        }
    }

    private void copy(Socket from, Socket into) throws IOException {
        byte[] buffer = new byte[BUFFER];
        try {
            while (true) {
                from.setSoTimeout(idleCloseMillis);
                int n = from.getInputStream().read(buffer);
                if (n < 0) {
                    return;
                }
                waitWhileSilent();
                if (resetsPerMille > 0 && Math.floorMod(System.nanoTime() / 1_000, 1_000) < resetsPerMille) {
                    reset(from);
                    reset(into);
                    return;
                }
                into.getOutputStream().write(buffer, 0, n);
            }
        } finally {
            close(from);
            close(into);
        }
    }

    private void waitWhileSilent() {
        while (silent) {
            StandInThreads.sleep(LOOK_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    private void close(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        silent = false;
        resetAll();
    }
}
