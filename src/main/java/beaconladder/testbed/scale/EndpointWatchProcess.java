package beaconladder.testbed.scale;

import beaconladder.discovery.EndpointWatch;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** A process with many real endpoint watches, each with a map of the entries it received and no router behind it. */
final class EndpointWatchProcess {
    private static final int GRACE_MILLIS = 2_000;
    private static final int STACK_BYTES = 256 * 1024;
    /** Watches start spread over about a second, as those of a fleet do at best. */
    private static final int SPREAD_MILLIS = 1_000;

    private EndpointWatchProcess() {}

    public static void main(String[] arguments) throws InterruptedException {
        InetSocketAddress agent =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[0]));
        int count = Integer.parseInt(arguments[1]);
        for (int i = 0; i < count; i++) {
            Map<String, EndpointWatch.Entry> known = new HashMap<>();
            EndpointWatch watch = new EndpointWatch(agent, GRACE_MILLIS, i, (full, entries) -> {
                if (full) {
                    known.clear();
                }
                entries.forEach(entry -> {
                    if (entry.state() == EndpointWatch.State.GONE) {
                        known.remove(entry.id());
                    } else {
                        known.put(entry.id(), entry);
                    }
                });
            });
            new Thread(null, watch, "watch", STACK_BYTES).start();
            Thread.sleep(SPREAD_MILLIS / count);
        }
        new CountDownLatch(1).await();
    }
}
