package beaconladder.testbed;

import beaconladder.testbed.FaultRelay.Weather;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Relays datagrams from one process to another and drops, delays, duplicates and thereby reorders them. */
final class DatagramRelay implements AutoCloseable {
    private static final int STACK_BYTES = 128 * 1024;
    private static final int MAX_DATAGRAM_BYTES = 8 * 1024;

    private final DatagramSocket socket;
    private final DatagramSocket outgoing = new DatagramSocket();
    private final InetSocketAddress to;
    private final SplittableRandom random;
    private final ScheduledThreadPoolExecutor delayedSends = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(null, task, "datagrams", STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });
    private volatile Weather weather = Weather.FAIR;

    DatagramRelay(InetSocketAddress at, InetSocketAddress to, long seed) throws IOException {
        this.socket = new DatagramSocket(at);
        this.to = to;
        this.random = new SplittableRandom(seed);
        StandInThreads.spawn(() -> {
            DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
            while (true) {
                packet.setLength(MAX_DATAGRAM_BYTES);
                socket.receive(packet);
                relay(Arrays.copyOf(packet.getData(), packet.getLength()));
            }
        });
    }

    /** Sets the faults for datagrams that arrive from now on. */
    void weather(Weather newWeather) {
        weather = newWeather;
    }

    private void relay(byte[] bytes) throws IOException {
        Weather currentWeather = weather;
        if (random.nextInt(1_000) < currentWeather.dropsPerMille()) {
            return;
        }
        int copies = random.nextInt(1_000) < currentWeather.duplicatesPerMille() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            int delayMillis = random.nextInt(currentWeather.maxDelayMillis() + 1);
            if (delayMillis == 0) {
                send(bytes);
            } else {
                delayedSends.schedule(() -> send(bytes), delayMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void send(byte[] bytes) {
        try {
            outgoing.send(new DatagramPacket(bytes, bytes.length, to));
        } catch (IOException e) {
            // No process listens at the address at present; a datagram may be lost.
        }
    }

    @Override
    public void close() {
        delayedSends.shutdownNow();
        socket.close();
        outgoing.close();
    }
}
