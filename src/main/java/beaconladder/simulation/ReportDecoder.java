package beaconladder.simulation;

import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Reads hosts' reports, responses and outcomes from the numbers of the simulator. */
final class ReportDecoder {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long POSITION_UNIT_NANOS = 1_000_000;
    /** Far above what a host can hold, and above a clock's seconds in use here. */
    private static final float FIELD_LIMIT = 1e6f;

    private static final float NOT_REPORTED = -1;

    private final long positionZeroMicros;
    private final int positionField;
    private final int primaryField;
    private final int loadField;

    /** A decoder by the settings of an instance. */
    ReportDecoder(Map<String, String> settings) {
        positionZeroMicros = Long.parseLong(settings.getOrDefault("family_info.position_zero_us", "0"));
        List<String> fields =
                Arrays.asList(settings.getOrDefault("load_report.fields", "").split(","));
        positionField = fields.indexOf("x0");
        primaryField = fields.indexOf("x1");
        loadField = fields.indexOf("rif");
    }

    /** A load report; a field that is missing or impossible (not a number, negative) counts as not reported. */
    HostReport loadReport(float[] values) {
        float position = field(values, positionField);
        float primary = field(values, primaryField);
        // One step down, since the nearest float may lie above the true position.
        return new HostReport(
                primary < 0 ? Role.UNKNOWN : primary >= 0.5f ? Role.PRIMARY : Role.REPLICA,
                position < 0
                        ? HostReport.NO_POSITION
                        : positionZeroMicros * NANOS_PER_MICRO
                                + (long) (Math.nextDown(position) * (double) NANOS_PER_SECOND),
                field(values, loadField));
    }

    /** Role and position in a response: the role in the two lowest bits, above them the position in milliseconds. */
    HostReport responseReport(long encoded) {
        if (encoded == 0) {
            return HostReport.EMPTY;
        }
        return new HostReport(
                encoded % 4 == 1 ? Role.PRIMARY : encoded % 4 == 2 ? Role.REPLICA : Role.UNKNOWN,
                encoded / 4 == 0
                        ? HostReport.NO_POSITION
                        : positionZeroMicros * NANOS_PER_MICRO + encoded / 4 * POSITION_UNIT_NANOS,
                NOT_REPORTED);
    }

    private static float field(float[] values, int index) {
        return index >= 0 && index < values.length && values[index] >= 0 && values[index] < FIELD_LIMIT
                ? values[index]
                : NOT_REPORTED;
    }

    static Outcome outcome(int code) {
        return switch (code) {
            case 0 -> Outcome.COMMITTED;
            case 1 -> Outcome.CANCELLED;
            case 4 -> Outcome.TIMED_OUT;
            case 5 -> Outcome.MISS;
            case 8 -> Outcome.FULL;
            case 9 -> Outcome.MOOT;
            case 10 -> Outcome.RESET;
            case 14 -> Outcome.UNREACHABLE;
            default -> Outcome.ERROR;
        };
    }
}
