package beaconladder.testbed.soak;

import beaconladder.testbed.ChildProcesses;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** The routers, hosts, discovery agents and clients of one soak. */
final class SoakFleet implements AutoCloseable {
    private static final int MIN_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    private static final int MAX_PORT_ATTEMPTS = 100;
    private static final int DISCOVERY_AGENTS = 2;
    private static final int LONG_POLL_MILLIS = 60_000;
    private static final int START_TIMEOUT_MILLIS = 40_000;
    private static final int STOP_TIMEOUT_MILLIS = 10_000;
    private static final int DEFAULT_DELAY_MILLIS = 5;
    private static final int DEFAULT_LAG_MILLIS = 20;
    private static final List<String> TRACE_OPTIONS = List.of(
            "-Dorg.slf4j.simpleLogger.log.beaconladder.trace=debug",
            "-Dorg.slf4j.simpleLogger.showDateTime=true",
            "-Dorg.slf4j.simpleLogger.dateTimeFormat=yyyy-MM-dd'T'HH:mm:ss.SSSZ",
            JvmPauses.LOG_FLAG);

    /** An interval of {@code System.nanoTime}; its end is {@code Long.MAX_VALUE} while it lasts. */
    record Interval(long startNanos, long endNanos) {}

    private final SoakPlan plan;
    private final ChildProcesses processes;
    private final List<SoakRouter> routers = new ArrayList<>();
    private final List<SoakHost> hosts = new ArrayList<>();
    private final List<DiscoveryStandIn> discoveries = new ArrayList<>();
    private final Map<Integer, Integer> discoveryOfRouter = new ConcurrentHashMap<>();
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final List<Interval> discoveryFaults = new CopyOnWriteArrayList<>();
    private final SoakClients clients;
    private int activeDiscoveryFaults;
    private long faultStartNanos;

    /** Starts all hosts, discovery agents and routers, and waits until the routers are ready. */
    SoakFleet(SoakPlan plan, Path folder, FaultShim shim, SplittableRandom random) throws IOException {
        this.plan = plan;
        processes = new ChildProcesses(folder);
        for (int i = 0; i < Soak.GROUPS * Soak.HOSTS_PER_GROUP; i++) {
            hosts.add(new SoakHost(i, 1 + i / Soak.HOSTS_PER_GROUP, i % Soak.HOSTS_PER_GROUP == 0, requests));
        }
        for (int i = 0; i < DISCOVERY_AGENTS; i++) {
            DiscoveryStandIn agent = new DiscoveryStandIn();
            agent.waitMillis = LONG_POLL_MILLIS;
            agent.list(true, hostEntries());
            discoveries.add(agent);
        }
        for (int i = 0; i < plan.routers(); i++) {
            int port = freePort(random);
            discoveryOfRouter.put(i, i % DISCOVERY_AGENTS);
            ChildProcesses.Program program = processes.program("n" + i, configuration(i, port), TRACE_OPTIONS, "serve");
            FaultPlan faults = new FaultPlan(folder.resolve("plan" + i));
            program.environment("LD_PRELOAD", shim.library().toString());
            program.environment("FAULT_SHIM_PLAN", faults.file().toString());
            routers.add(new SoakRouter(i, port, program, faults, violations));
        }
        clients = new SoakClients(routers, requests, violations);
        List<Thread> starts = new ArrayList<>();
        routers.forEach(router -> starts.add(StandInThreads.spawn(router::start)));
        starts.forEach(start -> StandInThreads.join(start, START_TIMEOUT_MILLIS));
    }

    /**
     * Returns a free port below the range of ephemeral ports: an outgoing connection that got the port of a stopped
     * router would keep the router from listening on it again.
     */
    private static int freePort(SplittableRandom random) throws IOException {
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            try (ServerSocket free =
                    new ServerSocket(MIN_PORT + random.nextInt(PORT_COUNT), 5, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                // The port is in use; the next attempt draws another.
            }
        }
        throw new IOException("no free port found");
    }

    private String configuration(int router, int port) {
        return SoakConfiguration.of(
                "n" + router,
                port,
                discoveries.get(discoveryOfRouter.get(router)).port(),
                plan,
                hostEntries());
    }

    private String hostEntries() {
        return hosts.stream().map(SoakHost::entry).collect(Collectors.joining(","));
    }

    /** Returns whether the routers poll discovery, instead of receiving pushed changes. */
    boolean pollsDiscovery() {
        return plan.pollsDiscovery();
    }

    List<SoakRouter> routers() {
        return routers;
    }

    List<SoakHost> hosts() {
        return hosts;
    }

    List<DiscoveryStandIn> discoveries() {
        return discoveries;
    }

    SoakClients clients() {
        return clients;
    }

    Map<String, Request> requests() {
        return requests;
    }

    List<String> violations() {
        return violations;
    }

    List<Interval> discoveryFaults() {
        return discoveryFaults;
    }

    /** Publishes the current entry of this host to all discovery agents. */
    void publish(SoakHost host) {
        discoveries.forEach(agent -> agent.list(false, host.entry()));
    }

    /** Moves this router to the other discovery agent by a new configuration. */
    void moveDiscovery(SoakRouter router) throws IOException, InterruptedException {
        recordDiscoveryFault(true);
        discoveryOfRouter.merge(router.number, 1, (current, step) -> (current + step) % DISCOVERY_AGENTS);
        restoreConfiguration(router);
        recordDiscoveryFault(false);
    }

    /** Makes this router reload its valid configuration. */
    void restoreConfiguration(SoakRouter router) throws IOException, InterruptedException {
        router.reload(configuration(router.number, router.port));
    }

    /** Records the start or the end of a fault of some discovery agent; overlapping faults count as one interval. */
    synchronized void recordDiscoveryFault(boolean begins) {
        if (begins && activeDiscoveryFaults++ == 0) {
            faultStartNanos = System.nanoTime();
            discoveryFaults.add(new Interval(faultStartNanos, Long.MAX_VALUE));
        } else if (!begins && --activeDiscoveryFaults == 0) {
            discoveryFaults.remove(discoveryFaults.size() - 1);
            discoveryFaults.add(new Interval(faultStartNanos, System.nanoTime()));
        }
    }

    /** Ends all delays, resets and excess lag of this host. */
    static void resetDelays(SoakHost host) {
        host.proxy().acceptDelayMillis = 0;
        host.proxy().resetsPerMille = 0;
        host.proxy().idleCloseMillis = 0;
        host.delayMillis = DEFAULT_DELAY_MILLIS;
        host.lagMillis = DEFAULT_LAG_MILLIS;
    }

    /** Terminates all routers; one that is not running is a violation. */
    void end() throws IOException, InterruptedException {
        List<Thread> stops = new ArrayList<>();
        for (SoakRouter router : routers) {
            if (!router.alive()) {
                violations.add("router " + router.number + " had exited before it was stopped");
                continue;
            }
            stops.add(StandInThreads.spawn(router::terminate));
        }
        stops.forEach(stop -> StandInThreads.join(stop, STOP_TIMEOUT_MILLIS));
    }

    @Override
    public void close() throws IOException {
        processes.close();
        for (SoakHost host : hosts) {
            host.close();
        }
        for (DiscoveryStandIn agent : discoveries) {
            agent.close();
        }
    }
}
