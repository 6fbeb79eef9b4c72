package beaconladder.testbed;

import beaconladder.lease.FencingGuard;
import beaconladder.testbed.SharedStandIn.Act;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Whether holders ever acted at once, judged by what the resources saw alone. */
final class LeaseChecker {
    private LeaseChecker() {}

    /**
     * What was broken, a line each.
     *
     * @param unixZero what the true Unix time was at nanoTime 0
     * @param bound how far the resources' clocks may be off
     * @param withTimes whether all clocks were within the bound; else the order of tokens alone is judged
     */
    static List<String> broken(List<Act> acts, long unixZero, long bound, boolean withTimes) {
        List<String> broken = new ArrayList<>();
        List<Act> done = acts.stream()
                .filter(act -> act.verdict() == FencingGuard.Decision.ADMITTED)
                .sorted(Comparator.comparingLong(Act::at))
                .toList();
        Map<Integer, Act> last = new HashMap<>();
        Map<Long, String> holders = new HashMap<>();
        Act newest = null;
        for (Act act : done) {
            Act before = last.put(act.resource(), act);
            if (before != null && before.token() > act.token()) {
                broken.add("out of turn at one resource: " + act + " behind " + before);
            }
            String holder = holders.putIfAbsent(act.token(), act.holder());
            if (holder != null && !holder.equals(act.holder())) {
                broken.add("one token at two holders: " + act + " and " + holder);
            }
            if (withTimes && newest != null && newest.token() > act.token()) {
                broken.add("two at once: " + act + " after " + newest);
            }
            if (withTimes && act.at() + unixZero > act.until() + 2 * bound) {
                broken.add("after its holder's time: " + act);
            }
            newest = newest == null || act.token() >= newest.token() ? act : newest;
        }
        return broken;
    }
}
