package beaconladder.testbed.scale;

import beaconladder.discovery.EndpointWatch;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** A process with many watches of the real class, each with a map of what it was told and nothing behind. */
final class EndpointWatchProcess {
    private static final int GRACE_MILLIS = 2_000;
    private static final int STACK = 256 * 1024;
    /** They begin spread over about a second, as a fleet's do at the best. */
    private static final int SPREAD_MILLIS = 1_000;

    private EndpointWatchProcess() {}

    public static void main(String[] arguments) throws InterruptedException {
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[0]));
        int count = Integer.parseInt(arguments[1]);
        for (int i = 0; i < count; i++) {
            Map<String, EndpointWatch.Entry> held = new HashMap<>();
            EndpointWatch watch = new EndpointWatch(at, GRACE_MILLIS, i, (whole, entries) -> {
                if (whole) {
                    held.clear();
                }
                entries.forEach(entry -> {
                    if (entry.state() == EndpointWatch.State.GONE) {
                        held.remove(entry.id());
                    } else {
                        held.put(entry.id(), entry);
                    }
                });
            });
            new Thread(null, watch, "watch", STACK).start();
            Thread.sleep(SPREAD_MILLIS / count);
        }
        new CountDownLatch(1).await();
    }
}
