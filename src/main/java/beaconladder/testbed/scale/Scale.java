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

/** Runs the scale experiment: what each part of a fleet costs as its size grows. */
public final class Scale {
    /** The parts that can be measured; the names are values of the command line. */
    public enum Name {
        /** The endpoint list: a real router with N listed hosts, and many watches without a router. */
        LIST(ListPart::new),
        /** Fleet membership: one real process among N simulated peers, and N members in virtual time. */
        MEMBERS(MembersPart::new),
        /** Leases: three real lease servers with simulated clients, and the lease table by number of tasks. */
        LEASES(LeasesPart::new),
        /** Clients: a real router by number of idle connections and by transaction rate. */
        CLIENTS(ClientsPart::new),
        /** The coordinator of cells, by number of routers. */
        KEEPER(CoordinatorPart::new),
        /** The routing module: the cost of a transaction by number of hosts. */
        MODULE(RoutingPart::new),
        /** The record of replica positions by number of groups, and the loss of a zone as one router sees it. */
        POSITIONS(PositionsPart::new);

        private final Supplier<Part> part;

        Name(Supplier<Part> part) {
            this.part = part;
        }

        Part part() {
            return part.get();
        }
    }

    /** Parts lose a ninth of their hosts or members, so that each needs nine. */
    private static final int MIN_SIZE = 9;

    private Scale() {}

    /**
     * Returns why these sizes cannot be used for this part, or null if they can.
     *
     * @param memoryBytes total memory of this machine, in bytes
     */
    public static String validateSizes(Name name, List<Integer> sizes, long memoryBytes) {
        String part = name.name().toLowerCase(Locale.ROOT);
        if (sizes.size() < Slope.MIN_SIZES || sizes.stream().distinct().count() < sizes.size()) {
            return part + " needs " + Slope.MIN_SIZES + " sizes or more, each once";
        }
        int smallest = sizes.stream().min(Comparator.naturalOrder()).orElseThrow();
        if (smallest < MIN_SIZE) {
            return "size " + smallest + " of " + part + ": the least is 9";
        }
        int largest = sizes.stream().max(Comparator.naturalOrder()).orElseThrow();
        long neededBytes = name.part().estimatedMemoryBytes(sizes);
        return neededBytes <= memoryBytes / 2
                ? null
                : String.format(
                        Locale.ROOT,
                        "size %d of %s needs %.1f GB; half of this machine's memory is %.1f GB",
                        largest,
                        part,
                        neededBytes / 1e9,
                        memoryBytes / 2e9);
    }

    /** Returns the total memory of this machine, in bytes. */
    public static long totalMemoryBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/meminfo")).stream()
                .filter(s -> s.startsWith("MemTotal:"))
                .mapToLong(s -> Long.parseLong(s.replaceAll("\\D", "")) * 1024)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Measures the given parts and returns whether every fitted line and every rule held.
     *
     * @param sizes the sizes to measure in place of the parts' own, or null
     */
    public static boolean run(Set<Name> names, List<Integer> sizes, boolean small, long seed, PrintWriter out)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
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
                report.print(name.name().toLowerCase(Locale.ROOT));
                Part part = name.part();
                // Each part has its own random sequence, independent of which parts run before it.
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
        report.print(report.json((System.nanoTime() - startNanos) / 1_000_000_000));
        return report.held();
    }
}
