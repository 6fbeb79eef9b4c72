package beaconladder.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The hosts of a scenario, group by group, and discovery that lists them; keeps what the hosts saw. */
final class HostFleet implements AutoCloseable {
    /** A txn ran at a host. */
    record Ran(String id, String tenant, String key, boolean write, long version, int group, String host, long at) {}

    /** A txn reached a host; for the check of drains. */
    record Reached(String host, String id, long at) {}

    private final Map<Integer, List<ReplicatedHost>> groups = new LinkedHashMap<>();
    private final Map<String, String> states = new LinkedHashMap<>();
    private final Map<Integer, ReplicatedHost> primaries = new ConcurrentHashMap<>();
    final DiscoveryStandIn discovery = new DiscoveryStandIn();
    final Queue<Ran> ran = new ConcurrentLinkedQueue<>();
    final Queue<Reached> reached = new ConcurrentLinkedQueue<>();
    /** Txns whose effect a failover has dropped: the group's own loss. */
    final Set<String> dropped = ConcurrentHashMap.newKeySet();
    /** When discovery listed a host as draining. */
    final Map<String, Long> draining = new ConcurrentHashMap<>();

    HostFleet(int groupCount, int members, int lagMillis) throws IOException {
        for (int group = 0; group < groupCount; group++) {
            List<ReplicatedHost> of = new ArrayList<>();
            for (int i = 0; i < members; i++) {
                of.add(new ReplicatedHost(this, group, "h" + group + "-" + i, i == 0, lagMillis + i));
            }
            groups.put(group, of);
            primaries.put(group, of.get(0));
        }
        groups.values().forEach(of -> of.forEach(member -> states.put(member.id, "Ready")));
        list();
    }

    List<ReplicatedHost> members(int group) {
        return groups.get(group);
    }

    /** The member that takes writes; it may be down. */
    ReplicatedHost primary(int group) {
        return primaries.get(group);
    }

    ReplicatedHost replica(int group) {
        return groups.get(group).stream()
                .filter(m -> m != primary(group))
                .findFirst()
                .orElseThrow();
    }

    ReplicatedHost at(int port) {
        return groups.values().stream()
                .flatMap(List::stream)
                .filter(m -> m.port() == port)
                .findFirst()
                .orElse(null);
    }

    /** Lists a host in another state. */
    synchronized void list(String host, String state) {
        states.put(host, state);
        if (state.equals("Terminating")) {
            draining.put(host, System.currentTimeMillis());
        }
        list();
    }

    private synchronized void list() {
        discovery.list(
                true,
                groups.values().stream()
                        .flatMap(List::stream)
                        .map(m -> m.listed(states.get(m.id)))
                        .toArray(String[]::new));
    }

    /**
     * Another member becomes primary: the one that has received most of the log, so that no write that was answered is
     * lost where writes wait for a replica. The others go on from its log.
     */
    synchronized ReplicatedHost failOver(int group) {
        ReplicatedHost old = primary(group);
        ReplicatedHost next = null;
        for (ReplicatedHost member : members(group)) {
            if (member != old && member.alive() && (next == null || member.received() > next.received())) {
                next = member;
            }
        }
        if (next != null) {
            old.follow();
            next.lead(old);
            primaries.put(group, next);
            for (ReplicatedHost member : members(group)) {
                if (member != next) {
                    member.cutTo(next);
                }
            }
        }
        return next;
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        for (List<ReplicatedHost> of : groups.values()) {
            for (ReplicatedHost member : of) {
                member.close();
            }
        }
    }
}
