package beaconladder.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** The commands with their parameters and options, by the names that the scripts of operators use. */
class CommandNamesTest {
    private static final String COMMANDS = """
            beaconladder
            beaconladder cells
            beaconladder cells keep --plan=
            beaconladder cells move TENANT CELL --no-wait --plan=
            beaconladder cells plan --moves= --plan= --seconds= --seed= --without=
            beaconladder cells show --plan=
            beaconladder cells undo TENANT --plan=
            beaconladder check FILE
            beaconladder drill
            beaconladder feed
            beaconladder feed propose --against=! --plan= --remove= --set=
            beaconladder feed relay --at=! --name=! --plan= --routers= --store=
            beaconladder feed status --plan=
            beaconladder lab
            beaconladder lab cells --faults= --list --no-flood --seed= --small
            beaconladder lab demo
            beaconladder lab feed --count= --every= --faults= --list --relays= --routers= --seed= --steady=
            beaconladder lab feed-routers --count=! --from=! --journal=! --prefix=! --relays=!
            beaconladder lab holder --clock= --gossip= --name=! --plan= --resources=! --task=!
            beaconladder lab lease --count= --faults= --list --seed=
            beaconladder lab restarts --faults= --list --routers= --seed=
            beaconladder lab scale --list --part= --seed= --sizes= --small
            beaconladder lab sizes --cells= --routers= --seconds= --seed= --tenants=
            beaconladder lab soak --ask --list --quiet= --rounds= --routers= --seed= --troubles=
            beaconladder lab up
            beaconladder lease
            beaconladder lease grant --clock= --name=! --plan=
            beaconladder lease hand-over TASK NAME --plan=
            beaconladder lease status --plan=
            beaconladder members --plan=
            beaconladder serve --feed-journal= --feed-store= --feed= --plan=
            """;

    @Test
    void everyCommandHasItsParametersAndOptions() {
        List<String> lines = new ArrayList<>();
        list(Main.line(), lines);
        assertThat(String.join("\n", lines) + "\n").isEqualTo(COMMANDS);
    }

    /** One line a command; a required option ends in "!", one that takes a value in "=". */
    private static void list(CommandLine line, List<String> into) {
        CommandLine.Model.CommandSpec spec = line.getCommandSpec();
        String positional = spec.positionalParameters().stream()
                .map(each -> " " + each.paramLabel())
                .collect(Collectors.joining());
        String options = spec.options().stream()
                .filter(each -> !each.usageHelp() && !each.versionHelp())
                .map(each -> " " + String.join("|", each.names())
                        + (each.arity().max() > 0 ? "=" : "") + (each.required() ? "!" : ""))
                .sorted()
                .collect(Collectors.joining());
        into.add(spec.qualifiedName() + positional + options);
        new TreeMap<>(line.getSubcommands()).values().forEach(each -> list(each, into));
    }
}
