package beaconladder.testbed;

/** A router is killed and comes back while its agent says nothing; when the agent speaks again, a host drains. */
public final class RestartInOutageCase extends DrainCase {
    private static final int ROUTERS = 3;
    private static final int ROUNDS = 3;
    /** The agents say nothing for 3.5 s in each round; one router is killed 0.5 to 1.1 s after its begin. */
    private static final int OUTAGE_MILLIS = 3_500;

    public RestartInOutageCase() {
        // tarjeta-aconcagua: the any read is historial, the write is cargo.
        super(new Site("push", "on_probe", 250, 30_000, 3_000, 500, 1_200, 1_000, 5_000), ROUTERS);
    }

    public static void main(String[] arguments) {
        main(new RestartInOutageCase(), arguments);
    }

    @Override
    int play() throws Exception {
        DiscoveryGate[] agents = new DiscoveryGate[ROUTERS];
        Process[] routers = new Process[ROUTERS];
        for (int i = 0; i < ROUTERS; i++) {
            agents[i] = new DiscoveryGate(discovery.port());
            addRouter(agents[i].port());
            routers[i] = startRouter(configs.get(i), folder.resolve("n" + i + ".log"));
        }
        for (int port : ports) {
            awaitReady(port);
        }
        say(ROUTERS + " routers are ready, each with its agent; the list has a primary and " + REPLICAS + " replicas");
        startClients();
        Thread.sleep(2_000);
        int late = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            int router = round - 1;
            long beginMillis = System.currentTimeMillis();
            if (trouble) {
                for (DiscoveryGate agent : agents) {
                    agent.fallSilent();
                }
                say("the agents say nothing");
            }
            // Without regard to what the router does.
            Thread.sleep(500 + (round - 1) * 300);
            routers[router].destroyForcibly();
            routers[router].onExit().join();
            writeConfig(router);
            routers[router] = startRouter(configs.get(router), folder.resolve("n" + router + ".log"));
            say("n" + router + " is killed, and started again at once");
            sleepUntil(beginMillis + OUTAGE_MILLIS);
            drain(round);
            for (DiscoveryGate agent : agents) {
                agent.speakAgain();
            }
            long toldMillis = System.currentTimeMillis();
            say((trouble ? "the agents speak again and have" : "the agents have") + " h" + round + " as draining");
            Thread.sleep(6_000);
            late += report(round, toldMillis, toldMillis + GRACE_MILLIS + SLACK_MILLIS);
        }
        endClients();
        return late > 0 ? BROKEN : KEPT;
    }
}
