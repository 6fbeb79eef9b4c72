package beaconladder.app;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line. */
@Command(
        name = "beaconladder",
        mixinStandardHelpOptions = true,
        version = "beaconladder 0.1.0",
        description = "A router before database primaries and their replicas.",
        subcommands = {
            ServeCommand.class,
            DrillCommand.class,
            CheckCommand.class,
            CellsCommand.class,
            LeaseCommand.class,
            MembersCommand.class,
            FeedCommand.class,
            LabCommand.class
        })
public final class Main implements Runnable {
    @Spec
    private CommandSpec spec;

    private Main() {}

    /** The two plain calls go their way at once: reading them with a library would be a tenth of a restart. */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(ServeCommand.serve(null));
        }
        if (args.length == 1 && args[0].equals("drill")) {
            System.exit(DrillCommand.drill());
        }
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("beaconladder: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
                    return 1;
                });
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is missing");
    }
}
