package beaconladder.testbed;

import beaconladder.lease.FencingGuard;
import beaconladder.testbed.SharedStandIn.Act;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks from the acts that the resources recorded that no two holders of a lease ever acted at the same time. */
final class LeaseChecker {
    private LeaseChecker() {}

    /**
     * Returns the violations, one line each.
     *
     * @param unixOffsetNanos Unix time in nanoseconds minus {@link System#nanoTime}
     * @param maxClockErrorNanos by how much the resources' clocks may be off
     * @param checkTimes whether all clocks were within the bound; otherwise only the order per resource is checked
     */
    static List<String> findViolations(
            List<Act> acts, long unixOffsetNanos, long maxClockErrorNanos, boolean checkTimes) {
        List<String> violations = new ArrayList<>();
        List<Act> admitted = acts.stream()
                .filter(act -> act.verdict() == FencingGuard.Decision.ADMITTED)
                .sorted(Comparator.comparingLong(Act::at))
                .toList();
        Map<Integer, Act> lastByResource = new HashMap<>();
        Map<Long, String> holderByToken = new HashMap<>();
        Act newest = null;
        for (Act act : admitted) {
            Act previous = lastByResource.put(act.resource(), act);
            if (previous != null && previous.token() > act.token()) {
                violations.add("stale token at one resource: " + act + " after " + previous);
            }
            String holder = holderByToken.putIfAbsent(act.token(), act.holder());
            if (holder != null && !holder.equals(act.holder())) {
                violations.add("one token at two holders: " + act + " and " + holder);
            }
            if (checkTimes && newest != null && newest.token() > act.token()) {
                violations.add("overlapping holders: " + act + " after " + newest);
            }
            if (checkTimes && act.at() + unixOffsetNanos > act.until() + 2 * maxClockErrorNanos) {
                violations.add("act after the lease's deadline: " + act);
            }
            newest = newest == null || act.token() >= newest.token() ? act : newest;
        }
        return violations;
    }
}
