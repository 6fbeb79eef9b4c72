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
 * Routers restarted a tenth at a time, by SIGTERM and then SIGKILL, while clients go on sending on every connection
 * that stays open. Judged by what clients and hosts saw.
 */
public final class RestartScenario {
    /** What happens to a router that is to end. */
    public enum Fault {
        /** SIGKILL no sooner than the protocol has it: all that was taken has its answer by then. */
        PLANNED,
        /** SIGKILL anywhere in the drain: what was in hand is lost, and nothing else. */
        KILLED_EARLY,
        /** A second SIGTERM in the drain. */
        TOLD_TWICE,
        /** SIGTERM again before its successor is ready. */
        TOLD_WHILE_STARTING,
        /** Hosts that take most of a txn's time. */
        SLOW_HOSTS,
        /** Discovery says nothing while it ends and its successor starts. */
        SILENT_DISCOVERY
    }

    /** SIGKILL comes this long after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s. */
    private static final int KILL_MILLIS = 3_700;

    private static final int READY_MILLIS = 30_000;
    private static final int SLOW_MILLIS = 1_200;

    /** One router, over all its lives. */
    private record Router(ChildProcesses.Program program, int port) {}

    private final long seed;
    private final int count;
    private final PrintWriter out;
    private final SplittableRandom chance;
    private final List<HostStandIn> hosts = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final Set<Integer> kills = ConcurrentHashMap.newKeySet();
    private final List<String> broken = new CopyOnWriteArrayList<>();
    private final List<Long> ends = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> starts = Collections.synchronizedList(new ArrayList<>());
    private final Map<Fault, Integer> played = new ConcurrentHashMap<>();
    private DiscoveryStandIn discovery;
    private PipeliningClients writers;
    private volatile boolean over;

    public RestartScenario(long seed, int routers, PrintWriter out) {
        this.seed = seed;
        this.count = routers;
        this.out = out;
        this.chance = new SplittableRandom(seed);
    }

    /** Plays it; whether every rule held. */
    public boolean play(List<Fault> from) throws IOException, InterruptedException {
        List<Thread> clients = new ArrayList<>();
        try (ChildProcesses programs = new ChildProcesses(Files.createTempDirectory("restarts"))) {
            standUp(programs);
            for (int i = 0; i < 3 * count; i++) {
                clients.add(client(i, chance.split()));
            }
            int wave = Math.max(1, count / 10);
            for (int first = 0; first < count; first += wave) {
                wave(routers.subList(first, Math.min(count, first + wave)), from.get(chance.nextInt(from.size())));
            }
            // The clients end before the routers do: what they have out is answered first.
            over = true;
            clients.forEach(client -> StandInThreads.join(client, READY_MILLIS));
        } finally {
            over = true;
            for (HostStandIn host : hosts) {
                host.close();
            }
            discovery.close();
        }
        return verdict();
    }

    private void standUp(ChildProcesses programs) throws IOException {
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
        writers = new PipeliningClients(hosts, kills::contains);
        delay(5);
        for (int i = 0; i < count; i++) {
            int port = ChildProcesses.freePort();
            routers.add(new Router(
                    programs.program("n" + i, RouterFile.of("n" + i, port, discovery, 256, 144, known), "serve"),
                    port));
        }
        all(routers, this::start);
    }

    /** One client in three comes anew each time; the others never leave a connection idle. */
    private Thread client(int n, SplittableRandom own) {
        return StandInThreads.spawn(() -> {
            for (int k = 0; !over; k++) {
                int port = routers.get(own.nextInt(count)).port();
                String name = "c" + n + "-" + k;
                try {
                    if (n % 3 == 0) {
                        writers.batch(port, name, 1 + own.nextInt(5), own, () -> over);
                    } else {
                        writers.stream(port, name, 1 + own.nextInt(5), own, () -> over);
                    }
                } catch (IOException e) {
                    broken.add(name + " " + e);
                }
            }
        });
    }

