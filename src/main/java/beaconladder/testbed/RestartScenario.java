package beaconladder.testbed;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/**
 * Restarts routers a tenth at a time, by SIGTERM and then SIGKILL, while clients keep sending on every connection that
 * stays open, and checks what clients and hosts saw.
 */
public final class RestartScenario {
    /** Faults during the restart of a router. */
    public enum Fault {
        /** SIGKILL no earlier than the restart procedure allows: each accepted request is answered by then. */
        PLANNED,
        /** SIGKILL at any time in the drain: only the requests in flight are lost. */
        KILLED_EARLY,
        /** A second SIGTERM in the drain. */
        TOLD_TWICE,
        /** SIGTERM to the new process before it is ready. */
        TOLD_WHILE_STARTING,
        /** Slow hosts, which use most of a request's time budget. */
        SLOW_HOSTS,
        /** Discovery does not respond while the router ends and the new process starts. */
        SILENT_DISCOVERY
    }

    /** Delay from SIGTERM to SIGKILL: the longest deadline, taken as 3 s, plus 0.7 s. */
    private static final int KILL_DELAY_MILLIS = 3_700;

    private static final int START_TIMEOUT_MILLIS = 30_000;
    private static final int SLOW_HOST_MILLIS = 1_200;

    /** A router and its port, which stay the same over restarts. */
    private record Router(ChildProcesses.Program program, int port) {}

    private final long seed;
    private final int routerCount;
    private final PrintWriter out;
    private final SplittableRandom random;
    private final List<HostStandIn> hosts = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final Set<Integer> killedPorts = ConcurrentHashMap.newKeySet();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final List<Long> endMillis = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> startMillis = Collections.synchronizedList(new ArrayList<>());
    private final Map<Fault, Integer> routersByFault = new ConcurrentHashMap<>();
    private DiscoveryStandIn discovery;
    private PipeliningClients writers;
    private volatile boolean stopping;

    public RestartScenario(long seed, int routers, PrintWriter out) {
        this.seed = seed;
        this.routerCount = routers;
        this.out = out;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the scenario with faults drawn from these; returns whether there was no violation. */
    public boolean run(List<Fault> faults) throws IOException, InterruptedException {
        List<Thread> clients = new ArrayList<>();
        try (ChildProcesses programs = new ChildProcesses(Files.createTempDirectory("restarts"))) {
            startFleet(programs);
            for (int i = 0; i < 3 * routerCount; i++) {
                clients.add(startClient(i, random.split()));
            }
            int waveSize = Math.max(1, routerCount / 10);
            for (int first = 0; first < routerCount; first += waveSize) {
                restartWave(
                        routers.subList(first, Math.min(routerCount, first + waveSize)),
                        faults.get(random.nextInt(faults.size())));
            }
            // The clients end before the routers, so that their outstanding requests are answered.
            stopping = true;
            clients.forEach(client -> StandInThreads.join(client, START_TIMEOUT_MILLIS));
        } finally {
            stopping = true;
            for (HostStandIn host : hosts) {
                host.close();
            }
            discovery.close();
        }
        return report();
    }

    private void startFleet(ChildProcesses programs) throws IOException {
        for (String role : List.of("leader", "follower", "follower")) {
            hosts.add(new HostStandIn(role));
        }
        discovery = new DiscoveryStandIn();
        discovery.waitMillis = 60_000;
        String known = String.join(
                ",",
                hosts.get(0).entry("h0", "Ready"),
                hosts.get(1).entry("h1", "Ready"),
                hosts.get(2).entry("h2", "Ready"));
        discovery.list(true, known);
        writers = new PipeliningClients(hosts, killedPorts::contains);
        setHostDelay(5);
        for (int i = 0; i < routerCount; i++) {
            int port = ChildProcesses.freePort();
            routers.add(new Router(
                    programs.program("n" + i, RouterFile.of("n" + i, port, discovery, 256, 144, known), "serve"),
                    port));
        }
        inParallel(routers, this::start);
    }

    /** Starts a client; one in three connects anew for each batch, the others never leave a connection idle. */
    private Thread startClient(int n, SplittableRandom clientRandom) {
        return StandInThreads.spawn(() -> {
            for (int k = 0; !stopping; k++) {
                int port = routers.get(clientRandom.nextInt(routerCount)).port();
                String name = "c" + n + "-" + k;
                try {
                    if (n % 3 == 0) {
                        writers.batch(port, name, 1 + clientRandom.nextInt(5), clientRandom, () -> stopping);
                    } else {
                        writers.stream(port, name, 1 + clientRandom.nextInt(5), clientRandom, () -> stopping);
                    }
                } catch (IOException e) {
                    violations.add(name + " " + e);
                }
            }
        });
    }

    private void restartWave(List<Router> wave, Fault fault) throws InterruptedException {
        routersByFault.merge(fault, wave.size(), Integer::sum);
        out.println("wave of " + wave.size() + ": " + name(fault));
        out.flush();
        StandInThreads.sleep(300);
        SplittableRandom waveRandom = random.split();
        if (fault == Fault.SLOW_HOSTS) {
            setHostDelay(SLOW_HOST_MILLIS);
        } else if (fault == Fault.SILENT_DISCOVERY) {
            discovery.silenceOpenConnections();
            discovery.manner = DiscoveryStandIn.Manner.SILENT;
        }
        int faultDelayMillis = 50 + waveRandom.nextInt(KILL_DELAY_MILLIS - 700);
        inParallel(wave, router -> {
            stop(router, fault, faultDelayMillis);
            start(router);
            if (fault == Fault.TOLD_WHILE_STARTING) {
                stop(router, Fault.PLANNED, 0);
                router.program().start();
                StandInThreads.sleep(faultDelayMillis / 4);
                stop(router, fault, 0);
                start(router);
            }
        });
        setHostDelay(5);
        discovery.manner = DiscoveryStandIn.Manner.ANSWER;
    }

    /** Sends SIGTERM, injects the fault, and sends SIGKILL if the router has not ended in time. */
    private void stop(Router router, Fault fault, int faultDelayMillis) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        router.program().signal("TERM");
        if (fault == Fault.KILLED_EARLY) {
            StandInThreads.sleep(faultDelayMillis);
            killedPorts.add(router.port());
            router.program().kill();
            return;
        }
        if (fault == Fault.TOLD_TWICE) {
            StandInThreads.sleep(Math.min(faultDelayMillis, 600));
            router.program().signal("TERM");
        }
        long remainingMillis = KILL_DELAY_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
        if (!router.program().ended(Math.max(0, remainingMillis))) {
            // Unanswered requests count as violations here, as the router is not in killedPorts.
            router.program().kill();
        } else if (router.program().exit() != 0 && fault != Fault.TOLD_WHILE_STARTING) {
            violations.add(name(fault) + ": ended with " + router.program().exit());
        }
        if (fault != Fault.TOLD_WHILE_STARTING) {
            endMillis.add((System.nanoTime() - startNanos) / 1_000_000);
        }
    }

