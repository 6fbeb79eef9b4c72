package beaconladder.testbed;

import beaconladder.testbed.InvariantChecker.End;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** For who has just cloned it: routers between stand-ins, some troubles, and what comes of the txns meanwhile. */
public final class Demo {
    private static final int SECOND = 1_000;
    private static final String TENANTS = """
            (tenant acme (cell c0) (load 30txns/s)) (tenant beta (cell c0) (load 20txns/s))
            (tenant corp (cell c1) (load 10txns/s)) (tenant dune (cell c1) (load 10txns/s))
            """;

    private final PrintWriter out;
    private final InvariantChecker judge = new InvariantChecker();
    private TestDeployment all;
    private int ran;

    public Demo(PrintWriter out) {
        this.out = out;
    }

    /** Starts the same and stays, with a usual load, until it is ended: for whoever wants to move a tenant by hand. */
    public void stay() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("up");
        try (TestDeployment started = new TestDeployment(folder, 2, 1, 3, 2, 8, TENANTS);
                ClientLoad load = load(started)) {
            Runtime.getRuntime().addShutdownHook(new Thread(started.programs::close));
            all = started;
            out.println("two routers at 127.0.0.1:" + started.port(0) + " and 127.0.0.1:" + started.port(1)
                    + ", their hosts and the keeper are up until this is ended. In another terminal:");
            for (String what : List.of("show", "move acme c1", "show", "move acme c0", "plan")) {
                out.println("  java -jar target/beaconladder.jar cells " + what + " --plan " + started.plan);
            }
            while (true) {
                load.await(0);
                seconds(5, "");
            }
        }
    }

    private ClientLoad load(TestDeployment at) {
        return new ClientLoad(
                judge,
                at,
                List.of("acme", "beta", "corp", "dune"),
                new int[] {0, 0, 1, 1},
                new int[] {0, 0, 1, 1},
                "k",
                12,
                15,
                1);
    }

    /** Plays it; whether every rule held. */
    public boolean play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("demo");
        out.println("Two cells (c0: group 0, c1: group 1) of one primary and two replicas each, two routers,"
                + " a"
                + " keeper;\nall of them on loopback, the hosts played by stand-ins.");
        try (TestDeployment started = new TestDeployment(folder, 2, 1, 3, 2, 8, TENANTS)) {
            all = started;
            try (ClientLoad load = load(started)) {
                load.await(300);
                seconds(2, "usual load");
                all.ground.list(all.ground.replica(0).id, "Terminating");
                seconds(2, all.ground.replica(0).id + ", a replica, drains: reads go elsewhere at once");
                all.keeper("/v1/move?tenant=acme&to=c1");
                seconds(2, "tenant acme moves from c0 to c1, from group 0 to group 1");
                ReplicatedHost primary = all.ground.primary(1);
                primary.crash();
                seconds(1, primary.id + ", the primary of c1, dies: writes there wait or are declined");
                ReplicatedHost next = all.ground.failOver(1);
                seconds(2, next.id + " takes over");
                primary.restart();
                seconds(2, primary.id + " comes back as a replica");
            }
            Thread.sleep(300);
            List<InvariantChecker.Broken> broken = judge.broken(all.ground, group -> group);
            Map<End, Long> ends = judge.asked.stream()
                    .collect(Collectors.groupingBy(InvariantChecker.Asked::end, TreeMap::new, Collectors.counting()));
            out.printf(
                    "%n%d txns: %s%n",
                    judge.asked.size(),
                    ends.entrySet().stream()
                            .map(e -> e.getValue() + " "
                                    + e.getKey()
                                            .name()
                                            .toLowerCase(java.util.Locale.ROOT)
                                            .replace('_', ' '))
                            .collect(Collectors.joining(", ")));
            boolean[] every = InvariantChecker.all(2);
            out.printf(
                    "half of the answers within %d ms, 99 of 100 within %d ms%n",
                    judge.quantile(0.5, 0, Long.MAX_VALUE, every), judge.quantile(0.99, 0, Long.MAX_VALUE, every));
            out.println("acme lives in " + all.cellOf("acme") + "; its move: " + all.state("acme"));
            broken.forEach(b -> out.println("BROKEN: " + b.rule() + ": " + b.example()));
            out.println(broken.isEmpty() ? "every rule held, by what clients and hosts saw" : "a rule was broken");
            out.flush();
            return broken.isEmpty();
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            }
        }
    }

    private void seconds(int count, String what) throws InterruptedException {
        out.println();
        out.println(what);
        for (int i = 0; i < count; i++) {
            long from = System.currentTimeMillis();
            int before = ran;
            Thread.sleep(SECOND);
            List<HostFleet.Ran> now = List.copyOf(all.ground.ran);
            ran = now.size();
            Map<String, Long> hosts = now.subList(Math.min(before, ran), ran).stream()
                    .collect(Collectors.groupingBy(HostFleet.Ran::host, TreeMap::new, Collectors.counting()));
            Map<End, Long> ends = judge.asked.stream()
                    .filter(t -> t.answered() >= from)
                    .collect(Collectors.groupingBy(InvariantChecker.Asked::end, TreeMap::new, Collectors.counting()));
            out.printf("  %s   ran at %s%n", ends, hosts);
            out.flush();
        }
    }
}
