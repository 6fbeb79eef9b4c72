package beaconladder.app;

import beaconladder.discovery.EndpointWatch;
import beaconladder.discovery.JsonReader;
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
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
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

/** Settings and plans by versions, for every router. */
@Command(
        name = "feed",
        mixinStandardHelpOptions = true,
        description = "Change what all routers are told, show with how many it is in force, or be a relay.",
        exitCodeList = {"0:done", "1:it could not be done", "2:what was given is wrong; nothing is applied"},
        exitCodeListHeading = "Exit codes:%n")
final class FeedCommand implements Runnable {
    /** A grantor that leads answers at once; one that does not after two elections at the latest. */
    private static final int CALL_MILLIS = 3_000;
    /** Descriptors of a relay beside its routers: the log, its disk, jars. */
    private static final int OWN_DESCRIPTORS = 128;
    /** Memory of a relay for each router: its thread's stack, buffers and name; docs/feed.md has the run. */
    private static final long ROUTER_BYTES = 160 * 1024;

    @Spec
    private CommandSpec spec;

    /** Something that was given is wrong: one line names it. */
    private static final class Wrong extends Exception {
        private static final long serialVersionUID = 1L;

        private Wrong(String message) {
            super(message);
        }
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of propose, status, relay belongs here");
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description = "Change documents, against the version that you have seen.")
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
                            description = "A document that is new or other; one named plan is checked as a plan, "
                                    + "*.json as JSON.")
                    Map<String, Path> set,
            @Option(names = "--remove", paramLabel = "NAME", description = "A document that is to be gone.")
                    List<String> remove)
            throws IOException {
        try {
            Map<String, String> texts = new TreeMap<>();
            for (Map.Entry<String, Path> each :
                    set == null ? Map.<String, Path>of().entrySet() : set.entrySet()) {
                texts.put(each.getKey(), text(each.getKey(), each.getValue()));
            }
            Proposal proposal = new Proposal(against, texts, remove == null ? List.of() : remove);
            try {
                proposal.validated();
            } catch (IOException e) {
                throw new Wrong(e.getMessage());
            }
            return told(new LogClient(grantors(file), CALL_MILLIS).propose(proposal), against);
        } catch (InvalidProposalException | Wrong e) {
            return wrong(e.getMessage());
        }
    }

    private int told(CommitResult written, long against) throws Wrong {
        switch (written.outcome()) {
            case COMMITTED -> {
                spec.commandLine().getOut().printf("version %d, digest %s%n", written.version(), written.digest());
                return 0;
            }
            case VERSION_CONFLICT ->
                throw new Wrong(
                        "out of turn: made against version " + against + ", but the newest is " + written.version());
            default ->
                throw new Wrong("too large: with it, all documents would be over " + VersionedState.MAX_CHARACTERS
                        + " characters, or too many");
        }
    }

    /** A document, with what can be checked of it here. */
    private static String text(String name, Path file) throws Wrong {
        String text;
        try {
            if (Files.size(file) > 4L * VersionedState.MAX_CHARACTERS) {
                throw new Wrong(file + " is too large: all documents together have at most "
                        + VersionedState.MAX_CHARACTERS + " characters");
            }
            text = Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new Wrong(file + " is not UTF-8");
        } catch (IOException e) {
            throw new Wrong(file + " can't be read: " + e);
        }
        if (name.equals("plan")) {
            PlanReader.Result read = PlanReader.read(file.toString(), text);
            if (read.plan() == null) {
                throw new Wrong(String.valueOf(read.faults().get(0)));
            }
        }
        if (name.endsWith(".json")) {
            try {
                JsonReader.parse(text);
            } catch (JsonReader.ParseException e) {
                throw new Wrong(file + ": " + e.getMessage());
            }
        }
        return text;
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Show the newest version and with how many routers it is in force.")
    int status(@Mixin CheckCommand.PlanOption file) throws IOException {
        RelayReports.FleetStatus sum;
        try {
            sum = new LogClient(grantors(file), CALL_MILLIS).status();
        } catch (Wrong e) {
            return wrong(e.getMessage());
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                "version %d, digest %s, %d documents of %d characters%n",
                sum.version(), sum.digest(), sum.entryCount(), sum.characterCount());
        sum.counts()
                .forEach(each -> out.printf(
                        "version %d: in force at %d routers, refused by %d%n",
                        each.version(), each.applied(), each.rejected()));
        out.printf("older: %d; heard within the last minute and silent now: at most %d%n", sum.older(), sum.silent());
        sum.relays()
                .forEach(each -> out.printf(
                        "relay %s: version %d, %d ms behind the log, told %d ms ago%n",
                        each.relay(), each.report().version(), each.report().lagMillis(), each.ageMillis()));
        if (sum.relays().isEmpty()) {
            out.println("no relay has told the leader of itself");
        }
        return 0;
    }

    @Command(
            name = "relay",
            mixinStandardHelpOptions = true,
            description = "Stand between the grantors and routers, until a signal ends it.")
    int relay(
            @Mixin CheckCommand.PlanOption file,
            @Option(names = "--name", required = true) String name,
            @Option(
                            names = "--at",
                            required = true,
                            paramLabel = "ADDRESS:PORT",
                            description = "Where routers reach it.")
                    String at,
            @Option(
                            names = "--store",
                            paramLabel = "FOLDER",
                            description = "Keeps its state for a start without grantors.")
                    Path store,
            @Option(
                            names = "--routers",
                            defaultValue = "2048",
                            description = "The most it bears (default: ${DEFAULT-VALUE}).")
                    int most)
            throws IOException, InterruptedException {
        Relay relay;
        try {
            List<InetSocketAddress> grantors = grantors(file);
            if (!Proposal.isValidName(name)) {
                throw new Wrong("'" + name + "' is no name of a relay");
            }
            InetSocketAddress address = EndpointWatch.parseAddress(at);
            if (address == null) {
                throw new Wrong("'" + at + "' is no address with a port");
            }
            bears(most);
            relay = new Relay(name, address, grantors, store, most);
        } catch (Wrong e) {
            return wrong(e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(relay::close));
        new CountDownLatch(1).await();
        return 0;
    }

    /** What the machine can't hold is refused at the start, not when a zone's routers come at once. */
    private static void bears(int most) throws Wrong {
        long descriptors = Long.MAX_VALUE;
        long memory = Long.MAX_VALUE;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            descriptors = system.getMaxFileDescriptorCount() - OWN_DESCRIPTORS;
            memory = system.getTotalMemorySize() / 2 / ROUTER_BYTES;
        }
        if (most < 1 || most > Math.min(descriptors, memory)) {
            throw new Wrong("a relay bears 1 to " + Math.min(descriptors, memory) + " routers here, not " + most);
        }
    }

    private List<InetSocketAddress> grantors(CheckCommand.PlanOption file) throws Wrong {
        PlanReader.Result read = PlanReader.read(file.file());
        if (read.plan() == null) {
            throw new Wrong(String.valueOf(read.faults().get(0)));
        }
        if (read.plan().leases() == null) {
            throw new Wrong(file.file() + " states no grantors, and so nobody who could be asked");
        }
        return read.plan().leases().grantors().stream().map(Plan.Grantor::at).toList();
    }

    private int wrong(String message) {
        spec.commandLine().getErr().println("beaconladder: " + message);
        return 2;
    }
}
