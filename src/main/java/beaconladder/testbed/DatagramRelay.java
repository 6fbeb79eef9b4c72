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

/** Passes datagrams on from one process to another, or drops, delays and doubles them; late ones are overtaken. */
final class DatagramRelay implements AutoCloseable {
    private static final int LONGEST = 8 * 1024;

    private final DatagramSocket socket;
    private final DatagramSocket out = new DatagramSocket();
    private final InetSocketAddress to;
    private final SplittableRandom chance;
    private final ScheduledThreadPoolExecutor later = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(null, task, "datagrams", 128 * 1024);
        thread.setDaemon(true);
        return thread;
    });
    private volatile Weather weather = Weather.FAIR;

    DatagramRelay(InetSocketAddress at, InetSocketAddress to, long seed) throws IOException {
        this.socket = new DatagramSocket(at);
        this.to = to;
        this.chance = new SplittableRandom(seed);
        StandInThreads.spawn(() -> {
            DatagramPacket packet = new DatagramPacket(new byte[LONGEST], LONGEST);
            while (true) {
                packet.setLength(LONGEST);
                socket.receive(packet);
                pass(Arrays.copyOf(packet.getData(), packet.getLength()));
            }
        });
    }

    void weather(Weather next) {
        weather = next;
    }

    private void pass(byte[] bytes) throws IOException {
        Weather now = weather;
        if (chance.nextInt(1_000) < now.drops()) {
            return;
        }
        int times = chance.nextInt(1_000) < now.doubles() ? 2 : 1;
        for (int i = 0; i < times; i++) {
            int keeps = chance.nextInt(now.keepsMillis() + 1);
            if (keeps == 0) {
                send(bytes);
            } else {
                later.schedule(() -> send(bytes), keeps, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void send(byte[] bytes) {
        try {
            out.send(new DatagramPacket(bytes, bytes.length, to));
        } catch (IOException e) {
            // Nobody listens there now.
        }
    }

    @Override
    public void close() {
        later.shutdownNow();
        socket.close();
        out.close();
    }
}
