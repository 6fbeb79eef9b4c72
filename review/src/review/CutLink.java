package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A network link between one router and the coordinator. When it is armed, it is cut as the router's next call is on its
 * way: nothing passes in either direction, and new connections do not come up and are reset once the link is back. What
 * was on its way arrives after that, as by TCP, which keeps the order within one connection only.
 */
final class CutLink {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Rig rig;
    private final int target;
    private int armedMillis;
    private int behindMillis;
    private volatile long cutUntilNanos = System.nanoTime();

    CutLink(Rig rig, int target) throws IOException {
        this.rig = rig;
        this.target = target;
        spawn(() -> {
            while (true) {
                Socket router = listener.accept();
                spawn(() -> {
                    if (isCut()) {
                        awaitBack();
                        router.setSoLinger(true, 0);
                        router.close();
                        return;
                    }
                    relay(router);
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void spawn(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection is at its end.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Cuts the link with the next call, which arrives some time after the link is back. */
    synchronized void arm(int cutMillis, int retransmitMillis) {
        armedMillis = cutMillis;
        behindMillis = retransmitMillis;
    }

    private boolean isCut() {
        return System.nanoTime() - cutUntilNanos < 0;
    }

    private void awaitBack() {
        while (isCut()) {
            Rig.sleep(1);
        }
    }

    /** Returns whether the link is cut with this call. */
    private synchronized boolean cutsHere() {
        if (armedMillis == 0) {
            return false;
        }
        cutUntilNanos = System.nanoTime() + armedMillis * 1_000_000L;
        armedMillis = 0;
        return true;
    }

    private void relay(Socket router) throws IOException {
        try (router;
                Socket coordinator = new Socket(InetAddress.getLoopbackAddress(), target)) {
            router.setTcpNoDelay(true);
            coordinator.setTcpNoDelay(true);
            spawn(() -> {
                try (router;
                        coordinator) {
                    byte[] buffer = new byte[16_384];
                    for (int n = coordinator.getInputStream().read(buffer);
                            n >= 0;
                            n = coordinator.getInputStream().read(buffer)) {
                        awaitBack();
                        router.getOutputStream().write(buffer, 0, n);
                    }
                }
            });
            for (byte[] call = head(router.getInputStream()); call != null; call = head(router.getInputStream())) {
                if (cutsHere()) {
                    rig.note("link: cut while a call is on its way: " + new String(call).split("\r\n")[0]);
                    awaitBack();
                    rig.note("link: back");
                    Rig.sleep(behindMillis);
                    rig.note("link: the call arrives");
                }
                awaitBack();
                coordinator.getOutputStream().write(call);
            }
        }
    }

    /** Returns the head of a call, which has no body; null at the end. */
    private static byte[] head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int each = in.read(); each >= 0; each = in.read()) {
            head.write(each);
            byte[] bytes = head.toByteArray();
            int n = bytes.length;
            if (n >= 4 && bytes[n - 4] == '\r' && bytes[n - 3] == '\n' && bytes[n - 2] == '\r' && bytes[n - 1] == '\n') {
                return bytes;
            }
        }
        return null;
    }
}
