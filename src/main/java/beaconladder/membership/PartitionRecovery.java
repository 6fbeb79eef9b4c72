package beaconladder.membership;

import beaconladder.membership.Member.State;
import beaconladder.membership.Message.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Probes seeds and members held for dead from time to time: after a network partition each side holds the other for
 * dead, and such a probe lets the other side refute and both sides merge.
 */
final class PartitionRecovery {
    private final List<String> seeds;
    private final MemberTable table;
    private final Dissemination dissemination;
    private final SplittableRandom random;

    PartitionRecovery(List<String> seeds, MemberTable table, Dissemination dissemination, SplittableRandom random) {
        this.seeds = seeds;
        this.table = table;
        this.dissemination = dissemination;
        this.random = random;
    }

    /** Probes one random address of a seed or a dead member at which no participating member is known. */
    void probeUnreachable(List<OutgoingMessage> sends) {
        List<String> addresses = new ArrayList<>(seeds);
        for (MemberEntry entry : table.entries()) {
            if (entry.hasState(State.DEAD)) {
                addresses.add(entry.member().address());
            }
        }
        for (MemberEntry entry : table.entries()) {
            if (entry.member().participates()) {
                addresses.remove(entry.member().address());
            }
        }
        if (!addresses.isEmpty()) {
            String address = addresses.get(random.nextInt(addresses.size()));
            sends.add(dissemination.message(address, Kind.PING, 0, "", memberAt(address)));
        }
    }

    private Member memberAt(String address) {
        for (MemberEntry entry : table.entries()) {
            if (entry.member().address().equals(address)) {
                return entry.member();
            }
        }
        return null;
    }
}
