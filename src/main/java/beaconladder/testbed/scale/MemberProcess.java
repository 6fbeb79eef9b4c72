package beaconladder.testbed.scale;

import beaconladder.membership.SwimProtocol;
import beaconladder.membership.transport.GossipService;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/** A process with one real member and nothing else. It prints a line when it knows all others. */
final class MemberProcess {
    private static final int POLL_MILLIS = 20;
    static final String KNOWS_ALL = "knows all";

    private MemberProcess() {}

    public static void main(String[] arguments) throws Exception {
        int port = Integer.parseInt(arguments[0]);
        int peerCount = Integer.parseInt(arguments[2]);
        GossipService gossip = new GossipService(
                "real",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "127.0.0.1:" + port,
                List.of(arguments[1]));
        Thread thread = new Thread(gossip, "gossip");
        thread.start();
        while (gossip.view().members().size() <= peerCount) {
            Thread.sleep(POLL_MILLIS);
        }
        System.out.println(KNOWS_ALL);
        // From now on it behaves like a member that has known the others for long.
        Thread.sleep(Long.parseLong(arguments[3]));
        Field protocolField = GossipService.class.getDeclaredField("swim");
        protocolField.setAccessible(true);
        SwimProtocol protocol = (SwimProtocol) protocolField.get(gossip);
        synchronized (protocol) {
            ConvergedMembership.clearPendingUpdates(protocol);
        }
        thread.join();
    }

    /** Waits until the process prints that it knows all others. */
    static void awaitKnowsAll(ChildProcess child, int timeoutSeconds) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + timeoutSeconds * 1_000_000_000L;
        while (!child.log().endsWith(KNOWS_ALL + "\n") && !child.log().contains("\n" + KNOWS_ALL + "\n")) {
            if (System.nanoTime() > deadline) {
                throw new IOException("a member does not know all others after " + timeoutSeconds + " s");
            }
            Thread.sleep(100);
        }
    }
}
