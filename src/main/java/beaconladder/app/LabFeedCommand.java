package beaconladder.app;

import beaconladder.discovery.EndpointWatch;
import beaconladder.testbed.FeedFault;
import beaconladder.testbed.FeedRouters;
import beaconladder.testbed.FeedScenario;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The rehearsal of the feed. */
@Command(
        name = "feed",
        mixinStandardHelpOptions = true,
        description = "The feed: relays and leaders killed, stopped and cut off amid changes.",
        exitCodeList = {"0:every rule held", "1:one was broken", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LabFeedCommand implements Callable<Integer> {
    /** Of a hollow router and its relay's side of it, as measured: docs/feed.md. */
    private static final long ROUTER_BYTES = 384 * 1024;

    private static final int LEAST = 8;
    /** Both ends of a connection, and both again where a fault relay is between. */
    private static final int DESCRIPTORS = 2;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "Same seed, same script.")
    private long seed;

    @Option(names = "--count", defaultValue = "2", description = "How many faults.")
    private int count;

    @Option(names = "--faults", split = ",", paramLabel = "FAULT", description = "Draw from these only.")
    private List<FeedFault> faults;

    @Option(names = "--list", description = "Name the faults.")
    private boolean list;

    @Option(names = "--routers", defaultValue = "100", description = "How many hollow routers.")
    private int routers;

    @Option(names = "--relays", defaultValue = "4", description = "How many relays.")
    private int relays;

    @Option(
            names = "--every",
            defaultValue = "1000",
            paramLabel = "MS",
            description = "Between two changes while nothing happens.")
    private int every;

    @Option(
            names = "--steady",
            defaultValue = "4000",
            paramLabel = "MS",
            description = "So long with changes and no fault, and half as long without any, before.")
    private int steady;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (list) {
            spec.commandLine()
                    .getOut()
                    .println(Arrays.stream(FeedFault.values())
                            .map(f -> f.name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining("\n")));
            return 0;
        }
        long most = most();
        if (routers < LEAST || routers > most) {
            return wrong(LEAST + " to " + most + " hollow routers on this machine, not " + routers);
        }
        if (relays < 2 || relays > 8 || count < 0 || count > 50 || every < 10 || steady < 100 || steady > 600_000) {
            return wrong("2 to 8 relays, up to 50 faults, changes every 10 ms or more, for 100 ms to 10 min");
        }
        try {
            Class.forName("org.apache.ratis.server.RaftServer");
        } catch (ClassNotFoundException e) {
            return wrong("grantors need Apache Ratis: -cp 'target/beaconladder.jar:target/grantors/*' "
                    + "beaconladder.app.Main instead of -jar");
        }
        return new FeedScenario(
                                seed,
                                FeedScenario.Size.of(relays, routers, every, steady),
                                spec.commandLine().getOut())
                        .play(faults == null ? List.of(FeedFault.values()) : faults, count)
                ? 0
                : 1;
    }

    /** Half of the machine's memory, and the descriptors of the process that has the fault relays. */
    private static long most() {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            return Math.min(
                    system.getTotalMemorySize() / 2 / ROUTER_BYTES,
                    (system.getMaxFileDescriptorCount() - 1_024) / DESCRIPTORS);
        }
        return 1_000;
    }

    private int wrong(String message) {
        spec.commandLine().getErr().println("beaconladder: " + message);
        return 2;
    }

    /** A process of the rehearsal. */
    @Command(name = "feed-routers", hidden = true)
    static final class Routers implements Callable<Integer> {
        @Option(names = "--prefix", required = true)
        private String prefix;

        @Option(names = "--from", required = true)
        private int from;

        @Option(names = "--count", required = true)
        private int count;

        @Option(names = "--relays", split = ",", required = true)
        private List<String> relays;

        @Option(names = "--journal", required = true)
        private Path journal;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Map<String, InetSocketAddress> all = new TreeMap<>();
            for (String each : relays) {
                all.put(
                        each.substring(0, each.indexOf('=')),
                        EndpointWatch.parseAddress(each.substring(each.indexOf('=') + 1)));
            }
            FeedRouters.run(prefix, from, count, all, journal);
            return 0;
        }
    }
}
