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

/** Runs the feed's scenario with injected faults. */
@Command(
        name = "feed",
        mixinStandardHelpOptions = true,
        description = "The feed: relays and leaders killed, stopped and partitioned during changes.",
        exitCodeList = {"0:every rule held", "1:one was broken", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LabFeedCommand implements Callable<Integer> {
    /** Memory for a simulated router and the relay's side of its connection; measured, see docs/feed.md. */
    private static final long BYTES_PER_ROUTER = 384 * 1024;

    private static final int MIN_ROUTERS = 8;
    /** Both ends of a connection, and both again where a fault relay is between. */
    private static final int DESCRIPTORS_PER_ROUTER = 2;

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
        long maxRouters = maxRouters();
        if (routers < MIN_ROUTERS || routers > maxRouters) {
            return usageError(MIN_ROUTERS + " to " + maxRouters + " hollow routers on this machine, not " + routers);
        }
        if (relays < 2 || relays > 8 || count < 0 || count > 50 || every < 10 || steady < 100 || steady > 600_000) {
            return usageError("2 to 8 relays, up to 50 faults, changes every 10 ms or more, for 100 ms to 10 min");
        }
        try {
            Class.forName("org.apache.ratis.server.RaftServer");
        } catch (ClassNotFoundException e) {
            return usageError("grantors need Apache Ratis: -cp 'target/beaconladder.jar:target/grantors/*' "
                    + "beaconladder.app.Main instead of -jar");
        }
        return new FeedScenario(
                                seed,
                                FeedScenario.Size.of(relays, routers, every, steady),
                                spec.commandLine().getOut())
                        .run(faults == null ? List.of(FeedFault.values()) : faults, count)
                ? 0
                : 1;
    }

    /**
     * Bounded by half of the machine's memory, and by the descriptors of the process with the fault-injecting relays.
     */
    private static long maxRouters() {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            return Math.min(
                    system.getTotalMemorySize() / 2 / BYTES_PER_ROUTER,
                    (system.getMaxFileDescriptorCount() - 1_024) / DESCRIPTORS_PER_ROUTER);
        }
        return 1_000;
    }

    private int usageError(String message) {
        spec.commandLine().getErr().println("beaconladder: " + message);
        return 2;
    }

    /** A process of simulated routers; started by the scenario. */
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
            Map<String, InetSocketAddress> addresses = new TreeMap<>();
            for (String relay : relays) {
                addresses.put(
                        relay.substring(0, relay.indexOf('=')),
                        EndpointWatch.parseAddress(relay.substring(relay.indexOf('=') + 1)));
            }
            FeedRouters.run(prefix, from, count, addresses, journal);
            return 0;
        }
    }
}
