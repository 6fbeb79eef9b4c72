package beaconladder.testbed.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What the system has counted of a process.
 *
 * @param cpuNanos processor time, its own and the system's for it
 * @param residentKb memory in place
 * @param descriptors open files and sockets
 * @param threads as many as it has now
 * @param at when it was read, by {@link System#nanoTime}
 */
record ProcessCounters(long cpuNanos, long residentKb, int descriptors, int threads, long at) {
    /** Linux tells processor time in hundredths of a second on every machine that this runs on. */
    private static final long TICK_NANOS = 10_000_000;
    /** Behind the name in brackets: utime and stime are fields 14 and 15 of all. */
    private static final int USER = 11;

    static ProcessCounters of(long pid) throws IOException {
        Path proc = Path.of("/proc", String.valueOf(pid));
        String stat = Files.readString(proc.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long resident = 0;
        int threads = 0;
        for (String line : Files.readAllLines(proc.resolve("status"))) {
            if (line.startsWith("VmRSS:")) {
                resident = Long.parseLong(line.replaceAll("\\D", ""));
            } else if (line.startsWith("Threads:")) {
                threads = Integer.parseInt(line.replaceAll("\\D", ""));
            }
        }
        try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
            long ticks = Long.parseLong(fields[USER]) + Long.parseLong(fields[USER + 1]);
            return new ProcessCounters(ticks * TICK_NANOS, resident, (int) open.count(), threads, System.nanoTime());
        }
    }

    /** The share of one core that it used from then to now. */
    double cores(ProcessCounters before) {
        return (cpuNanos - before.cpuNanos) / (double) (at - before.at);
    }
}
