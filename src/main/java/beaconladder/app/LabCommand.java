package beaconladder.app;

import beaconladder.discovery.EndpointWatch;
import beaconladder.plan.Plan;
import beaconladder.testbed.CellSizes;
import beaconladder.testbed.CellsScenario;
import beaconladder.testbed.CellsScenario.Fault;
import beaconladder.testbed.CellsScenario.Size;
import beaconladder.testbed.Demo;
import beaconladder.testbed.LeaseHolder;
import beaconladder.testbed.LeaseScenario;
import beaconladder.testbed.RestartScenario;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The laboratory: rehearsals between stand-ins, on loopback. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Rehearse between stand-ins on loopback, judged by what clients and hosts saw.",
        subcommands = {LabFeedCommand.class, LabFeedCommand.Routers.class, LabSoakCommand.class, ScaleCommand.class},
        exitCodeList = {"0:every rule held", "1:one was broken", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "the name of a rehearsal belongs here");
    }

    @Command(
            name = "demo",
            mixinStandardHelpOptions = true,
            description = "Routers between stand-ins for some seconds, with a drain, a move and a failover.")
    int demo() throws IOException, InterruptedException {
        return new Demo(spec.commandLine().getOut()).run() ? 0 : 1;
    }

    @Command(
            name = "up",
            mixinStandardHelpOptions = true,
            description = "The same installation, until it is ended: move a tenant by hand.")
    void up() throws IOException, InterruptedException {
        new Demo(spec.commandLine().getOut()).runUntilStopped();
    }

    @Command(
            name = "sizes",
            mixinStandardHelpOptions = true,
            description = "Measure the pure parts of cells at a large size.")
    int sizes(
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--tenants", defaultValue = "10000") int tenants,
            @Option(names = "--cells", defaultValue = "64") int cells,
            @Option(names = "--routers", defaultValue = "320") int routers,
            @Option(names = "--seconds", defaultValue = "20", description = "For the planner.") int seconds) {
        if (tenants < 20 || cells < 2 || routers < 1 || seconds < 1) {
            throw new ParameterException(spec.commandLine(), "at least 20 tenants, 2 cells, a router and a second");
        }
        spec.commandLine().getOut().println(CellSizes.measure(tenants, cells, routers, seconds, seed));
        return 0;
    }

    @Command(
            name = "cells",
            mixinStandardHelpOptions = true,
            description = "Cells: a flood, and moves that are interrupted.")
    int cells(
            @Option(names = "--seed", defaultValue = "1", description = "Same seed, same script.") long seed,
            @Option(names = "--small", description = "A small installation, as in CI.") boolean small,
            @Option(names = "--faults", split = ",", paramLabel = "FAULT", description = "Draw from these only.")
                    List<Fault> faults,
            @Option(names = "--no-flood", description = "Without the flood.") boolean noFlood,
            @Option(names = "--list", description = "Name the faults.") boolean list)
            throws IOException, InterruptedException {
        if (list) {
            return named(Fault.values());
        }
        List<Fault> from = faults == null ? List.of(Fault.values()) : faults;
        return new CellsScenario(
                                small ? Size.SMALL : Size.FULL,
                                seed,
                                spec.commandLine().getOut())
                        .run(from, !noFlood)
                ? 0
                : 1;
    }

    @Command(
            name = "lease",
            mixinStandardHelpOptions = true,
            description = "Leases: grantors and holders that are stopped, killed, cut off and misled.")
    int lease(
            @Option(names = "--seed", defaultValue = "1", description = "Same seed, same script.") long seed,
            @Option(names = "--count", defaultValue = "4", description = "How many faults.") int count,
            @Option(names = "--faults", split = ",", paramLabel = "FAULT", description = "Draw from these only.")
                    List<LeaseScenario.Fault> faults,
            @Option(names = "--list", description = "Name the faults.") boolean list)
            throws IOException, InterruptedException {
        if (list) {
            return named(LeaseScenario.Fault.values());
        }
        return new LeaseScenario(seed, spec.commandLine().getOut())
                        .run(faults == null ? List.of(LeaseScenario.Fault.values()) : faults, count)
                ? 0
                : 1;
    }

    @Command(
            name = "restarts",
            mixinStandardHelpOptions = true,
            description = "Routers restarted a tenth at a time under clients that go on sending.")
    int restarts(
            @Option(names = "--seed", defaultValue = "1", description = "Same seed, same script.") long seed,
            @Option(names = "--routers", defaultValue = "20") int routers,
            @Option(names = "--faults", split = ",", paramLabel = "FAULT", description = "Draw from these only.")
                    List<RestartScenario.Fault> faults,
            @Option(names = "--list", description = "Name the faults.") boolean list)
            throws IOException, InterruptedException {
        if (list) {
            return named(RestartScenario.Fault.values());
        }
        if (routers < 1 || routers > 200) {
            throw new ParameterException(spec.commandLine(), "1 to 200 routers");
        }
        return new RestartScenario(seed, routers, spec.commandLine().getOut())
                        .run(faults == null ? List.of(RestartScenario.Fault.values()) : faults)
                ? 0
                : 1;
    }

    private int named(Enum<?>[] faults) {
        spec.commandLine()
                .getOut()
                .println(Arrays.stream(faults)
                        .map(f -> f.name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining("\n")));
        return 0;
    }

    /** A process of the rehearsal of leases. */
    @Command(name = "holder", hidden = true)
    int holder(
            @Mixin CheckCommand.PlanOption file,
            @Option(names = "--name", required = true) String name,
            @Option(names = "--task", required = true) String task,
            @Option(names = "--resources", split = ",", required = true) List<String> resources,
            @Option(names = "--clock") Path clock,
            @Option(names = "--gossip") String gossip)
            throws IOException, InterruptedException {
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan == null || plan.leases() == null) {
            return 1;
        }
        LeaseHolder.run(
                plan,
                name,
                task,
                resources.stream().map(EndpointWatch::parseAddress).toList(),
                clock,
                gossip);
        return 0;
    }
}
