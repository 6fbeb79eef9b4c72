package beaconladder.testbed.scale;

import beaconladder.membership.Member;
import beaconladder.membership.Member.State;
import beaconladder.membership.SwimProtocol;
import java.util.ArrayList;
import java.util.List;

/** What one look of a settled member costs: at, wake and view, as its loop calls them. */
final class MembershipTickCost {
    private static final long DUE_NEVER = 1;

    private MembershipTickCost() {}

    /** Microseconds for at and wake, and for view, among so many; the least of several rounds. */
    static double[] micros(int members, int rounds) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all.add(new Member("r" + i, "10.0." + (i >> 8) + "." + (i & 255) + ":7946", 1, State.ALIVE));
        }
        SwimProtocol swim = new SwimProtocol("self", "10.9.9.9:7946", 1, List.of(), 1);
        ConvergedMembership.introduce(swim, all.get(0), all, 0);
        ConvergedMembership.settle(swim);
        swim.tick(0);
        double[] least = {Double.MAX_VALUE, Double.MAX_VALUE};
        int looks = Math.max(20, 400_000 / members);
        long sum = 0;
        for (int round = 0; round < rounds; round++) {
            long from = System.nanoTime();
            for (int i = 0; i < looks; i++) {
                sum += swim.tick(DUE_NEVER).size() + swim.nextWakeNanos();
            }
            long half = System.nanoTime();
            for (int i = 0; i < looks; i++) {
                sum += swim.view(DUE_NEVER).members().size();
            }
            least[0] = Math.min(least[0], (half - from) / 1e3 / looks);
            least[1] = Math.min(least[1], (System.nanoTime() - half) / 1e3 / looks);
        }
        if (sum == 0) {
            throw new IllegalStateException("nothing was looked at");
        }
        return least;
    }
}
