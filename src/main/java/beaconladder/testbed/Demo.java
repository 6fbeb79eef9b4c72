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

/** A demonstration for newcomers: routers between stand-ins, some faults, and the outcomes of transactions. */
public final class Demo {
    private static final int SECOND_MILLIS = 1_000;
    private static final String TENANTS = """
            (tenant acme (cell c0) (load 30txns/s)) (tenant beta (cell c0) (load 20txns/s))
            (tenant corp (cell c1) (load 10txns/s)) (tenant dune (cell c1) (load 10txns/s))
            """;

    private final PrintWriter out;
    private final InvariantChecker checker = new InvariantChecker();
    private TestDeployment deployment;
    private int ranCount;

    public Demo(PrintWriter out) {
        this.out = out;
    }

    /** Starts the same deployment under a usual load, without faults, until terminated, for moving tenants by hand. */
    public void runUntilStopped() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("up");
        try (TestDeployment started = new TestDeployment(folder, 2, 1, 3, 2, 8, TENANTS);
                ClientLoad load = load(started)) {
            Runtime.getRuntime().addShutdownHook(new Thread(started.programs::close));
            deployment = started;
            out.println("two routers at 127.0.0.1:" + started.port(0) + " and 127.0.0.1:" + started.port(1)
                    + ", their hosts and the coordinator run until this process ends. In another terminal:");
            for (String command : List.of("show", "move acme c1", "show", "move acme c0", "plan")) {
                out.println("  java -jar target/beaconladder.jar cells " + command + " --plan " + started.plan);
            }
            while (true) {
                load.await(0);
                printSeconds(5, "");
            }
        }
    }

    private ClientLoad load(TestDeployment target) {
        return new ClientLoad(
                checker,
                target,
                List.of("acme", "beta", "corp", "dune"),
                new int[] {0, 0, 1, 1},
                new int[] {0, 0, 1, 1},
                "k",
                12,
                15,
                1);
    }

    /** Runs the demonstration; returns whether there was no violation. */
    public boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("demo");
        out.println("Two cells (c0: group 0, c1: group 1) of one primary and two replicas each, two routers,"
                + " a"
                + " coordinator;\nall of them on loopback, with stand-ins as hosts.");
        try (TestDeployment started = new TestDeployment(folder, 2, 1, 3, 2, 8, TENANTS)) {
            deployment = started;
            try (ClientLoad load = load(started)) {
                load.await(300);
                printSeconds(2, "usual load");
                deployment.ground.list(deployment.ground.replica(0).id, "Terminating");
                printSeconds(
                        2, deployment.ground.replica(0).id + ", a replica, drains: reads go to other hosts at once");
                deployment.keeper("/v1/move?tenant=acme&to=c1");
                printSeconds(2, "tenant acme moves from c0 to c1, from group 0 to group 1");
                ReplicatedHost primary = deployment.ground.primary(1);
                primary.crash();
                printSeconds(1, primary.id + ", the primary of c1, crashes: writes there wait or are declined");
                ReplicatedHost next = deployment.ground.failOver(1);
                printSeconds(2, next.id + " takes over");
                primary.restart();
                printSeconds(2, primary.id + " comes back as a replica");
            }
            Thread.sleep(300);
            List<InvariantChecker.Violation> violations = checker.findViolations(deployment.ground, group -> group);
            Map<End, Long> ends = checker.asked.stream()
                    .collect(Collectors.groupingBy(InvariantChecker.Asked::end, TreeMap::new, Collectors.counting()));
            out.printf(
                    "%n%d txns: %s%n",
                    checker.asked.size(),
                    ends.entrySet().stream()
                            .map(e -> e.getValue() + " "
                                    + e.getKey()
                                            .name()
                                            .toLowerCase(java.util.Locale.ROOT)
                                            .replace('_', ' '))
                            .collect(Collectors.joining(", ")));
            boolean[] cells = InvariantChecker.allCells(2);
            out.printf(
                    "half of the answers within %d ms, 99 of 100 within %d ms%n",
                    checker.quantile(0.5, 0, Long.MAX_VALUE, cells), checker.quantile(0.99, 0, Long.MAX_VALUE, cells));
            out.println("acme is in " + deployment.cellOf("acme") + "; its move: " + deployment.state("acme"));
            violations.forEach(b -> out.println("BROKEN: " + b.rule() + ": " + b.example()));
            out.println(
                    violations.isEmpty() ? "every rule held, by what clients and hosts saw" : "a rule was violated");
            out.flush();
            return violations.isEmpty();
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            }
        }
    }

    private void printSeconds(int count, String heading) throws InterruptedException {
        out.println();
        out.println(heading);
        for (int i = 0; i < count; i++) {
            long startMillis = System.currentTimeMillis();
            int countBefore = ranCount;
            Thread.sleep(SECOND_MILLIS);
            List<HostFleet.Ran> now = List.copyOf(deployment.ground.ran);
            ranCount = now.size();
            Map<String, Long> hosts = now.subList(Math.min(countBefore, ranCount), ranCount).stream()
                    .collect(Collectors.groupingBy(HostFleet.Ran::host, TreeMap::new, Collectors.counting()));
            Map<End, Long> ends = checker.asked.stream()
                    .filter(t -> t.answeredMillis() >= startMillis)
                    .collect(Collectors.groupingBy(InvariantChecker.Asked::end, TreeMap::new, Collectors.counting()));
            out.printf("  %s   ran at %s%n", ends, hosts);
            out.flush();
        }
    }
}
