package beaconladder.testbed;

/** Discovery, which is asked, is away for 40 s, twice; each time a host drains when it is back. */
public final class LongOutageCase extends DrainCase {
    private static final int ROUTERS = 12;
    private static final int OUTAGE_MILLIS = 40_000;
    private static final int OUTAGES = 2;
    /** "a change counts as told at the latest 6 s after discovery had it and could be reached". */
    private static final int TOLD_MILLIS = 6_000;

    private static final int WATCHED_MILLIS = 11_000;

    public LongOutageCase() {
        // lonja-remate: the any read is cotizacion, the write is puja.
        super(new Site("ask", "inline", 300, 6_000, 1_000, 400, 1_000, 300, 1_200), ROUTERS);
    }

    public static void main(String[] arguments) {
        main(new LongOutageCase(), arguments);
    }

    @Override
    int play() throws Exception {
        DiscoveryGate gate = new DiscoveryGate(discovery.port());
        for (int i = 0; i < ROUTERS; i++) {
            addRouter(gate.port());
            startRouter(configs.get(i), folder.resolve("n" + i + ".log"));
        }
        for (int port : ports) {
            awaitReady(port);
        }
        say(ROUTERS + " routers are ready; discovery is asked, its list has a primary and " + REPLICAS + " replicas");
        startClients();
        Thread.sleep(1_500);
        int late = 0;
        for (int outage = 1; outage <= OUTAGES; outage++) {
            if (trouble) {
                gate.refuse();
                say("discovery is away: its connections are reset, new ones refused");
            }
            Thread.sleep(OUTAGE_MILLIS);
            drain(outage);
            if (trouble) {
                gate.listenAgain();
            }
            long backMillis = System.currentTimeMillis();
            say((trouble ? "discovery is back and" : "discovery") + " lists h" + outage + " as draining");
            Thread.sleep(WATCHED_MILLIS);
            late += report(outage, backMillis, backMillis + TOLD_MILLIS + GRACE_MILLIS + SLACK_MILLIS);
        }
        endClients();
        return late > 0 ? BROKEN : KEPT;
    }
}
