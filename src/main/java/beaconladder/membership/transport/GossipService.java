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
 * Runs the membership protocol of a process over a UDP socket, on the thread that calls {@link #run}. The other methods
 * may be called by any thread.
 */
public final class GossipService implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GossipService.class);
    private static final int MAX_DATAGRAM_BYTES = 8 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** The longest wait for a datagram before the timers and {@link #closed} are checked. */
    private static final int MAX_RECEIVE_WAIT_MILLIS = 50;

    private final DatagramSocket socket;
    /** The protocol instance; guarded by its own monitor. */
    private final SwimProtocol swim;

    private volatile boolean closed;

    /**
     * Opens the socket of a member, which joins the fleet once {@link #run} is called.
     *
     * @param listenAddress the address that the socket is bound to
     * @param advertisedAddress the host and port at which the other members reach this one
     * @param seeds addresses at which other members may be
     * @throws IOException if the socket can't be bound
     */
    public GossipService(
            String name, InetSocketAddress listenAddress, String advertisedAddress, Collection<String> seeds)
            throws IOException {
        socket = new DatagramSocket(listenAddress);
        // With the wall clock as incarnation, updates of a restarted process supersede those of its predecessor.
        swim = new SwimProtocol(
                name, advertisedAddress, System.currentTimeMillis(), seeds, name.hashCode() * 31L + System.nanoTime());
    }

    /** Returns the current view of the participating members. */
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
                LOG.debug("ignored an invalid datagram: {}", e.toString());
            } catch (RuntimeException e) {
                LOG.error("internal error in the gossip service, which continues", e);
            }
        }
    }

    /** Runs the due timers, and returns when the next one is due. */
    private long runTimers() {
        List<OutgoingMessage> outgoing;
        long wakeNanos;
        synchronized (swim) {
            outgoing = swim.tick(System.nanoTime());
            wakeNanos = swim.nextWakeNanos();
        }
        send(outgoing);
        return wakeNanos;
    }

    /** Logs the view if its version has changed, with a question mark after suspected members; returns the version. */
    private long logIfChanged(long loggedVersion) {
        MembershipView view = view();
        if (view.version() != loggedVersion) {
            LOG.info(
                    "membership view {}: {}",
                    view.version(),
                    view.members().stream()
                            .map(member -> member.name() + (member.state() == Member.State.SUSPECT ? "?" : ""))
                            .toList());
        }
        return view.version();
    }

    private void receive(DatagramPacket packet, long wakeNanos) throws IOException {
        long remainingMillis = (wakeNanos - System.nanoTime()) / NANOS_PER_MILLI;
        socket.setSoTimeout((int) Math.max(1, Math.min(MAX_RECEIVE_WAIT_MILLIS, remainingMillis)));
        packet.setLength(MAX_DATAGRAM_BYTES);
        socket.receive(packet);
        Message message = GossipJson.decode(packet.getData(), packet.getLength());
        List<OutgoingMessage> outgoing;
        synchronized (swim) {
            outgoing = swim.receive(message, System.nanoTime());
        }
        send(outgoing);
    }

    private void send(List<OutgoingMessage> outgoing) {
        for (OutgoingMessage each : outgoing) {
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
