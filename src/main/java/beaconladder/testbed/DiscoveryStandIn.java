package beaconladder.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stands in for discovery: serves the endpoint list and its changes over HTTP, in a configurable manner. */
public final class DiscoveryStandIn implements AutoCloseable {
    /** How the stand-in handles a request. */
    public enum Manner {
        ANSWER,
        /** Sends nothing and keeps the connection open. */
        SILENT,
        /** Sends half of the answer, then nothing, and keeps the connection open. */
        HALF,
        /** Sends half of the answer and closes the connection. */
        CUT,
        /** Sends the answer one byte at a time, with a pause after each. */
        DRIP,
        /** Sends the whole answer without its Content-Length and resets the connection. */
        RESET
    }

    private static final int DRIP_MILLIS = 20;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    /** The number of requests received. */
    public final AtomicInteger calls = new AtomicInteger();
    /** The text sent in place of each answer before the connection is closed, or null. */
    public volatile String garbage;

    public volatile Manner manner = Manner.ANSWER;
    /** How long each answer is delayed. */
    public volatile int lateMillis;
    /**
     * The longest time that a request waits for a change, whatever wait it asks for. It is short so that invalid
     * answers reach the client soon.
     */
    public volatile int waitMillis = 200;
    /** The current generation of connections; those of earlier ones stay open but receive nothing more. */
    private final AtomicInteger generation = new AtomicInteger();
    /** The limit on the load of requests, or null for an agent, which has no limit. */
    public volatile Capacity capacity;
    /** The number of bytes of all answers. */
    public final AtomicLong bytes = new AtomicLong();
    /** The paths of the requests, in the order of their arrival. */
    public final List<String> paths = new CopyOnWriteArrayList<>();

    private ChangeLog changeLog = new ChangeLog();

    public DiscoveryStandIn() throws IOException {
        StandInThreads.spawn(() -> {
            while (true) {
                Socket socket = listener.accept();
                StandInThreads.spawn(() -> serve(socket));
            }
        });
    }

    /** Publishes a new version: the whole list if {@code full}, otherwise the entries that change. */
    public synchronized void list(boolean full, String... entries) {
        changeLog.add(full, List.of(entries));
        notifyAll();
    }

    /** Simulates a restart that loses all earlier versions: begins with this list as version 1. */
    public synchronized void restart(String... entries) {
        changeLog = new ChangeLog();
        list(true, entries);
    }

    /** Returns the port on which the stand-in listens, on the loopback address. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Stops answering on the connections that are open now, without closing them; new ones are served. */
    public void silenceOpenConnections() {
        generation.incrementAndGet();
    }

    private void serve(Socket socket) throws IOException {
        int openedInGeneration = generation.get();
        try (socket) {
            while (true) {
                ByteArrayOutputStream requestHead = new ByteArrayOutputStream();
                while (!requestHead.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                    int nextByte = socket.getInputStream().read();
                    if (nextByte < 0) {
                        return;
                    }
                    requestHead.write(nextByte);
                }
                calls.incrementAndGet();
                String path = requestHead.toString(StandardCharsets.US_ASCII).split(" ")[1];
                paths.add(path);
                Capacity currentCapacity = capacity;
                if (currentCapacity != null && !currentCapacity.serve(entryCount(path))) {
                    socket.getOutputStream()
                            .write(("HTTP/1.1 503 Service Unavailable\r\n" + "Content-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                String json = json(path);
                StandInThreads.sleep(lateMillis);
                String invalidAnswer = garbage;
                byte[] answer = (invalidAnswer != null
                                ? invalidAnswer
                                : "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json)
                        .getBytes(StandardCharsets.US_ASCII);
                bytes.addAndGet(answer.length);
                if (!send(socket, openedInGeneration < generation.get() ? Manner.SILENT : manner, answer)
                        || invalidAnswer != null) {
                    return;
                }
            }
        }
    }

    /** Sends an answer in this manner; returns false if the connection is to be closed. */
    private static boolean send(Socket socket, Manner manner, byte[] answer) throws IOException {
        OutputStream out = socket.getOutputStream();
        switch (manner) {
            case ANSWER -> out.write(answer);
            case DRIP -> {
                for (byte b : answer) {
                    out.write(b);
                    StandInThreads.sleep(DRIP_MILLIS);
                }
            }
            case RESET -> {
                String text = new String(answer, StandardCharsets.US_ASCII);
                out.write(text.replaceFirst("\r\nContent-Length: \\d+", "").getBytes(StandardCharsets.US_ASCII));
                // The delay lets the client read the answer before it meets the reset.
                StandInThreads.sleep(DRIP_MILLIS);
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case HALF, CUT -> out.write(Arrays.copyOf(answer, answer.length / 2));
            default -> {}
        }
        if (manner == Manner.SILENT || manner == Manner.HALF) {
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                continue;
            }
        }
        return manner == Manner.ANSWER || manner == Manner.DRIP;
    }

    /** Returns the version after which the client asks for changes, or -1 if it asks for the whole list. */
    private static int index(String path) {
        return path.contains("index=") ? Integer.parseInt(path.replaceAll(".*index=(\\d+).*", "$1")) : -1;
    }

    /** Returns the number of entries that an answer would have if it were sent now. */
    private synchronized int entryCount(String path) {
        return changeLog.entriesSince(index(path));
    }

    private synchronized String json(String path) {
        int index = index(path);
        if (index < 0) {
            return changeLog.fullList();
        }
        int limitMillis = Math.min(waitMillis, Integer.parseInt(path.replaceAll(".*wait=(\\d+).*", "$1")));
        try {
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
            while (index >= changeLog.version() && System.nanoTime() < untilNanos) {
                TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, untilNanos - System.nanoTime()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return changeLog.changesSince(index);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
