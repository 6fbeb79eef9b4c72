package beaconladder.membership.transport;

import beaconladder.membership.MembershipView;
import beaconladder.membership.Message;
import beaconladder.membership.OutgoingMessage;
import beaconladder.membership.SwimProtocol;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A process's place in the fleet: one thread, one datagram socket. */
public final class GossipService implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GossipService.class);
    private static final int LONGEST = 8 * 1024;
    private static final int LOOK_MILLIS = 50;

    private final DatagramSocket socket;
    private final SwimProtocol swim;
    private volatile boolean closed;

    /**
     * A member that listens from now on and takes part once it runs.
     *
     * @param at where it listens
     * @param known the host and port under which the others reach it
     * @param seeds where others may be
     */
    public GossipService(String name, InetSocketAddress at, String known, Collection<String> seeds) throws IOException {
        socket = new DatagramSocket(at);
        // A later life counts over an earlier one.
        swim = new SwimProtocol(
                name, known, System.currentTimeMillis(), seeds, name.hashCode() * 31L + System.nanoTime());
    }

    /** Who is there, as known here now. */
    public MembershipView view() {
        synchronized (swim) {
            return swim.view(System.nanoTime());
        }
    }

    @Override
    public void run() {
        DatagramPacket packet = new DatagramPacket(new byte[LONGEST], LONGEST);
        long told = -1;
        while (!closed) {
            try {
                List<OutgoingMessage> sends;
                long wake;
                synchronized (swim) {
                    sends = swim.tick(System.nanoTime());
                    wake = swim.nextWakeNanos();
                }
                send(sends);
                MembershipView view = view();
                if (view.version() != told) {
                    told = view.version();
                    LOG.info(
                            "view {}: {}",
                            told,
                            view.members().stream()
                                    .map(each -> each.name()
                                            + (each.state() == beaconladder.membership.Member.State.SUSPECT ? "?" : ""))
                                    .toList());
                }
                long left = (wake - System.nanoTime()) / 1_000_000;
                socket.setSoTimeout((int) Math.max(1, Math.min(LOOK_MILLIS, left)));
                packet.setLength(LONGEST);
                socket.receive(packet);
                Message message = GossipJson.read(packet.getData(), packet.getLength());
                synchronized (swim) {
                    sends = swim.receive(message, System.nanoTime());
                }
                send(sends);
            } catch (SocketTimeoutException e) {
                continue;
            } catch (IOException e) {
                LOG.debug("a datagram is passed over: {}", e.toString());
            } catch (RuntimeException e) {
                LOG.error("gossip goes on after a fault", e);
            }
        }
    }

    private void send(List<OutgoingMessage> sends) {
        for (OutgoingMessage each : sends) {
            int colon = each.address().lastIndexOf(':');
            byte[] bytes = GossipJson.bytes(each.message());
            try {
                InetSocketAddress to = new InetSocketAddress(
                        each.address().substring(0, colon),
                        Integer.parseInt(each.address().substring(colon + 1)));
                if (!to.isUnresolved()) {
                    socket.send(new DatagramPacket(bytes, bytes.length, to));
                }
            } catch (IOException | IllegalArgumentException e) {
                // A datagram may be lost at any time; the machine bears it.
            }
        }
    }

    /** Leaves, so that the others need not find out. */
    @Override
    public void close() {
        closed = true;
        synchronized (swim) {
            send(swim.leave());
        }
        socket.close();
    }
}
