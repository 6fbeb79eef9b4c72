package beaconladder.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The way from routers to discovery, which can be closed: as by the end of its process, or by silence. */
final class DiscoveryGate {
    private static final int BACKLOG = 200;

    private final int targetPort;
    private final int port;
    private volatile ServerSocket listener;
    private volatile boolean silent;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    DiscoveryGate(int targetPort) throws IOException {
        this.targetPort = targetPort;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        accept(listener);
    }

    int port() {
        return port;
    }

    /** As when the process dies: connections are reset and new ones are refused. */
    void refuse() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
    }

    /** The process is back. */
    void listenAgain() throws IOException {
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        next.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listener = next;
        accept(next);
    }

    /** As when the agent says nothing: open connections and those of this time stay open and silent for good. */
    void fallSilent() {
        silent = true;
        sockets.clear();
    }

    /** Connections that are opened from now on are served. */
    void speakAgain() {
        silent = false;
    }

    private void accept(ServerSocket from) {
        StandInThreads.spawn(() -> {
            while (true) {
                Socket client = from.accept();
                client.setTcpNoDelay(true);
                if (silent) {
                    StandInThreads.spawn(() -> swallow(client));
                    continue;
                }
                Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                target.setTcpNoDelay(true);
                sockets.add(client);
                StandInThreads.spawn(() -> copy(client, target, client));
                StandInThreads.spawn(() -> copy(target, client, client));
            }
        });
    }

    private static void swallow(Socket client) throws IOException {
        try (client) {
            while (client.getInputStream().read() >= 0) {
                continue;
            }
        }
    }

    /** Copies until the end; a connection that has been silenced passes nothing on, and stays open. */
    private void copy(Socket from, Socket to, Socket client) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[8192];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (sockets.contains(client)) {
                    out.write(buffer, 0, n);
                    out.flush();
                }
            }
        }
        sockets.remove(client);
    }
}
