package beaconladder.server;

import beaconladder.pg.Decimal;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Role;

/** Parses what hosts report about themselves: load reports (ORCA text form) and replication positions. */
final class LoadReportParser {
    /** Decimal exponent from milliseconds, the unit of positions in messages, to nanoseconds. */
    static final int MILLIS_TO_NANOS = 6;
    /** Decimal exponent from seconds, the unit of a report's position, to nanoseconds. */
    private static final int SECONDS_TO_NANOS = 9;
    /** Exclusive bound of a plausible figure: far more requests than a host can have in flight. */
    private static final double FIGURE_BOUND = 1e6;

    private LoadReportParser() {}

    /**
     * Parses a load report, {@code key=value} pairs separated by commas.
     *
     * @param load the report, or null for none
     * @return what it states; silent where there is no report or where any field of it can't be read
     */
    static HostReport parse(String load) {
        if (load == null) {
            return HostReport.EMPTY;
        }
        long positionNanos = HostReport.NO_POSITION;
        double inFlight = -1;
        Role role = Role.UNKNOWN;
        for (String pair : load.split(",")) {
            int equals = pair.indexOf('=');
            String value = pair.substring(equals + 1).strip();
            double figure = equals <= 0 ? -1 : parseFigure(value);
            boolean readable = figure >= 0;
            switch (pair.substring(0, Math.max(0, equals)).strip()) {
                case "x0" -> {
                    positionNanos = parsePositionNanos(value, SECONDS_TO_NANOS);
                    readable = positionNanos != HostReport.NO_POSITION;
                }
                case "x1" -> role = figure >= 0.5 ? Role.PRIMARY : Role.REPLICA;
                case "inflight", "rif" -> inFlight = figure;
                default -> {}
            }
            if (!readable) {
                return HostReport.EMPTY;
            }
        }
        return new HostReport(role, positionNanos, inFlight);
    }

    private static double parseFigure(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < FIGURE_BOUND ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Reads a replication position exactly, rounded down to nanoseconds.
     *
     * @param text a decimal number in the sender's unit
     * @param powerOfTen decimal exponent from that unit to nanoseconds: 6 for milliseconds, 9 for seconds
     * @return nanoseconds since the epoch, or {@link HostReport#NONE} where the text is no position
     */
    static long parsePositionNanos(String text, int powerOfTen) {
        long nanos = Decimal.parseScaled(text, powerOfTen);
        return nanos > 0 ? nanos : HostReport.NO_POSITION;
    }
}
