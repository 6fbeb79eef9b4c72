package beaconladder.plan;

import inet.ipaddr.IPAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The operators' own file, checked whole: cells, who lives in them, and what each may hold.
 *
 * @param cells in the order of the file
 * @param tenants those that are stated by name
 * @param others where tenants live that are not stated, or null: they are declined
 * @param serves the cells that a router named here serves, by the router's name; one that is not named serves all
 * @param keeper who decides on moves and grants leases, or null: then all live where the file says
 * @param moves what is to be moved
 * @param leases who grants leases for tasks of the fleet, or null
 */
public record Plan(
        String file,
        List<Cell> cells,
        List<Tenant> tenants,
        Others others,
        Map<String, List<String>> serves,
        Keeper keeper,
        List<Relocation> moves,
        Leases leases) {

    /**
     * A named set of groups (discovery calls a group a "cell").
     *
     * @param groups numbers of groups as discovery gives them; the place in this list is the slot
     * @param share of what a router can hold, from 0 to 1
     */
    public record Cell(String name, List<Integer> groups, double share) {}

    /**
     * A tenant that is stated.
     *
     * @param cell where it lives at first
     * @param share of its cell's share, from 0 to 1
     * @param networks its clients' addresses; empty for any
     * @param apart tenants that should not live in the same cell
     * @param load what it brings, in txns a second, for the planner
     * @param value of a txn of it, on average, for the planner
     * @param fixed whether it never moves and needs no lease
     */
    public record Tenant(
            String name,
            String cell,
            double share,
            List<IPAddress> networks,
            List<String> apart,
            double load,
            double value,
            boolean fixed) {}

    /**
     * Tenants that are not stated.
     *
     * @param spread over how many cells the keys of one of them are spread
     * @param share of a cell's share that each may hold
     */
    public record Others(int spread, double share) {}

    /**
     * Who decides on moves.
     *
     * @param at where it answers routers and operators
     * @param discovery where it hears of hosts
     * @param store the folder of its records
     * @param lease how long a router may act on a placement, in nanoseconds
     * @param expiry no txn is in hand longer, in nanoseconds
     * @param copy the most that copying may take, in nanoseconds
     * @param fence the most that a tenant's writes may be held, in nanoseconds
     */
    public record Keeper(
            InetSocketAddress at,
            InetSocketAddress discovery,
            String store,
            long lease,
            long expiry,
            long copy,
            long fence) {}

    /**
     * Leases for tasks that one process of the fleet does at a time.
     *
     * @param length how long one is granted for, in nanoseconds
     * @param bound how far any clock of the fleet may be from the true time, in nanoseconds
     * @param disk what a grantor may take of its disk, in bytes
     * @param grantors three or five processes that decide together
     */
    public record Leases(long length, long bound, long disk, List<Grantor> grantors) {
        /** Where the fleet's membership begins: the grantors that take part in it. */
        public List<String> seeds() {
            return grantors.stream()
                    .map(Grantor::gossip)
                    .filter(java.util.Objects::nonNull)
                    .toList();
        }

        /** The grantor of this name, or null. */
        public Grantor grantor(String name) {
            return grantors.stream()
                    .filter(each -> each.name().equals(name))
                    .findFirst()
                    .orElse(null);
        }
    }

    /**
     * One that grants leases.
     *
     * @param raft host and port at which the others reach it
     * @param at where it answers those who ask
     * @param store the folder of its log
     * @param gossip host and port at which it takes part in the fleet's membership, or null
     */
    public record Grantor(String name, String raft, InetSocketAddress at, String store, String gossip) {}

    /** A tenant is to live in another cell. */
    public record Relocation(String tenant, String to) {}

    /** The cell of this name, or null. */
    public Cell cell(String name) {
        for (Cell cell : cells) {
            if (cell.name().equals(name)) {
                return cell;
            }
        }
        return null;
    }

    /** The stated tenant of this name, or null. */
    public Tenant tenant(String name) {
        for (Tenant tenant : tenants) {
            if (tenant.name().equals(name)) {
                return tenant;
            }
        }
        return null;
    }
}
