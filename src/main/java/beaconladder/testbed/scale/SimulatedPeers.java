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

/** N members that are a socket each and no more: they answer probes, and one probes each half second. */
final class SimulatedPeers implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NEWS = 10;
    private static final int PERIOD_MILLIS = 500;
    private static final int PACE = 8;
    private static final int FIRST_SECONDS = 30;
    private static final int LONGEST = 8 * 1024;

    private final List<DatagramChannel> channels = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Selector selector = Selector.open();
    private final SplittableRandom chance;
    private final Thread thread = new Thread(null, this::serve, "peers", 256 * 1024);
    private volatile SocketAddress real;
    private volatile boolean closed;
    final AtomicLong messages = new AtomicLong();
    final AtomicLong bytes = new AtomicLong();

    SimulatedPeers(int count, SplittableRandom chance) throws IOException {
        this.chance = chance;
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

    /** Where the first of them hears. */
    String seed() {
        return members.get(0).address();
    }

    /** Tells the real one of all, as a newcomer is told. */
    void introduce() throws IOException, InterruptedException {
        long until = System.nanoTime() + FIRST_SECONDS * 1_000_000_000L;
        while (real == null) {
            if (System.nanoTime() > until) {
                throw new IOException("a member did not say a word");
            }
            Thread.sleep(5);
        }
        for (int i = 0; i < members.size(); i += NEWS) {
            send(
                    0,
                    new Message(
                            Kind.NACK, members.get(0), 0, "", members.subList(i, Math.min(members.size(), i + NEWS))));
            // As fast as its socket's buffer bears.
            Thread.sleep(PACE);
        }
    }

    private void serve() {
        ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
        long next = System.nanoTime();
        long number = 0;
        try {
            while (!closed) {
                selector.select(Math.max(1, (next - System.nanoTime()) / 1_000_000));
                for (SelectionKey key : selector.selectedKeys()) {
                    buffer.clear();
                    SocketAddress from = ((DatagramChannel) key.channel()).receive(buffer);
                    if (from != null) {
                        real = from;
                        messages.incrementAndGet();
                        bytes.addAndGet(buffer.position());
                        answer(
                                (Integer) key.attachment(),
                                MAPPER.readValue(buffer.array(), 0, buffer.position(), Message.class));
                    }
                }
                selector.selectedKeys().clear();
                if (System.nanoTime() >= next && real != null) {
                    next = System.nanoTime() + PERIOD_MILLIS * 1_000_000L;
                    int who = chance.nextInt(members.size());
                    send(who, new Message(Kind.PING, members.get(who), ++number, "", List.of()));
                }
            }
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void answer(int who, Message message) throws IOException {
        if (message.kind() == Kind.PING) {
            send(who, new Message(Kind.ACK, members.get(who), message.probeNumber(), "", List.of()));
        }
    }

    private void send(int who, Message message) throws IOException {
        byte[] text = MAPPER.writeValueAsBytes(message);
        channels.get(who).send(ByteBuffer.wrap(text), real);
        messages.incrementAndGet();
        bytes.addAndGet(text.length);
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
