package beaconladder.testbed.scale;

import beaconladder.membership.Member;
import beaconladder.membership.Member.State;
import beaconladder.membership.SwimProtocol;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures what one timer run of a converged member costs: tick, the next wakeup and the view, as the loop of the
 * member calls them.
 */
final class MembershipTickCost {
    private static final long NOTHING_DUE_NANOS = 1;

    private MembershipTickCost() {}

    /**
     * Returns the microseconds for a tick with its next wakeup, and for a view, among so many members; the minimum of
     * several rounds.
     */
    static double[] micros(int members, int rounds) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all.add(new Member("r" + i, "10.0." + (i >> 8) + "." + (i & 255) + ":7946", 1, State.ALIVE));
        }
        SwimProtocol protocol = new SwimProtocol("self", "10.9.9.9:7946", 1, List.of(), 1);
        ConvergedMembership.addAll(protocol, all.get(0), all, 0);
        ConvergedMembership.clearPendingUpdates(protocol);
        protocol.tick(0);
        double[] minimum = {Double.MAX_VALUE, Double.MAX_VALUE};
        int calls = Math.max(20, 400_000 / members);
        long checksum = 0;
        for (int round = 0; round < rounds; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < calls; i++) {
                checksum += protocol.tick(NOTHING_DUE_NANOS).size() + protocol.nextWakeNanos();
            }
            long ticksEndNanos = System.nanoTime();
            for (int i = 0; i < calls; i++) {
                checksum += protocol.view(NOTHING_DUE_NANOS).members().size();
            }
            minimum[0] = Math.min(minimum[0], (ticksEndNanos - startNanos) / 1e3 / calls);
            minimum[1] = Math.min(minimum[1], (System.nanoTime() - ticksEndNanos) / 1e3 / calls);
        }
        if (checksum == 0) {
            throw new IllegalStateException("the calls returned nothing");
        }
        return minimum;
    }
}
