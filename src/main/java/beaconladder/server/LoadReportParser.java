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
    /** Exclusive bound of a plausible value: far more requests than a host can have in flight. */
    private static final double VALUE_BOUND = 1e6;

    /** The role field is 1 for a primary and 0 for a replica. */
    private static final double PRIMARY_THRESHOLD = 0.5;

    private LoadReportParser() {}

    /**
     * Parses a load report, {@code key=value} pairs separated by commas.
     *
     * @param load the report, or null for none
     * @return the report; {@link HostReport#EMPTY} where there is none or where any field of it is invalid
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
            double number = equals <= 0 ? -1 : parseValue(value);
            boolean valid = number >= 0;
            switch (pair.substring(0, Math.max(0, equals)).strip()) {
                case "x0" -> {
                    positionNanos = parsePositionNanos(value, SECONDS_TO_NANOS);
                    valid = positionNanos != HostReport.NO_POSITION;
                }
                case "x1" -> role = number >= PRIMARY_THRESHOLD ? Role.PRIMARY : Role.REPLICA;
                case "inflight", "rif" -> inFlight = number;
                default -> {}
            }
            if (!valid) {
                return HostReport.EMPTY;
            }
        }
        return new HostReport(role, positionNanos, inFlight);
    }

    /** Parses a value within the plausible range; returns -1 for any other text. */
    private static double parseValue(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < VALUE_BOUND ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Parses a replication position exactly, rounded down to nanoseconds.
     *
     * @param text a decimal number in the sender's unit
     * @param powerOfTen decimal exponent from that unit to nanoseconds: 6 for milliseconds, 9 for seconds
     * @return nanoseconds since the epoch, or {@link HostReport#NO_POSITION} where the text is not a position
     */
    static long parsePositionNanos(String text, int powerOfTen) {
        long nanos = Decimal.parseScaled(text, powerOfTen);
        return nanos > 0 ? nanos : HostReport.NO_POSITION;
    }
}
