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

/** Routers, hosts, discovery's agents and clients of one soak. */
final class SoakFleet implements AutoCloseable {
    private static final int LOWEST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final int PORT_TRIES = 100;
    private static final int USUAL_MILLIS = 5;
    private static final int USUAL_LAG_MILLIS = 20;
    private static final List<String> TRACED = List.of(
            "-Dorg.slf4j.simpleLogger.log.beaconladder.trace=debug", "-Dorg.slf4j.simpleLogger.showDateTime=true");

    /** A span, System.nanoTime's; its end is Long.MAX_VALUE while it lasts. */
    record Span(long from, long to) {}

    private final SoakPlan plan;
    private final ChildProcesses programs;
    private final List<SoakRouter> routers = new ArrayList<>();
    private final List<SoakHost> hosts = new ArrayList<>();
    private final List<DiscoveryStandIn> discoveries = new ArrayList<>();
    private final Map<Integer, Integer> discoveryOf = new ConcurrentHashMap<>();
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final List<String> broken = new CopyOnWriteArrayList<>();
    private final List<Span> discoveryFaults = new CopyOnWriteArrayList<>();
    private final SoakClients clients;
    private int activeDiscoveryFaults;
    private long faultStartNanos;

    /** Stands it up and waits until all routers are ready. */
    SoakFleet(SoakPlan plan, Path folder, FaultShim shim, SplittableRandom random) throws IOException {
        this.plan = plan;
        programs = new ChildProcesses(folder);
        for (int i = 0; i < Soak.GROUPS * Soak.HOSTS_PER_GROUP; i++) {
            hosts.add(new SoakHost(i, 1 + i / Soak.HOSTS_PER_GROUP, i % Soak.HOSTS_PER_GROUP == 0, requests));
        }
        for (int i = 0; i < 2; i++) {
            DiscoveryStandIn agent = new DiscoveryStandIn();
            agent.waitMillis = 60_000;
            agent.list(true, known());
            discoveries.add(agent);
        }
        for (int i = 0; i < plan.routers(); i++) {
            int port = freePort(random);
            discoveryOf.put(i, i % 2);
            ChildProcesses.Program program = programs.program("n" + i, configuration(i, port), TRACED, "serve");
            FaultPlan faults = new FaultPlan(folder.resolve("plan" + i));
            program.environment("LD_PRELOAD", shim.library().toString());
            program.environment("FAULT_SHIM_PLAN", faults.file().toString());
            routers.add(new SoakRouter(i, port, program, faults, broken));
        }
        clients = new SoakClients(routers, requests, broken);
        List<Thread> starts = new ArrayList<>();
        routers.forEach(router -> starts.add(StandInThreads.spawn(router::start)));
        starts.forEach(start -> StandInThreads.join(start, 40_000));
    }

    /** Below the ports that the system gives to connections: one of those would keep a restarted router from it. */
    private static int freePort(SplittableRandom random) throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            try (ServerSocket free =
                    new ServerSocket(LOWEST_PORT + random.nextInt(PORTS), 5, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                // Another one.
            }
        }
        throw new IOException("no free port");
    }

    private String configuration(int router, int port) {
        return SoakConfiguration.of(
                "n" + router, port, discoveries.get(discoveryOf.get(router)).port(), plan, known());
    }

    private String known() {
        return hosts.stream().map(SoakHost::entry).collect(Collectors.joining(","));
    }

    /** Whether discovery has to be asked. */
    boolean asks() {
        return plan.asks();
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

    List<String> broken() {
        return broken;
    }

    List<Span> discoveryFaults() {
        return discoveryFaults;
    }

    /** Publishes the current entry of this host to all discovery agents. */
    void publish(SoakHost host) {
        discoveries.forEach(agent -> agent.list(false, host.entry()));
    }

    /** Moves this router to another discovery agent by a new configuration. */
    void moveDiscovery(SoakRouter router) throws IOException, InterruptedException {
        recordDiscoveryFault(true);
        discoveryOf.merge(router.number, 1, (at, one) -> (at + one) % 2);
        restoreConfiguration(router);
        recordDiscoveryFault(false);
    }

    /** Its configuration as it should be. */
    void restoreConfiguration(SoakRouter router) throws IOException, InterruptedException {
        router.reload(configuration(router.number, router.port));
    }

    /** Some discovery can't be reached from now on, or can again. */
    synchronized void recordDiscoveryFault(boolean begins) {
        if (begins && activeDiscoveryFaults++ == 0) {
            faultStartNanos = System.nanoTime();
            discoveryFaults.add(new Span(faultStartNanos, Long.MAX_VALUE));
        } else if (!begins && --activeDiscoveryFaults == 0) {
            discoveryFaults.remove(discoveryFaults.size() - 1);
            discoveryFaults.add(new Span(faultStartNanos, System.nanoTime()));
        }
    }

    /** Ends all delays, resets and excess lag of this host. */
    static void resetDelays(SoakHost host) {
        host.proxy().acceptDelayMillis = 0;
        host.proxy().resetsPerMille = 0;
        host.proxy().idleCloseMillis = 0;
        host.delayMillis = USUAL_MILLIS;
        host.lagMillis = USUAL_LAG_MILLIS;
    }

    /** The routers end as planned. */
    void end() throws IOException, InterruptedException {
        List<Thread> ends = new ArrayList<>();
        for (SoakRouter router : routers) {
            if (!router.alive()) {
                broken.add("router " + router.number + " had ended by itself");
                continue;
            }
            ends.add(StandInThreads.spawn(router::terminate));
        }
        ends.forEach(end -> StandInThreads.join(end, 10_000));
    }

    @Override
    public void close() throws IOException {
        programs.close();
        for (SoakHost host : hosts) {
            host.close();
        }
        for (DiscoveryStandIn agent : discoveries) {
            agent.close();
        }
    }
}
