package beaconladder.membership;

import beaconladder.membership.Member.State;
import beaconladder.membership.Message.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Probes seeds and dead members from time to time. After a network partition each side has declared the other one dead;
 * such a probe lets the other side refute its death, so that both sides merge.
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

    /** Probes a random address among those of seeds and dead members that no participating member has. */
    void probeUnreachable(List<OutgoingMessage> outgoing) {
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
            outgoing.add(dissemination.message(address, Kind.PING, 0, "", memberAt(address)));
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
