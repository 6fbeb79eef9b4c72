package beaconladder.app;

import beaconladder.lab.CellsRehearsal;
import beaconladder.lab.CellsRehearsal.Fault;
import beaconladder.lab.CellsRehearsal.Size;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The laboratory: rehearsals between stand-ins, on loopback. */
@Command(name = "lab", mixinStandardHelpOptions = true,
        description = "Rehearse between stand-ins on loopback, judged by what clients and hosts saw.",
        exitCodeList = {"0:every rule held", "1:one was broken", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "the name of a rehearsal belongs here");
    }

    @Command(name = "cells", mixinStandardHelpOptions = true,
            description = "Cells: a flood, and moves that are interrupted.")
    int cells(@Option(names = "--seed", defaultValue = "1", description = "Same seed, same script.") long seed,
            @Option(names = "--small", description = "A small installation, as in CI.") boolean small,
            @Option(names = "--faults", split = ",", paramLabel = "FAULT",
                    description = "Draw from these only.") List<Fault> faults,
            @Option(names = "--no-flood", description = "Without the flood.") boolean noFlood,
            @Option(names = "--list", description = "Name the faults.") boolean list)
            throws IOException, InterruptedException {
        if (list) {
            spec.commandLine().getOut().println(Arrays.stream(Fault.values())
                    .map(f -> f.name().toLowerCase(java.util.Locale.ROOT)).collect(Collectors.joining("\n")));
            return 0;
        }
        List<Fault> from = faults == null ? List.of(Fault.values()) : faults;
        return new CellsRehearsal(small ? Size.SMALL : Size.FULL, seed, spec.commandLine().getOut())
                .play(from, !noFlood) ? 0 : 1;
    }
}
