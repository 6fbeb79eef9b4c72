package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import beaconladder.lease.LeaseHolderState;
import beaconladder.lease.LeasePermit;
import beaconladder.lease.LeaseTerms;
import beaconladder.lease.server.AnchoredClock;
import beaconladder.lease.server.LeaseClient;
import beaconladder.lease.server.LeaseSession;
import beaconladder.membership.transport.GossipService;
import beaconladder.plan.Plan;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

/** A process that requests the lease of a task and acts on shared resources while it holds it, until terminated. */
public final class LeaseHolder {
    private static final int ACT_TIMEOUT_MILLIS = 300;
    /** Longest delay between checking the lease and acting: a pause in between makes the check stale. */
    private static final int MAX_WORK_MILLIS = 25;

    private LeaseHolder() {}

    /** Acquires the lease and acts on the resources; does not return. */
    public static void run(
            Plan plan,
            String name,
            String task,
            List<InetSocketAddress> resources,
            Path clockFile,
            String gossipAddress)
            throws IOException, InterruptedException {
        AnchoredClock clock = new AnchoredClock(clockFile);
        Plan.Leases leases = plan.leases();
        // A restarted process must not take over the lease of its predecessor of the same name.
        String holder = name + "#" + System.currentTimeMillis();
        LeaseClient leaseClient = new LeaseClient(
                leases.servers().stream().map(Plan.LeaseServer::clientAddress).toList(), name.hashCode(), (int)
                        (leases.durationNanos() / 4_000_000));
        LeaseSession session = new LeaseSession(
                LeaseHolderState.initial(
                        new LeaseTerms(task, holder, leases.durationNanos(), leases.maxClockErrorNanos())),
                leaseClient,
                clock);
        Thread sessionThread = new Thread(session, "lease-session");
        sessionThread.setDaemon(true);
        sessionThread.start();
        Runtime.getRuntime().addShutdownHook(new Thread(session::close));
        if (gossipAddress != null) {
            GossipService gossip = new GossipService(
                    name,
                    new InetSocketAddress(
                            "127.0.0.1", Integer.parseInt(gossipAddress.substring(gossipAddress.indexOf(':') + 1))),
                    gossipAddress,
                    leases.gossipSeeds());
            Thread gossipThread = new Thread(gossip, "gossip");
            gossipThread.setDaemon(true);
            gossipThread.start();
        }
        List<HttpFetcher> resourceClients =
                resources.stream().map(HttpFetcher::new).toList();
        SplittableRandom random = new SplittableRandom(name.hashCode());
        while (true) {
            LeasePermit permit = session.permit();
            Thread.sleep(random.nextInt(MAX_WORK_MILLIS));
            if (permit == null) {
                continue;
            }
            try {
                resourceClients
                        .get(random.nextInt(resourceClients.size()))
                        .get(
                                "/act?task=" + task + "&holder=" + holder.replace('#', '.') + "&token=" + permit.token()
                                        + "&until=" + permit.deadlineNanos(),
                                ACT_TIMEOUT_MILLIS);
            } catch (IOException e) {
                // The outcome is unknown; each attempt is an act of its own, so it is not retried.
            }
        }
    }
}
