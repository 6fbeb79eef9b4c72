package beaconladder.plan;

import inet.ipaddr.IPAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The operators' plan, completely validated: cells, the tenants placed in them, and the capacity each may use.
 *
 * @param file name of the file, for messages
 * @param cells in the order of the file
 * @param tenants those listed by name, in the order of the file
 * @param others placement of tenants that are not listed, or null: their requests are rejected
 * @param cellsByRouter names of the cells that a router serves, by the router's name; a router without an entry serves
 *     all cells
 * @param coordinator who decides on migrations and grants placement leases, or null: then the placement is static
 * @param relocations tenants to migrate to another cell
 * @param leases the lease servers and their limits, or null if the fleet has none
 */
public record Plan(
        String file,
        List<Cell> cells,
        List<Tenant> tenants,
        OtherTenants others,
        Map<String, List<String>> cellsByRouter,
        Coordinator coordinator,
        List<Relocation> relocations,
        Leases leases) {

    /**
     * A named set of groups (discovery calls a group a "cell").
     *
     * @param groups group numbers as discovery reports them; the index in this list is the slot
     * @param share fraction of a router's capacity, from 0 to 1
     */
    public record Cell(String name, List<Integer> groups, double share) {}

    /**
     * A tenant listed by name.
     *
     * @param cell where it is placed until it is first migrated
     * @param share fraction of its cell's share, from 0 to 1
     * @param networks addresses of its clients; empty for any
     * @param apartFrom tenants that should not be placed in the same cell
     * @param requestsPerSecond expected load, for the planner
     * @param priorityWeight average weight of one of its requests, for the planner
     * @param fixed whether it is never migrated and therefore needs no placement lease
     */
    public record Tenant(
            String name,
            String cell,
            double share,
            List<IPAddress> networks,
            List<String> apartFrom,
            double requestsPerSecond,
            double priorityWeight,
            boolean fixed) {}

    /**
     * Placement of tenants that are not listed.
     *
     * @param cellsPerTenant number of cells over which the keys of one such tenant are spread
     * @param share fraction of a cell's share that each such tenant may use, from 0 to 1
     */
    public record OtherTenants(int cellsPerTenant, double share) {}

    /**
     * The process that decides on migrations.
     *
     * @param address where it serves routers and operators
     * @param discoveryAddress the discovery service that lists the hosts
     * @param recordsDirectory directory of its durable records
     * @param leaseNanos how long a router may act on a placement
     * @param requestExpiryNanos upper bound on the time a request is in flight
     * @param maxCopyNanos upper bound on the copying phase of a migration
     * @param maxFenceNanos upper bound on the time a migrating tenant's writes may be held
     */
    public record Coordinator(
            InetSocketAddress address,
            InetSocketAddress discoveryAddress,
            String recordsDirectory,
            long leaseNanos,
            long requestExpiryNanos,
            long maxCopyNanos,
            long maxFenceNanos) {}

    /**
     * Leases for tasks that one process of the fleet does at a time.
     *
     * @param durationNanos how long a lease is granted for
     * @param maxClockErrorNanos how far any clock of the fleet may be from the true time
     * @param maxDiskBytes disk space that a lease server may use
     * @param servers one, three or five processes that form a Raft group
     */
    public record Leases(long durationNanos, long maxClockErrorNanos, long maxDiskBytes, List<LeaseServer> servers) {
        /** Gossip addresses of the lease servers that have one: the seeds of the fleet's membership. */
        public List<String> gossipSeeds() {
            return servers.stream()
                    .map(LeaseServer::gossipAddress)
                    .filter(Objects::nonNull)
                    .toList();
        }

        /** The lease server of this name, or null. */
        public LeaseServer server(String name) {
            return servers.stream()
                    .filter(each -> each.name().equals(name))
                    .findFirst()
                    .orElse(null);
        }
    }

    /**
     * One lease server.
     *
     * @param raftAddress host and port at which the other lease servers reach it
     * @param clientAddress where it serves clients
     * @param logDirectory directory of its Raft log
     * @param gossipAddress host and port at which it takes part in the fleet's membership, or null
     */
    public record LeaseServer(
            String name,
            String raftAddress,
            InetSocketAddress clientAddress,
            String logDirectory,
            String gossipAddress) {}

    /** A tenant is to be migrated to another cell. */
    public record Relocation(String tenant, String targetCell) {}

    /** The cell of this name, or null. */
    public Cell cell(String name) {
        for (Cell cell : cells) {
            if (cell.name().equals(name)) {
                return cell;
            }
        }
        return null;
    }

    /** The listed tenant of this name, or null. */
    public Tenant tenant(String name) {
        for (Tenant tenant : tenants) {
            if (tenant.name().equals(name)) {
                return tenant;
            }
        }
        return null;
    }
}
