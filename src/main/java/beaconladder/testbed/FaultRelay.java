package beaconladder.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands between two processes and does to what they say to each other what networks do. It passes bytes on, or,
 * between an HTTP client and its server, whole messages: those it can drop, delay, send twice and let overtake each
 * other. Each direction can be held on its own; what is held is passed on late once it is mended, as TCP does.
 */
final class FaultRelay implements AutoCloseable {
    /** How often a message is dropped and sent twice, and how long it is kept at the most; of a thousand each. */
    record Weather(int drops, int doubles, int keepsMillis) {
        static final Weather FAIR = new Weather(0, 0, 0);
        static final Weather FOUL = new Weather(80, 150, 400);
    }

    private static final int HEAD_MOST = 64 * 1024;
    /** Nobody waits longer for an answer here. */
    private static final int ANSWER_MILLIS = 10_000;

    private final ServerSocket listener = new ServerSocket();
    private final InetSocketAddress to;
    private final boolean messages;
    private final SplittableRandom chance;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile Weather weather = Weather.FAIR;
    private boolean heldThere;
    private boolean heldBack;
    final AtomicLong sent = new AtomicLong();
    final AtomicLong bytes = new AtomicLong();

    /** Listens at this address (port 0 for any) and passes on to the other. */
    FaultRelay(InetSocketAddress at, InetSocketAddress to, boolean messages, long seed) throws IOException {
        this.to = to;
        this.messages = messages;
        this.chance = new SplittableRandom(seed);
        listener.setReuseAddress(true);
        // A region's routers come at once; with a shorter queue some would wait for TCP's next try, a second.
        listener.bind(at, 1024);
        StandInThreads.spawn(() -> {
            while (true) {
                Socket in = listener.accept();
                open.add(in);
                StandInThreads.spawn(() -> {
                    try {
                        if (messages) {
                            answerAll(in);
                        } else {
                            join(in);
                        }
                    } finally {
                        close(in);
                    }
                });
            }
        });
    }

    static FaultRelay toServer(InetSocketAddress to, long seed) throws IOException {
        return new FaultRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), to, true, seed);
    }

    InetSocketAddress at() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    void weather(Weather next) {
        weather = next;
    }

    /** What is held from now on: what goes there, what comes back. */
    synchronized void hold(boolean there, boolean back) {
        heldThere = there;
        heldBack = back;
        notifyAll();
    }

    private synchronized void pass(boolean there) throws IOException {
        try {
            while (there ? heldThere : heldBack) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void join(Socket in) throws IOException {
        Socket out = new Socket();
        open.add(out);
        pass(true);
        out.connect(to, ANSWER_MILLIS);
        in.setTcpNoDelay(true);
        out.setTcpNoDelay(true);
        StandInThreads.spawn(() -> {
            try {
                copy(out, in, false);
            } finally {
                close(in);
                close(out);
            }
        });
        try {
            copy(in, out, true);
        } finally {
            close(out);
        }
    }

    private void copy(Socket from, Socket into, boolean there) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        for (int n = from.getInputStream().read(buffer);
                n >= 0;
                n = from.getInputStream().read(buffer)) {
            pass(there);
            sent.incrementAndGet();
            bytes.addAndGet(n);
            into.getOutputStream().write(buffer, 0, n);
        }
        pass(there);
    }

    private void answerAll(Socket in) throws IOException {
        in.setTcpNoDelay(true);
        for (byte[] asked = head(in.getInputStream()); asked != null; asked = head(in.getInputStream())) {
            Weather now = weather;
            byte[] message = asked;
            if (draw(1_000) < now.drops()) {
                // Whoever sent it gives up in the end.
                in.getInputStream().read();
                return;
            }
            if (draw(1_000) < now.doubles()) {
                int later = draw(now.keepsMillis() + 1) + now.keepsMillis();
                StandInThreads.spawn(() -> {
                    StandInThreads.sleep(later);
                    pass(true);
                    ask(message);
                });
            }
            StandInThreads.sleep(draw(now.keepsMillis() + 1));
            pass(true);
            byte[] answer = ask(message);
            StandInThreads.sleep(draw(now.keepsMillis() + 1));
            pass(false);
            in.getOutputStream().write(answer);
        }
    }

    private synchronized int draw(int below) {
        return chance.nextInt(below);
    }

    /** Each message takes a connection of its own, so that one can overtake another. */
    private byte[] ask(byte[] message) throws IOException {
        sent.incrementAndGet();
        bytes.addAndGet(message.length);
        try (Socket out = new Socket()) {
            out.connect(to, ANSWER_MILLIS);
            out.setSoTimeout(ANSWER_MILLIS);
            out.getOutputStream().write(message);
            byte[] head = head(out.getInputStream());
            if (head == null) {
                throw new IOException("no answer");
            }
            String text = new String(head, StandardCharsets.US_ASCII).toLowerCase(java.util.Locale.ROOT);
            int length = Integer.parseInt(text.replaceAll("(?s).*content-length: *([0-9]+).*", "$1"));
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head);
            all.write(out.getInputStream().readNBytes(length));
            bytes.addAndGet(all.size());
            return all.toByteArray();
        }
    }

    /** A message's head with the empty line behind it, or null at the end. */
    private static byte[] head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int ends = 0;
        while (ends < 4 && head.size() < HEAD_MOST) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.write(c);
            ends = c == (ends % 2 == 0 ? '\r' : '\n') ? ends + 1 : c == '\r' ? 1 : 0;
        }
        return head.toByteArray();
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
        hold(false, false);
        open.forEach(this::close);
    }
}
