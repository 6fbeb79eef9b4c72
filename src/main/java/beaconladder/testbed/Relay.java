package beaconladder.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes connections on to a port, until it is cut: then those that are open fall silent and new ones are refused. */
final class Relay implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final int to;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile boolean cut;

    Relay(int to) throws IOException {
        this.to = to;
        StandInThreads.spawn(() -> {
            while (true) {
                Socket in = listener.accept();
                if (cut) {
                    in.close();
                    continue;
                }
                try {
                    Socket out = new Socket(InetAddress.getLoopbackAddress(), to);
                    open.addAll(List.of(in, out));
                    StandInThreads.spawn(() -> pass(in, out));
                    StandInThreads.spawn(() -> pass(out, in));
                } catch (IOException e) {
                    in.close();
                }
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private void pass(Socket from, Socket into) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        try (from;
                into) {
            for (int n = from.getInputStream().read(buffer);
                    n >= 0;
                    n = from.getInputStream().read(buffer)) {
                if (cut) {
                    return;
                }
                into.getOutputStream().write(buffer, 0, n);
            }
        } finally {
            open.remove(from);
            open.remove(into);
        }
    }

    void cut() throws IOException {
        cut = true;
        for (Socket each : open) {
            each.close();
        }
    }

    void mend() {
        cut = false;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cut();
    }
}
