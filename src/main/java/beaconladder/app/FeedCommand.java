package beaconladder.app;

import beaconladder.discovery.EndpointWatch;
import beaconladder.feed.CommitResult;
import beaconladder.feed.InvalidProposalException;
import beaconladder.feed.LogClient;
import beaconladder.feed.Proposal;
import beaconladder.feed.Relay;
import beaconladder.feed.RelayReports;
import beaconladder.feed.VersionedState;
import beaconladder.plan.Plan;
import beaconladder.plan.PlanReader;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Proposes versions of settings and plans, shows which are in force, and runs a relay. */
@Command(
        name = "feed",
        mixinStandardHelpOptions = true,
        description =
                "Change the settings and plan of all routers, show how many have a version in force, or run a relay.",
        exitCodeList = {"0:done", "1:it could not be done", "2:what was given is wrong; nothing is applied"},
        exitCodeListHeading = "Exit codes:%n")
final class FeedCommand implements Runnable {
    /** For each lease server: the leader responds at once, and any other after two elections at the latest. */
    private static final int CALL_TIMEOUT_MILLIS = 3_000;
    /** File descriptors that a relay needs beside its routers: the log, its disk, jars. */
    private static final int RESERVED_DESCRIPTORS = 128;
    /** Memory that a relay needs for each router: its thread's stack, buffers and name; measured, see docs/feed.md. */
    private static final long BYTES_PER_ROUTER = 160 * 1024;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of propose, status, relay belongs here");
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description = "Propose a change of documents, based on the newest version.")
    int propose(
            @Mixin CheckCommand.PlanOption file,
            @Option(
                            names = "--against",
                            required = true,
                            paramLabel = "VERSION",
                            description = "The newest version, as `feed status` shows it.")
                    long against,
            @Option(
                            names = "--set",
                            paramLabel = "NAME=FILE",
                            description = "A new or replaced document; one named plan is checked as a plan, "
                                    + "*.json as JSON.")
                    Map<String, Path> set,
            @Option(names = "--remove", paramLabel = "NAME", description = "A document to remove.") List<String> remove)
            throws IOException {
        try {
            Map<String, String> texts = new TreeMap<>();
            for (Map.Entry<String, Path> document :
                    set == null ? Map.<String, Path>of().entrySet() : set.entrySet()) {
                texts.put(document.getKey(), FeedDocumentReader.read(document.getKey(), document.getValue()));
            }
            Proposal proposal = new Proposal(against, texts, remove == null ? List.of() : remove);
            proposal.validated();
            return report(new LogClient(leaseServers(file), CALL_TIMEOUT_MILLIS).propose(proposal), against);
        } catch (InvalidProposalException | FeedInputException e) {
            return invalidInput(e.getMessage());
        }
    }

    private int report(CommitResult result, long against) throws FeedInputException {
        switch (result.outcome()) {
            case COMMITTED -> {
                spec.commandLine().getOut().printf("version %d, digest %s%n", result.version(), result.digest());
                return 0;
            }
            case VERSION_CONFLICT ->
                throw new FeedInputException(
                        "out of turn: made against version " + against + ", but the newest is " + result.version());
            default ->
                throw new FeedInputException("too large: with it, all documents would be over "
                        + VersionedState.MAX_CHARACTERS + " characters, or too many");
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Show the newest version and how many routers have it in force.")
    int status(@Mixin CheckCommand.PlanOption file) throws IOException {
        RelayReports.FleetStatus fleet;
        try {
            fleet = new LogClient(leaseServers(file), CALL_TIMEOUT_MILLIS).status();
        } catch (FeedInputException e) {
            return invalidInput(e.getMessage());
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                "version %d, digest %s, %d documents of %d characters%n",
                fleet.version(), fleet.digest(), fleet.entryCount(), fleet.characterCount());
        fleet.counts()
                .forEach(each -> out.printf(
                        "version %d: in force at %d routers, refused by %d%n",
                        each.version(), each.applied(), each.rejected()));
        out.printf(
                "older: %d; heard within the last minute and silent now: at most %d%n", fleet.older(), fleet.silent());
        fleet.relays()
                .forEach(each -> out.printf(
                        "relay %s: version %d, %d ms behind the log, told %d ms ago%n",
                        each.relay(), each.report().version(), each.report().lagMillis(), each.ageMillis()));
        if (fleet.relays().isEmpty()) {
            out.println("no relay has told the leader of itself");
        }
        return 0;
    }

    @Command(
            name = "relay",
            mixinStandardHelpOptions = true,
            description = "Run a relay between the lease servers and routers, until a signal ends it.")
    int relay(
            @Mixin CheckCommand.PlanOption file,
            @Option(names = "--name", required = true) String name,
            @Option(
                            names = "--at",
                            required = true,
                            paramLabel = "ADDRESS:PORT",
                            description = "The address where routers connect.")
                    String at,
            @Option(
                            names = "--store",
                            paramLabel = "FOLDER",
                            description = "Stores the state, for a start while no lease server responds.")
                    Path store,
            @Option(
                            names = "--routers",
                            defaultValue = "2048",
                            description = "The most routers it serves (default: ${DEFAULT-VALUE}).")
                    int maxRouters)
            throws IOException, InterruptedException {
        Relay relay;
        try {
            List<InetSocketAddress> leaseServers = leaseServers(file);
            if (!Proposal.isValidName(name)) {
                throw new FeedInputException("'" + name + "' is no name of a relay");
            }
            InetSocketAddress address = EndpointWatch.parseAddress(at);
            if (address == null) {
                throw new FeedInputException("'" + at + "' is no address with a port");
            }
            requireCapacity(maxRouters);
            relay = new Relay(name, address, leaseServers, store, maxRouters);
        } catch (FeedInputException e) {
            return invalidInput(e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(relay::close));
        new CountDownLatch(1).await();
        return 0;
    }

    /** Rejects a bound beyond the machine's capacity at the start, not when a zone's routers connect at once. */
    private static void requireCapacity(int maxRouters) throws FeedInputException {
        long descriptors = Long.MAX_VALUE;
        long memory = Long.MAX_VALUE;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            descriptors = system.getMaxFileDescriptorCount() - RESERVED_DESCRIPTORS;
            memory = system.getTotalMemorySize() / 2 / BYTES_PER_ROUTER;
        }
        long capacity = Math.min(descriptors, memory);
        if (maxRouters < 1 || maxRouters > capacity) {
            throw new FeedInputException("a relay bears 1 to " + capacity + " routers here, not " + maxRouters);
        }
    }

    private List<InetSocketAddress> leaseServers(CheckCommand.PlanOption file) throws FeedInputException {
        PlanReader.Result result = PlanReader.read(file.file());
        if (result.plan() == null) {
            throw new FeedInputException(String.valueOf(result.errors().get(0)));
        }
        if (result.plan().leases() == null) {
            throw new FeedInputException(file.file() + " states no grantors, and so nobody who could be asked");
        }
        return result.plan().leases().servers().stream()
                .map(Plan.LeaseServer::clientAddress)
                .toList();
    }

    private int invalidInput(String message) {
        spec.commandLine().getErr().println("beaconladder: " + message);
        return 2;
    }
}
