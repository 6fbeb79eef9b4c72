package beaconladder.testbed.scale;

import beaconladder.membership.SwimProtocol;
import beaconladder.membership.transport.GossipService;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/** A process with a member of the real classes, and nothing else; it tells when it knows all. */
final class MemberProcess {
    private static final int LOOK_MILLIS = 20;
    static final String KNOWS_ALL = "knows all";

    private MemberProcess() {}

    public static void main(String[] arguments) throws Exception {
        int port = Integer.parseInt(arguments[0]);
        int others = Integer.parseInt(arguments[2]);
        GossipService gossip = new GossipService(
                "real",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "127.0.0.1:" + port,
                List.of(arguments[1]));
        Thread thread = new Thread(gossip, "gossip");
        thread.start();
        while (gossip.view().members().size() <= others) {
            Thread.sleep(LOOK_MILLIS);
        }
        System.out.println(KNOWS_ALL);
        // From here on it does what one does that has known them for long.
        Thread.sleep(Long.parseLong(arguments[3]));
        Field swim = GossipService.class.getDeclaredField("swim");
        swim.setAccessible(true);
        SwimProtocol inner = (SwimProtocol) swim.get(gossip);
        synchronized (inner) {
            ConvergedMembership.settle(inner);
        }
        thread.join();
    }

    /** Waits until the process says so. */
    static void knowsAll(ChildProcess child, int seconds) throws IOException, InterruptedException {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (!child.log().endsWith(KNOWS_ALL + "\n") && !child.log().contains("\n" + KNOWS_ALL + "\n")) {
            if (System.nanoTime() > until) {
                throw new IOException("a member does not know all others after " + seconds + " s");
            }
            Thread.sleep(100);
        }
    }
}