    private void start(Router router) throws IOException {
        long startNanos = System.nanoTime();
        router.program().start();
        while (System.nanoTime() - startNanos < START_TIMEOUT_MILLIS * 1_000_000L) {
            try (ClientLoad.Line line = new ClientLoad.Line(router.port(), 0)) {
                line.send("");
                if (line.answer()) {
                    killedPorts.remove(router.port());
                    startMillis.add((System.nanoTime() - startNanos) / 1_000_000);
                    return;
                }
            } catch (IOException e) {
                StandInThreads.sleep(10);
            }
        }
        violations.add("not ready in time\n" + router.program().log());
    }

    private interface RouterAction {
        void run(Router router) throws IOException, InterruptedException;
    }

    private void inParallel(List<Router> wave, RouterAction action) {
        List<Thread> threads = new ArrayList<>();
        for (Router router : wave) {
            threads.add(StandInThreads.spawn(() -> action.run(router)));
        }
        threads.forEach(thread -> StandInThreads.join(thread, 4 * START_TIMEOUT_MILLIS));
    }

    private void setHostDelay(int millis) {
        hosts.forEach(host -> host.delayMillis = millis);
    }

    private boolean report() {
        violations.addAll(writers.odd);
        writers.writesThatRanTwice().forEach(id -> violations.add("ran twice: " + id));
        if (writers.served.get() < 100 * routerCount || writers.unread.get() == 0) {
            violations.add(
                    "too few requests were served, or no connection ended under a request: the run is inconclusive");
        }
        violations.stream().limit(5).forEach(out::println);
        Collections.sort(endMillis);
        Collections.sort(startMillis);
        out.printf(
                Locale.ROOT,
                "{\"rehearsal\":\"restarts\",\"seed\":%d,\"routers\":%d,\"faults\":{%s},"
                        + "\"txns\":%d,\"served\":%d,\"declined\":%d,\"declined_share\":%.4f,\"unread_ends\":%d,"
                        + "\"in_hand_at_kills\":%d,\"end_ms_median\":%d,\"end_ms_most\":%d,\"ready_ms_most\":%d,"
                        + "\"broken\":%d}%n",
                seed,
                routerCount,
                routersByFault.entrySet().stream()
                        .map(e -> "\"" + name(e.getKey()) + "\":" + e.getValue())
                        .sorted()
                        .collect(Collectors.joining(",")),
                writers.answered.get(),
                writers.served.get(),
                writers.declined.get(),
                writers.declined.get() / Math.max(1.0, writers.answered.get()),
                writers.unread.get(),
                writers.killed.get(),
                endMillis.isEmpty() ? 0 : endMillis.get(endMillis.size() / 2),
                endMillis.isEmpty() ? 0 : endMillis.get(endMillis.size() - 1),
                startMillis.get(startMillis.size() - 1),
                violations.size());
        out.flush();
        return violations.isEmpty();
    }

    private static String name(Fault fault) {
        return fault.name().toLowerCase(Locale.ROOT);
    }
}
