package beaconladder.app;

import beaconladder.testbed.soak.FaultKind;
import beaconladder.testbed.soak.Soak;
import beaconladder.testbed.soak.SoakPlan;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A randomized fault soak over real processes. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Real routers under two or three troubles at a time,",
            "judged by what clients and hosts saw; needs cc."
        },
        exitCodeList = {"0:every rule held", "1:one was broken", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LabSoakCommand implements Callable<Integer> {
    private static final int MOST_ROUTERS = 40;
    private static final int MOST_QUIET = 600;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "Same seed, same script.")
    private long seed;

    @Option(names = "--routers", defaultValue = "10")
    private int routers;

    @Option(names = "--rounds", defaultValue = "8", description = "Each takes about three seconds.")
    private int rounds;

    @Option(
            names = "--quiet",
            paramLabel = "SECONDS",
            defaultValue = "0",
            description = "All is well so long before the first round.")
    private int quiet;

    @Option(names = "--ask", description = "Discovery is one service that has to be asked.")
    private boolean asks;

    @Option(names = "--troubles", split = ",", paramLabel = "TROUBLE", description = "Draw from these only.")
    private List<FaultKind> troubles;

    @Option(names = "--list", description = "Name the troubles.")
    private boolean list;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (list) {
            spec.commandLine()
                    .getOut()
                    .println(Arrays.stream(FaultKind.values())
                            .map(trouble -> trouble.name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining("\n")));
            return 0;
        }
        if (routers < 1 || routers > MOST_ROUTERS || rounds < 1 || quiet < 0 || quiet > MOST_QUIET) {
            throw new ParameterException(
                    spec.commandLine(),
                    "1 to " + MOST_ROUTERS + " routers, a round at least, up to " + MOST_QUIET + " s of quiet");
        }
        List<FaultKind> from = troubles == null ? List.of(FaultKind.values()) : troubles;
        return new Soak(
                                new SoakPlan(seed, routers, rounds, quiet, asks, from),
                                spec.commandLine().getOut())
                        .play()
                ? 0
                : 1;
    }
}