    private void wave(List<Router> of, Fault fault) throws InterruptedException {
        played.merge(fault, of.size(), Integer::sum);
        out.println("wave of " + of.size() + ": " + name(fault));
        out.flush();
        StandInThreads.sleep(300);
        SplittableRandom own = chance.split();
        if (fault == Fault.SLOW_HOSTS) {
            delay(SLOW_MILLIS);
        } else if (fault == Fault.SILENT_DISCOVERY) {
            discovery.silenceOpenConnections();
            discovery.manner = DiscoveryStandIn.Manner.SILENT;
        }
        int at = 50 + own.nextInt(KILL_MILLIS - 700);
        all(of, router -> {
            stop(router, fault, at);
            start(router);
            if (fault == Fault.TOLD_WHILE_STARTING) {
                stop(router, Fault.PLANNED, 0);
                router.program().start();
                StandInThreads.sleep(at / 4);
                stop(router, fault, 0);
                start(router);
            }
        });
        delay(5);
        discovery.manner = DiscoveryStandIn.Manner.ANSWER;
    }

    /** SIGTERM, the fault, and SIGKILL where it has not ended by then. */
    private void stop(Router router, Fault fault, int at) throws IOException, InterruptedException {
        long from = System.nanoTime();
        router.program().signal("TERM");
        if (fault == Fault.KILLED_EARLY) {
            StandInThreads.sleep(at);
            kills.add(router.port());
            router.program().kill();
            return;
        }
        if (fault == Fault.TOLD_TWICE) {
            StandInThreads.sleep(Math.min(at, 600));
            router.program().signal("TERM");
        }
        long left = KILL_MILLIS - (System.nanoTime() - from) / 1_000_000;
        if (!router.program().ended(Math.max(0, left))) {
            // No excuse for what is unanswered now.
            router.program().kill();
        } else if (router.program().exit() != 0 && fault != Fault.TOLD_WHILE_STARTING) {
            broken.add(name(fault) + ": ended with " + router.program().exit());
        }
        if (fault != Fault.TOLD_WHILE_STARTING) {
            ends.add((System.nanoTime() - from) / 1_000_000);
        }
    }

    private void start(Router router) throws IOException {
        long from = System.nanoTime();
        router.program().start();
        while (System.nanoTime() - from < READY_MILLIS * 1_000_000L) {
            try (ClientLoad.Line line = new ClientLoad.Line(router.port(), 0)) {
                line.send("");
                if (line.answer()) {
                    kills.remove(router.port());
                    starts.add((System.nanoTime() - from) / 1_000_000);
                    return;
                }
            } catch (IOException e) {
                StandInThreads.sleep(10);
            }
        }
        broken.add("not ready in time\n" + router.program().log());
    }

    private interface Step {
        void take(Router router) throws IOException, InterruptedException;
    }

    private void all(List<Router> of, Step step) {
        List<Thread> threads = new ArrayList<>();
        for (Router router : of) {
            threads.add(StandInThreads.spawn(() -> step.take(router)));
        }
        threads.forEach(thread -> StandInThreads.join(thread, 4 * READY_MILLIS));
    }

    private void delay(int millis) {
        hosts.forEach(host -> host.delayMillis = millis);
    }

    private boolean verdict() {
        broken.addAll(writers.odd);
        writers.writesThatRanTwice().forEach(id -> broken.add("ran twice: " + id));
        if (writers.served.get() < 100 * count || writers.unread.get() == 0) {
            broken.add("too little was served, or nothing ended under a query: this has shown nothing");
        }
        broken.stream().limit(5).forEach(out::println);
        Collections.sort(ends);
        Collections.sort(starts);
        out.printf(
                Locale.ROOT,
                "{\"rehearsal\":\"restarts\",\"seed\":%d,\"routers\":%d,\"faults\":{%s},"
                        + "\"txns\":%d,\"served\":%d,\"declined\":%d,\"declined_share\":%.4f,\"unread_ends\":%d,"
                        + "\"in_hand_at_kills\":%d,\"end_ms_median\":%d,\"end_ms_most\":%d,\"ready_ms_most\":%d,"
                        + "\"broken\":%d}%n",
                seed,
                count,
                played.entrySet().stream()
                        .map(e -> "\"" + name(e.getKey()) + "\":" + e.getValue())
                        .sorted()
                        .collect(Collectors.joining(",")),
                writers.answered.get(),
                writers.served.get(),
                writers.declined.get(),
                writers.declined.get() / Math.max(1.0, writers.answered.get()),
                writers.unread.get(),
                writers.killed.get(),
                ends.isEmpty() ? 0 : ends.get(ends.size() / 2),
                ends.isEmpty() ? 0 : ends.get(ends.size() - 1),
                starts.get(starts.size() - 1),
                broken.size());
        out.flush();
        return broken.isEmpty();
    }

    private static String name(Fault fault) {
        return fault.name().toLowerCase(Locale.ROOT);
    }
}
