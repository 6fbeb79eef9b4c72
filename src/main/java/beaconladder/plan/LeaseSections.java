package beaconladder.plan;

import java.net.InetSocketAddress;
import java.util.List;

/** Reads the sections on leases and lease servers. */
final class LeaseSections extends PlanSection {
    LeaseSections(PlanDraft draft) {
        super(draft);
    }

    void readLeases(SyntaxNode list) {
        long durationNanos = 5_000 * NANOS_PER_MILLI;
        long clockErrorNanos = 100 * NANOS_PER_MILLI;
        long diskBytes = 64 << 20;
        for (SyntaxNode item : options(list, 1, "length", "clock", "disk")) {
            switch (item.head()) {
                case "length" -> durationNanos = (long) measure(singleValue(item), NANOS_BY_UNIT, "a time such as 5s");
                case "clock" ->
                    clockErrorNanos = (long) measure(singleValue(item), NANOS_BY_UNIT, "a time such as 100ms");
                default -> diskBytes = (long) measure(singleValue(item), BYTES_BY_UNIT, "a size such as 64MB");
            }
        }
        if (durationNanos < 500 * NANOS_PER_MILLI || durationNanos > 3_600_000 * NANOS_PER_MILLI) {
            error(list, "length lies between 500ms and 1h");
        }
        if (clockErrorNanos < NANOS_PER_MILLI || clockErrorNanos > durationNanos / 4) {
            error(list, "clock lies between 1ms and a quarter of the length, which it shortens");
        }
        if (diskBytes < 1 << 20 || diskBytes > 1L << 40) {
            error(list, "disk lies between 1MB and 1TB");
        }
        if (draft.leases != null) {
            error(list, "leases are stated twice");
        }
        draft.positions.put("leases", list);
        draft.leases = new Plan.Leases(durationNanos, clockErrorNanos, diskBytes, List.of());
    }

    void readLeaseServer(SyntaxNode list) {
        String name = name(list);
        String raft = null;
        InetSocketAddress address = null;
        String store = null;
        String gossip = null;
        for (SyntaxNode item : options(list, 2, "raft", "at", "store", "gossip")) {
            switch (item.head()) {
                case "raft" -> raft = hostAndPort(singleValue(item));
                case "gossip" -> gossip = hostAndPort(singleValue(item));
                case "at" -> address = address(singleValue(item));
                default -> store = word(singleValue(item));
            }
        }
        if (raft == null || address == null || store == null) {
            error(list, "a grantor needs (raft HOST:PORT), (at ADDRESS:PORT) and (store \"FOLDER\")");
        }
        if (unique(list, "grantor", name)) {
            draft.leaseServers.add(new Plan.LeaseServer(name, raft, address, store, gossip));
        }
    }

    /** An even number of servers tolerates no more failures than one fewer; more than five only add cost. */
    void checkLeaseServers() {
        int n = draft.leaseServers.size();
        if (draft.leases == null && n > 0) {
            error(draft.positions.get("grantor " + draft.leaseServers.get(0).name()), "grantors need (leases ...)");
        } else if (draft.leases != null && n != 1 && n != 3 && n != 5) {
            error(draft.positions.get("leases"), "leases need 3 or 5 grantors, or 1 that bears no loss; here are " + n);
        }
    }
}
