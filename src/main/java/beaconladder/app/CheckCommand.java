package beaconladder.app;

import beaconladder.plan.Plan;
import beaconladder.plan.PlanError;
import beaconladder.plan.PlanReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a plan. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Check a plan and name every mistake in it.",
        exitCodeList = {"0:the plan is good", "1:it has mistakes", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The plan.")
    private Path file;

    @Override
    public Integer call() {
        Plan plan = plan(file, spec.commandLine());
        if (plan == null) {
            return 1;
        }
        spec.commandLine()
                .getOut()
                .printf(
                        "%s is good: %d cells, %d tenants, %s%n",
                        file,
                        plan.cells().size(),
                        plan.tenants().size(),
                        plan.coordinator() == null
                                ? "no keeper"
                                : "a keeper at " + plan.coordinator().address());
        return 0;
    }

    /** Reads a plan; null where it has mistakes, which are told. */
    static Plan plan(Path file, CommandLine line) {
        PlanReader.Result read = PlanReader.read(file);
        for (PlanError fault : read.errors()) {
            line.getErr().println(fault);
        }
        return read.plan();
    }

    /** The plan that a command is about, as an option of it. */
    static final class PlanOption {
        @Option(
                names = "--plan",
                paramLabel = "FILE",
                defaultValue = "deploy/router.plan",
                description = "The plan (default: ${DEFAULT-VALUE}).")
        private Path file;

        Path file() {
            return file;
        }
    }
}
