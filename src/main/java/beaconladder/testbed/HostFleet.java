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

/** The hosts of a scenario by group and the discovery that lists them; records the requests that the hosts handled. */
final class HostFleet implements AutoCloseable {
    /** A request that ran at a host, at a Unix time in milliseconds. */
    record Ran(String id, String tenant, String key, boolean write, long version, int group, String host, long at) {}

    /** A request that arrived at a host, at a Unix time in milliseconds; used to check drains. */
    record Reached(String host, String id, long at) {}

    private final Map<Integer, List<ReplicatedHost>> groups = new LinkedHashMap<>();
    /** The state of each host in the endpoint list, by host id. */
    private final Map<String, String> states = new LinkedHashMap<>();

    private final Map<Integer, ReplicatedHost> primaries = new ConcurrentHashMap<>();
    final DiscoveryStandIn discovery = new DiscoveryStandIn();
    final Queue<Ran> ran = new ConcurrentLinkedQueue<>();
    final Queue<Reached> reached = new ConcurrentLinkedQueue<>();
    /** The ids of writes that a failover lost; the loss is the group's and not a fault of a router. */
    final Set<String> dropped = ConcurrentHashMap.newKeySet();
    /** When discovery last began to list a host as draining, by host id, in Unix milliseconds. */
    final Map<String, Long> draining = new ConcurrentHashMap<>();

    HostFleet(int groupCount, int members, int lagMillis) throws IOException {
        for (int group = 0; group < groupCount; group++) {
            List<ReplicatedHost> hosts = new ArrayList<>();
            for (int i = 0; i < members; i++) {
                hosts.add(new ReplicatedHost(this, group, "h" + group + "-" + i, i == 0, lagMillis + i));
            }
            groups.put(group, hosts);
            primaries.put(group, hosts.get(0));
        }
        groups.values().forEach(hosts -> hosts.forEach(member -> states.put(member.id, "Ready")));
        list();
    }

    List<ReplicatedHost> members(int group) {
        return groups.get(group);
    }

    /** Returns the group's member that accepts writes; it may be down. */
    ReplicatedHost primary(int group) {
        return primaries.get(group);
    }

    ReplicatedHost replica(int group) {
        return groups.get(group).stream()
                .filter(m -> m != primary(group))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the host that listens on this port, or null if there is none. */
    ReplicatedHost at(int port) {
        return groups.values().stream()
                .flatMap(List::stream)
                .filter(m -> m.port() == port)
                .findFirst()
                .orElse(null);
    }

    /** Lists a host in a new state. */
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
                        .map(m -> m.endpointEntry(states.get(m.id)))
                        .toArray(String[]::new));
    }

    /**
     * Makes another running member the primary and returns it, or null if no other member runs. It chooses the member
     * that has received the most of the log, so that no answered write is lost if writes wait for a replica. The other
     * members continue from the new primary's log.
     */
    synchronized ReplicatedHost failOver(int group) {
        ReplicatedHost oldPrimary = primary(group);
        ReplicatedHost newPrimary = null;
        for (ReplicatedHost member : members(group)) {
            if (member != oldPrimary
                    && member.alive()
                    && (newPrimary == null || member.receivedLength() > newPrimary.receivedLength())) {
                newPrimary = member;
            }
        }
        if (newPrimary != null) {
            oldPrimary.becomeReplica();
            newPrimary.becomePrimary(oldPrimary);
            primaries.put(group, newPrimary);
            for (ReplicatedHost member : members(group)) {
                if (member != newPrimary) {
                    member.truncateTo(newPrimary);
                }
            }
        }
        return newPrimary;
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        for (List<ReplicatedHost> hosts : groups.values()) {
            for (ReplicatedHost member : hosts) {
                member.close();
            }
        }
    }
}
