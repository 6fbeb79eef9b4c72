package beaconladder.app;

import beaconladder.testbed.scale.Scale;
import java.io.IOException;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What each part of a fleet costs by its size. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Scale: what each part of a fleet costs by its size, as lines that must foretell.",
        exitCodeList = {"0:every line and rule held", "1:one did not", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class ScaleCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "Same seed, same verdict.")
    private long seed;

    @Option(names = "--part", split = ",", paramLabel = "PART", description = "Measure these only.")
    private List<Scale.Name> parts;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            description = "Of one part, in place of its own; at least five.")
    private List<Integer> sizes;

    @Option(names = "--small", description = "Small sizes and short times, as in CI.")
    private boolean small;

    @Option(names = "--list", description = "Name the parts.")
    private boolean list;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (list) {
            spec.commandLine()
                    .getOut()
                    .println(Arrays.stream(Scale.Name.values())
                            .map(name -> name.name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining("\n")));
            return 0;
        }
        Set<Scale.Name> chosen = parts == null ? EnumSet.allOf(Scale.Name.class) : EnumSet.copyOf(parts);
        String objection = objection(chosen);
        if (objection != null) {
            // One line and no usage: a size is wrong for this machine, not for this command.
            spec.commandLine().getErr().println("beaconladder: " + objection);
            return 2;
        }
        return Scale.run(chosen, sizes, small, seed, spec.commandLine().getOut()) ? 0 : 1;
    }

    private String objection(Set<Scale.Name> chosen) throws IOException {
        if (sizes == null) {
            return null;
        }
        if (chosen.size() > 1) {
            throw new ParameterException(spec.commandLine(), "--sizes are of one part: name it by --part");
        }
        return Scale.validateSizes(chosen.iterator().next(), sizes, Scale.totalMemoryBytes());
    }
}
