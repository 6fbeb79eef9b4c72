package beaconladder.testbed.scale;

import beaconladder.membership.Member;
import beaconladder.membership.Member.State;
import beaconladder.membership.Message;
import beaconladder.membership.Message.Kind;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** Simulates N peers, a socket each: all answer probes, and one of them sends a probe every half second. */
final class SimulatedPeers implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int UPDATES_PER_MESSAGE = 10;
    private static final int PROBE_PERIOD_MILLIS = 500;
    private static final int SEND_INTERVAL_MILLIS = 8;
    private static final int FIRST_MESSAGE_TIMEOUT_SECONDS = 30;
    private static final int MAX_MESSAGE_BYTES = 8 * 1024;

    private final List<DatagramChannel> channels = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Selector selector = Selector.open();
    private final SplittableRandom random;
    private final Thread thread = new Thread(null, this::serve, "peers", 256 * 1024);
    private volatile SocketAddress realMember;
    private volatile boolean closed;
    final AtomicLong messages = new AtomicLong();
    final AtomicLong bytes = new AtomicLong();

    SimulatedPeers(int count, SplittableRandom random) throws IOException {
        this.random = random;
        for (int i = 0; i < count; i++) {
            DatagramChannel channel = DatagramChannel.open();
            channels.add(channel);
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, i);
            int port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
            members.add(new Member("r" + i, "127.0.0.1:" + port, 1_700_000_000_000L, State.ALIVE));
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address of the first peer. */
    String seed() {
        return members.get(0).address();
    }

    /** Sends the real member updates about all peers, as a newcomer receives them. */
    void sendAllMembers() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + FIRST_MESSAGE_TIMEOUT_SECONDS * 1_000_000_000L;
        while (realMember == null) {
            if (System.nanoTime() > deadline) {
                throw new IOException("the real member sent no message");
            }
            Thread.sleep(5);
        }
        for (int i = 0; i < members.size(); i += UPDATES_PER_MESSAGE) {
            send(
                    0,
                    new Message(
                            Kind.NACK,
                            members.get(0),
                            0,
                            "",
                            members.subList(i, Math.min(members.size(), i + UPDATES_PER_MESSAGE))));
            // This is as fast as the buffer of its socket allows.
            Thread.sleep(SEND_INTERVAL_MILLIS);
        }
    }

    private void serve() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        long nextProbeNanos = System.nanoTime();
        long lastProbeNumber = 0;
        try {
            while (!closed) {
                selector.select(Math.max(1, (nextProbeNanos - System.nanoTime()) / 1_000_000));
                for (SelectionKey key : selector.selectedKeys()) {
                    buffer.clear();
                    SocketAddress from = ((DatagramChannel) key.channel()).receive(buffer);
                    if (from != null) {
                        realMember = from;
                        messages.incrementAndGet();
                        bytes.addAndGet(buffer.position());
                        answer(
                                (Integer) key.attachment(),
                                MAPPER.readValue(buffer.array(), 0, buffer.position(), Message.class));
                    }
                }
                selector.selectedKeys().clear();
                if (System.nanoTime() >= nextProbeNanos && realMember != null) {
                    nextProbeNanos = System.nanoTime() + PROBE_PERIOD_MILLIS * 1_000_000L;
                    int peer = random.nextInt(members.size());
                    send(peer, new Message(Kind.PING, members.get(peer), ++lastProbeNumber, "", List.of()));
                }
            }
        } catch (IOException e) {
            // The selector or a channel was closed.
        }
    }

    private void answer(int peer, Message message) throws IOException {
        if (message.kind() == Kind.PING) {
            send(peer, new Message(Kind.ACK, members.get(peer), message.probeNumber(), "", List.of()));
        }
    }

    private void send(int peer, Message message) throws IOException {
        byte[] encoded = MAPPER.writeValueAsBytes(message);
        channels.get(peer).send(ByteBuffer.wrap(encoded), realMember);
        messages.incrementAndGet();
        bytes.addAndGet(encoded.length);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
        for (DatagramChannel channel : channels) {
            channel.close();
        }
    }
}
