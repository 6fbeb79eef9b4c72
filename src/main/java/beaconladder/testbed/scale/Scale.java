package beaconladder.testbed.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** The scale tests, part by part. */
public final class Scale {
    /** What is measured. */
    public enum Name {
        /** The list of hosts: a real router before N listed hosts; hollow watches. */
        LIST(ListPart::new),
        /** The fleet's membership: one real member among N hollow ones; N hollow ones by themselves. */
        MEMBERS(MembersPart::new),
        /** Leases: three real grantors under hollow askers; the pure part by tasks. */
        LEASES(LeasesPart::new),
        /** Clients: a real router by connections, idle, and by txns. */
        CLIENTS(ClientsPart::new),
        /** The keeper of cells, by routers. */
        KEEPER(CoordinatorPart::new),
        /** The module: a txn's cost by the number of hosts. */
        MODULE(RoutingPart::new),
        /** The record of positions, by groups; a zone lost, as one router sees it. */
        POSITIONS(PositionsPart::new);

        private final Supplier<Part> part;

        Name(Supplier<Part> part) {
            this.part = part;
        }

        Part part() {
            return part.get();
        }
    }

    private Scale() {}

    /**
     * What is wrong with these sizes for this part, or null.
     *
     * @param memory of this machine, in bytes
     */
    public static String objection(Name name, List<Integer> sizes, long memory) {
        String part = name.name().toLowerCase(Locale.ROOT);
        if (sizes.size() < Slope.FEWEST || sizes.stream().distinct().count() < sizes.size()) {
            return part + " needs " + Slope.FEWEST + " sizes or more, each once";
        }
        int least = sizes.stream().min(Comparator.naturalOrder()).orElseThrow();
        if (least < 9) {
            return "size " + least + " of " + part + ": the least is 9";
        }
        int most = sizes.stream().max(Comparator.naturalOrder()).orElseThrow();
        long needs = name.part().bytes(sizes);
        return needs <= memory / 2
                ? null
                : String.format(
                        Locale.ROOT,
                        "size %d of %s needs %.1f GB; half of this machine's memory is %.1f GB",
                        most,
                        part,
                        needs / 1e9,
                        memory / 2e9);
    }

    /** Of this machine, in bytes. */
    public static long memory() throws IOException {
        return Files.readAllLines(Path.of("/proc/meminfo")).stream()
                .filter(s -> s.startsWith("MemTotal:"))
                .mapToLong(s -> Long.parseLong(s.replaceAll("\\D", "")) * 1024)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Measures; whether all lines and rules held.
     *
     * @param sizes in place of the parts' own, or null
     */
    public static boolean play(Set<Name> names, List<Integer> sizes, boolean small, long seed, PrintWriter out)
            throws IOException, InterruptedException {
        long from = System.nanoTime();
        Report report = new Report(
                out,
                seed,
                small,
                EnumSet.copyOf(names).stream()
                        .map(n -> n.name().toLowerCase(Locale.ROOT))
                        .toList());
        Path folder = Files.createTempDirectory("scale");
        try {
            for (Name name : EnumSet.copyOf(names)) {
                report.say(name.name().toLowerCase(Locale.ROOT));
                Part part = name.part();
                // Each part draws its own, whichever others are played before it.
                part.measure(
                        sizes == null ? part.sizes(small) : sizes,
                        small,
                        new SplittableRandom(seed * 31 + name.ordinal()),
                        folder,
                        report);
            }
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            }
        }
        report.say(report.json((System.nanoTime() - from) / 1_000_000_000));
        return report.held();
    }
}
