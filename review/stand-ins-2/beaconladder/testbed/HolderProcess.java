package beaconladder.testbed;

import beaconladder.lease.LeaseHolderState;
import beaconladder.lease.LeasePermit;
import beaconladder.lease.LeaseTerms;
import beaconladder.lease.server.AnchoredClock;
import beaconladder.lease.server.LeaseClient;
import beaconladder.lease.server.LeaseSession;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A process that wants the lease of one task, by the project's own session and client, and prints a line each time that
 * it may act: the time of System.nanoTime (one clock for all processes of a machine) and the token.
 */
public final class HolderProcess {
    private static final int ACT_MILLIS = 5;

    private HolderProcess() {}

    /** Arguments: name, task, length and clock bound in milliseconds, and the ports of the lease servers. */
    public static void main(String[] arguments) throws Exception {
        long lengthMillis = Long.parseLong(arguments[2]);
        List<InetSocketAddress> servers = new ArrayList<>();
        for (int i = 4; i < arguments.length; i++) {
            servers.add(new InetSocketAddress("127.0.0.1", Integer.parseInt(arguments[i])));
        }
        String holder = arguments[0] + "#" + System.currentTimeMillis();
        LeaseSession session = new LeaseSession(
                LeaseHolderState.initial(new LeaseTerms(
                        arguments[1], holder, lengthMillis * 1_000_000, Long.parseLong(arguments[3]) * 1_000_000)),
                new LeaseClient(servers, arguments[0].hashCode(), (int) (lengthMillis / 4)),
                new AnchoredClock());
        Thread thread = new Thread(session, "lease-session");
        thread.setDaemon(true);
        thread.start();
        while (true) {
            LeasePermit permit = session.permit();
            if (permit != null) {
                System.out.println("ACT " + System.nanoTime() + " " + permit.token());
            }
            Thread.sleep(ACT_MILLIS);
        }
    }
}
