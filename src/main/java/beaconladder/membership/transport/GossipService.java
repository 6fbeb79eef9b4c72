package beaconladder.membership.transport;

import beaconladder.membership.Member;
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

/**
 * A process's membership in the fleet: one thread that calls {@link #run} and one UDP socket. The other methods may be
 * called by any thread.
 */
public final class GossipService implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GossipService.class);
    private static final int MAX_DATAGRAM_BYTES = 8 * 1024;
    /** The longest wait for a datagram, after which the timers and the end of the service are checked. */
    private static final int MAX_RECEIVE_MILLIS = 50;

    private final DatagramSocket socket;
    /** Guarded by itself. */
    private final SwimProtocol swim;

    private volatile boolean closed;

    /**
     * A member whose socket is open, and which takes part once it runs.
     *
     * @param listenAddress where it receives datagrams
     * @param advertisedAddress the host and port at which the others reach it
     * @param seeds addresses at which other members may be
     * @throws IOException if the socket can't be bound
     */
    public GossipService(
            String name, InetSocketAddress listenAddress, String advertisedAddress, Collection<String> seeds)
            throws IOException {
        socket = new DatagramSocket(listenAddress);
        // With the time as incarnation a restarted process supersedes what is known of its earlier one.
        swim = new SwimProtocol(
                name, advertisedAddress, System.currentTimeMillis(), seeds, name.hashCode() * 31L + System.nanoTime());
    }

    /** The participating members as known now. */
    public MembershipView view() {
        synchronized (swim) {
            return swim.view(System.nanoTime());
        }
    }

    @Override
    public void run() {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
        long loggedVersion = -1;
        while (!closed) {
            try {
                long wakeNanos = runTimers();
                loggedVersion = logIfChanged(loggedVersion);
                receive(packet, wakeNanos);
            } catch (SocketTimeoutException e) {
                continue;
            } catch (IOException e) {
                LOG.debug("a datagram is passed over: {}", e.toString());
            } catch (RuntimeException e) {
                LOG.error("gossip goes on after a fault", e);
            }
        }
    }

    /** Returns when the timers are due next. */
    private long runTimers() {
        List<OutgoingMessage> sends;
        long wakeNanos;
        synchronized (swim) {
            sends = swim.tick(System.nanoTime());
            wakeNanos = swim.nextWakeNanos();
        }
        send(sends);
        return wakeNanos;
    }

    /** Logs a view with a new version, suspected members with a question mark; returns the version. */
    private long logIfChanged(long loggedVersion) {
        MembershipView view = view();
        if (view.version() != loggedVersion) {
            LOG.info(
                    "view {}: {}",
                    view.version(),
                    view.members().stream()
                            .map(member -> member.name() + (member.state() == Member.State.SUSPECT ? "?" : ""))
                            .toList());
        }
        return view.version();
    }

    private void receive(DatagramPacket packet, long wakeNanos) throws IOException {
        long remainingMillis = (wakeNanos - System.nanoTime()) / 1_000_000;
        socket.setSoTimeout((int) Math.max(1, Math.min(MAX_RECEIVE_MILLIS, remainingMillis)));
        packet.setLength(MAX_DATAGRAM_BYTES);
        socket.receive(packet);
        Message message = GossipJson.decode(packet.getData(), packet.getLength());
        List<OutgoingMessage> sends;
        synchronized (swim) {
            sends = swim.receive(message, System.nanoTime());
        }
        send(sends);
    }

    private void send(List<OutgoingMessage> sends) {
        for (OutgoingMessage each : sends) {
            int colon = each.address().lastIndexOf(':');
            byte[] bytes = GossipJson.encode(each.message());
            try {
                InetSocketAddress receiver = new InetSocketAddress(
                        each.address().substring(0, colon),
                        Integer.parseInt(each.address().substring(colon + 1)));
                if (!receiver.isUnresolved()) {
                    socket.send(new DatagramPacket(bytes, bytes.length, receiver));
                }
            } catch (IOException | IllegalArgumentException e) {
                // The protocol tolerates the loss of any datagram.
            }
        }
    }

    /** Leaves the fleet gracefully, so that the others need not detect a failure. */
    @Override
    public void close() {
        closed = true;
        synchronized (swim) {
            send(swim.leave());
        }
        socket.close();
    }
}
