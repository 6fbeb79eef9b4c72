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
 * Relays connections between two processes and injects network faults. It relays bytes or, between an HTTP client and
 * its server, whole messages, which it can drop, delay, duplicate and reorder. Each direction can be held on its own;
 * what is held is passed on after the release, as by TCP after an interruption.
 */
final class FaultRelay implements AutoCloseable {
    /**
     * The faults of a network.
     *
     * @param dropsPerMille how many of a thousand messages are dropped
     * @param duplicatesPerMille how many of a thousand messages are sent twice
     * @param maxDelayMillis the longest delay of a message in one direction, in milliseconds; a duplicate that a relay
     *     of HTTP messages sends comes once to twice this time later
     */
    record Weather(int dropsPerMille, int duplicatesPerMille, int maxDelayMillis) {
        static final Weather FAIR = new Weather(0, 0, 0);
        static final Weather FOUL = new Weather(80, 150, 400);
    }

    /** All routers of a region connect at once; with a shorter backlog some would wait 1 s for TCP's next attempt. */
    private static final int BACKLOG = 1024;

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    /** The timeout of connecting and of reading an answer; no client of a relay waits longer. */
    private static final int ANSWER_TIMEOUT_MILLIS = 10_000;

    private final ServerSocket listener = new ServerSocket();
    private final InetSocketAddress to;
    private final boolean relaysMessages;
    private final SplittableRandom random;
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    private volatile Weather weather = Weather.FAIR;
    private boolean requestsHeld;
    private boolean answersHeld;
    /** The number of messages, or of blocks of bytes, that were passed on. */
    final AtomicLong sent = new AtomicLong();
    /** The number of bytes that were passed on, in both directions. */
    final AtomicLong bytes = new AtomicLong();

    /**
     * Starts a relay.
     *
     * @param at the address to listen on, with port 0 for any free port
     * @param to the address of the server
     * @param relaysMessages whether to relay whole HTTP messages rather than bytes
     * @param seed the seed of the random faults
     */
    FaultRelay(InetSocketAddress at, InetSocketAddress to, boolean relaysMessages, long seed) throws IOException {
        this.to = to;
        this.relaysMessages = relaysMessages;
        this.random = new SplittableRandom(seed);
        listener.setReuseAddress(true);
        listener.bind(at, BACKLOG);
        StandInThreads.spawn(() -> {
            while (true) {
                Socket clientSocket = listener.accept();
                openSockets.add(clientSocket);
                StandInThreads.spawn(() -> {
                    try {
                        if (relaysMessages) {
                            relayMessages(clientSocket);
                        } else {
                            relayBytes(clientSocket);
                        }
                    } finally {
                        close(clientSocket);
                    }
                });
            }
        });
    }

    /** Starts a relay of whole messages on a free loopback port. */
    static FaultRelay toServer(InetSocketAddress to, long seed) throws IOException {
        return new FaultRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), to, true, seed);
    }

    /** Returns the address on which the relay listens. */
    InetSocketAddress at() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** Sets the faults for messages that arrive from now on. */
    void weather(Weather newWeather) {
        weather = newWeather;
    }

    /** Holds or releases what goes to the server, and what comes from it. */
    synchronized void hold(boolean towardsServer, boolean towardsClient) {
        requestsHeld = towardsServer;
        answersHeld = towardsClient;
        notifyAll();
    }

    /** Waits until the given direction is not held. */
    private synchronized void awaitRelease(boolean towardsServer) throws IOException {
        try {
            while (towardsServer ? requestsHeld : answersHeld) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void relayBytes(Socket clientSocket) throws IOException {
        Socket serverSocket = new Socket();
        openSockets.add(serverSocket);
        awaitRelease(true);
        serverSocket.connect(to, ANSWER_TIMEOUT_MILLIS);
        clientSocket.setTcpNoDelay(true);
        serverSocket.setTcpNoDelay(true);
        StandInThreads.spawn(() -> {
            try {
                copy(serverSocket, clientSocket, false);
            } finally {
                close(clientSocket);
                close(serverSocket);
            }
        });
        try {
            copy(clientSocket, serverSocket, true);
        } finally {
            close(serverSocket);
        }
    }

    private void copy(Socket from, Socket into, boolean towardsServer) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int count = from.getInputStream().read(buffer);
                count >= 0;
                count = from.getInputStream().read(buffer)) {
            awaitRelease(towardsServer);
            sent.incrementAndGet();
            bytes.addAndGet(count);
            into.getOutputStream().write(buffer, 0, count);
        }
        awaitRelease(towardsServer);
    }

    private void relayMessages(Socket clientSocket) throws IOException {
        clientSocket.setTcpNoDelay(true);
        for (byte[] request = readHead(clientSocket.getInputStream());
                request != null;
                request = readHead(clientSocket.getInputStream())) {
            Weather currentWeather = weather;
            byte[] message = request;
            if (draw(1_000) < currentWeather.dropsPerMille()) {
                // Keeps the connection open until the client gives up.
                clientSocket.getInputStream().read();
                return;
            }
            if (draw(1_000) < currentWeather.duplicatesPerMille()) {
                int duplicateDelayMillis = draw(currentWeather.maxDelayMillis() + 1) + currentWeather.maxDelayMillis();
                StandInThreads.spawn(() -> {
                    StandInThreads.sleep(duplicateDelayMillis);
                    awaitRelease(true);
                    exchange(message);
                });
            }
            StandInThreads.sleep(draw(currentWeather.maxDelayMillis() + 1));
            awaitRelease(true);
            byte[] answer = exchange(message);
            StandInThreads.sleep(draw(currentWeather.maxDelayMillis() + 1));
            awaitRelease(false);
            clientSocket.getOutputStream().write(answer);
        }
    }

    /** Returns a random number from 0 to below the bound. */
    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    /** Sends a message and returns the answer; each uses its own connection, so that one can overtake another. */
    private byte[] exchange(byte[] message) throws IOException {
        sent.incrementAndGet();
        bytes.addAndGet(message.length);
        try (Socket serverSocket = new Socket()) {
            serverSocket.connect(to, ANSWER_TIMEOUT_MILLIS);
            serverSocket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            serverSocket.getOutputStream().write(message);
            byte[] headBytes = readHead(serverSocket.getInputStream());
            if (headBytes == null) {
                throw new IOException("no answer");
            }
            String text = new String(headBytes, StandardCharsets.US_ASCII).toLowerCase(java.util.Locale.ROOT);
            int length = Integer.parseInt(text.replaceAll("(?s).*content-length: *([0-9]+).*", "$1"));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.write(headBytes);
            answer.write(serverSocket.getInputStream().readNBytes(length));
            bytes.addAndGet(answer.size());
            return answer.toByteArray();
        }
    }

    /** Returns the head of a message up to and including the empty line, or null at the end of the connection. */
    private static byte[] readHead(InputStream stream) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        int matchedBytes = 0;
        while (matchedBytes < 4 && received.size() < MAX_HEAD_BYTES) {
            int nextByte = stream.read();
            if (nextByte < 0) {
                return null;
            }
            received.write(nextByte);
            matchedBytes =
                    nextByte == (matchedBytes % 2 == 0 ? '\r' : '\n') ? matchedBytes + 1 : nextByte == '\r' ? 1 : 0;
        }
        return received.toByteArray();
    }

    private void close(Socket socket) {
        openSockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is of no further use in either case.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        hold(false, false);
        openSockets.forEach(this::close);
    }
}
