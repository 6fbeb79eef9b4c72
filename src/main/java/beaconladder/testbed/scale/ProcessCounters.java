package beaconladder.testbed.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Resource counters of a process, read from /proc.
 *
 * @param cpuNanos user and system processor time
 * @param residentKb resident memory, in kilobytes
 * @param descriptors the number of open files and sockets
 * @param threads the number of live threads
 * @param readAtNanos the time of the reading, by {@link System#nanoTime}
 */
record ProcessCounters(long cpuNanos, long residentKb, int descriptors, int threads, long readAtNanos) {
    /** Linux reports processor time in hundredths of a second on all machines that this runs on. */
    private static final long TICK_NANOS = 10_000_000;
    /** Index of utime after the process name in parentheses; utime and stime are fields 14 and 15 of the whole line. */
    private static final int UTIME_INDEX = 11;

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
            long ticks = Long.parseLong(fields[UTIME_INDEX]) + Long.parseLong(fields[UTIME_INDEX + 1]);
            return new ProcessCounters(ticks * TICK_NANOS, resident, (int) open.count(), threads, System.nanoTime());
        }
    }

    /** Returns the mean number of cores used between the earlier reading and this one. */
    double coresSince(ProcessCounters before) {
        return (cpuNanos - before.cpuNanos) / (double) (readAtNanos - before.readAtNanos);
    }
}
