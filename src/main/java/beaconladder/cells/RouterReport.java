package beaconladder.cells;

import java.util.List;

/**
 * A router's report to the coordinator. Reports may arrive late, twice or out of order, so each is valid for the
 * version that it was made under, and says nothing about a newer one.
 *
 * @param router the router's name
 * @param incarnation an identifier that differs between two runs of the same router
 * @param version the version of the placement that the router acted on when it made the report
 * @param activity the write activity of each tenant under migration
 */
public record RouterReport(String router, String incarnation, long version, List<WriteActivity> activity) {
    /** Returns this report with a version that is not greater than this one. */
    RouterReport withVersionUpTo(long newestVersion) {
        return new RouterReport(router, incarnation, Math.min(version, newestVersion), activity);
    }
}
