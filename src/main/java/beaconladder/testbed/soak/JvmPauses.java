package beaconladder.testbed.soak;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds long pauses of all threads of a JVM, such as garbage collections, in the JVM's own log of safepoints. */
final class JvmPauses {
    /** The JVM flag that logs each safepoint with the wall time. */
    static final String LOG_FLAG = "-Xlog:safepoint:stdout:time";

    private static final long MIN_PAUSE_NANOS = 50_000_000L;
    private static final Pattern SAFEPOINT = Pattern.compile("Safepoint \".*Total: +([0-9]+) ns");

    private JvmPauses() {}

    /** Returns the lines of safepoints that took 50 ms or more. */
    static List<String> longPauses(String log) {
        return log.lines().filter(JvmPauses::isLong).toList();
    }

    private static boolean isLong(String line) {
        Matcher safepoint = SAFEPOINT.matcher(line);
        return safepoint.find() && Long.parseLong(safepoint.group(1)) >= MIN_PAUSE_NANOS;
    }
}
