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

/** A process that wants a task and acts on shared resources for as long as it holds it, until a signal ends it. */
public final class LeaseHolder {
    private static final int ACT_MILLIS = 300;
    /** Between its look at the lease and the act it works so long: that is where a pause does harm. */
    private static final int WORK_MILLIS = 25;

    private LeaseHolder() {}

    /** Holds and acts; does not return. */
    public static void run(
            Plan plan, String name, String task, List<InetSocketAddress> resources, Path clockFile, String gossipAt)
            throws IOException, InterruptedException {
        AnchoredClock clock = new AnchoredClock(clockFile);
        Plan.Leases leases = plan.leases();
        // A life of its own: what an earlier one of this name held is not this one's.
        String holder = name + "#" + System.currentTimeMillis();
        LeaseClient doors = new LeaseClient(
                leases.servers().stream().map(Plan.LeaseServer::clientAddress).toList(), name.hashCode(), (int)
                        (leases.durationNanos() / 4_000_000));
        LeaseSession holding = new LeaseSession(
                LeaseHolderState.initial(
                        new LeaseTerms(task, holder, leases.durationNanos(), leases.maxClockErrorNanos())),
                doors,
                clock);
        Thread loop = new Thread(holding, "holding");
        loop.setDaemon(true);
        loop.start();
        Runtime.getRuntime().addShutdownHook(new Thread(holding::close));
        if (gossipAt != null) {
            GossipService gossip = new GossipService(
                    name,
                    new InetSocketAddress("127.0.0.1", Integer.parseInt(gossipAt.substring(gossipAt.indexOf(':') + 1))),
                    gossipAt,
                    leases.gossipSeeds());
            Thread talk = new Thread(gossip, "gossip");
            talk.setDaemon(true);
            talk.start();
        }
        List<HttpFetcher> to = resources.stream().map(HttpFetcher::new).toList();
        SplittableRandom chance = new SplittableRandom(name.hashCode());
        while (true) {
            LeasePermit permit = holding.permit();
            Thread.sleep(chance.nextInt(WORK_MILLIS));
            if (permit == null) {
                continue;
            }
            try {
                to.get(chance.nextInt(to.size()))
                        .get(
                                "/act?task=" + task + "&holder=" + holder.replace('#', '.') + "&token=" + permit.token()
                                        + "&until=" + permit.deadlineNanos(),
                                ACT_MILLIS);
            } catch (IOException e) {
                // It may have been done or not; the next one is another act.
            }
        }
    }
}
