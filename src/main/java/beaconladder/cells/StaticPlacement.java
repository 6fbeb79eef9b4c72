package beaconladder.cells;

import beaconladder.plan.Plan;
import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The placement computed from the plan alone. Tenants that the plan declares are in the cell it names. Sessions of
 * every other tenant are spread by a stable hash over a few cells (shuffle sharding), so that two tenants rarely share
 * all of their cells and a new cell changes the placement of few. Cells are indices in the order of the plan. Not
 * thread-safe.
 */
public final class StaticPlacement {
    /** Size of the LRU cache of shards; a thousand shards take some hundred kilobytes. */
    private static final int MAX_CACHED_SHARDS = 1_024;

    private static final IPAddressNetwork.IPAddressGenerator ADDRESS_GENERATOR =
            new IPAddressNetwork.IPAddressGenerator();

    /** The cell of a group and its index among the groups of that cell. */
    private record GroupLocation(int cellIndex, int slot) {}

    private final Plan plan;
    private final List<Plan.Cell> cells;
    private final long[] cellSeeds;
    private final Map<String, Integer> cellIndices = new HashMap<>();
    private final Map<Integer, GroupLocation> groups = new HashMap<>();
    private final Map<String, Plan.Tenant> tenants = new HashMap<>();
    private final Map<String, int[]> shards = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, int[]> eldest) {
            return size() > MAX_CACHED_SHARDS;
        }
    };

    /** Creates the placement of a plan that {@link beaconladder.plan.PlanReader} has validated. */
    public StaticPlacement(Plan plan) {
        this.plan = plan;
        this.cells = plan.cells();
        this.cellSeeds = new long[cells.size()];
        for (int i = 0; i < cells.size(); i++) {
            Plan.Cell cell = cells.get(i);
            cellIndices.put(cell.name(), i);
            cellSeeds[i] = Hashing.xxh3_64().hashCharsToLong(cell.name());
            for (int slot = 0; slot < cell.groups().size(); slot++) {
                groups.put(cell.groups().get(slot), new GroupLocation(i, slot));
            }
        }
        plan.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
    }

    /** Returns the plan. */
    public Plan plan() {
        return plan;
    }

    /** Returns the number of cells. */
    public int cellCount() {
        return cells.size();
    }

    /** Returns the cell at this index. */
    public Plan.Cell cell(int cellIndex) {
        return cells.get(cellIndex);
    }

    /** Returns the index of the cell of this name, or -1. */
    public int cellIndex(String name) {
        return cellIndices.getOrDefault(name, -1);
    }

    /** Returns the index of the cell that contains this group, or -1. */
    public int cellIndexOfGroup(int group) {
        GroupLocation location = groups.get(group);
        return location == null ? -1 : location.cellIndex();
    }

    /** Returns the group of this cell for requests that name a group of any cell: the one in the same slot. */
    public int groupInCell(int cellIndex, int namedGroup) {
        GroupLocation location = groups.get(namedGroup);
        List<Integer> ownGroups = cells.get(cellIndex).groups();
        return ownGroups.get((location == null ? namedGroup : location.slot()) % ownGroups.size());
    }

    /** Returns the groups of the cell of this name by slot; the cell must exist. */
    List<Integer> groupsOf(String cell) {
        return cells.get(cellIndex(cell)).groups();
    }

    /** Returns the slot of a group, which must be in a cell. */
    public int slotOf(int group) {
        return groups.get(group).slot();
    }

    /** Returns the tenant of this name if the plan declares it, otherwise null. */
    public Plan.Tenant tenant(String name) {
        return tenants.get(name);
    }

    /** Returns the index of the plan's cell for this tenant and session, or -1 if no cell serves the tenant. */
    public int homeCell(String tenant, long sessionKey) {
        Plan.Tenant declared = tenants.get(tenant);
        if (declared != null) {
            return cellIndices.get(declared.cell());
        }
        if (plan.others() == null || cells.isEmpty()) {
            return -1;
        }
        int[] shard = shuffleShard(tenant);
        int heaviestCell = shard[0];
        long highestWeight = Long.MIN_VALUE;
        for (int cell : shard.length == 1 ? new int[0] : shard) {
            long weight = Hashing.xxh3_64().hashLongLongToLong(cellSeeds[cell], sessionKey);
            if (weight > highestWeight) {
                highestWeight = weight;
                heaviestCell = cell;
            }
        }
        return heaviestCell;
    }

    /**
     * Returns the cells over which the sessions of an undeclared tenant are spread: those with the highest hash weights
     * for the tenant, highest first (rendezvous hashing). The array is cached and must not be changed.
     */
    public int[] shuffleShard(String tenant) {
        int[] cached = shards.get(tenant);
        if (cached != null) {
            return cached;
        }
        long hash = Hashing.xxh3_64().hashCharsToLong(tenant);
        int size = Math.min(plan.others().cellsPerTenant(), cells.size());
        int[] shard = new int[size];
        long[] weights = new long[size];
        int filled = 0;
        for (int cell = 0; cell < cells.size(); cell++) {
            long weight = Hashing.xxh3_64().hashLongLongToLong(hash, cellSeeds[cell]);
            int rank = filled;
            while (rank > 0 && weights[rank - 1] < weight) {
                rank--;
            }
            if (rank < size) {
                filled = Math.min(filled + 1, size);
                System.arraycopy(weights, rank, weights, rank + 1, filled - rank - 1);
                System.arraycopy(shard, rank, shard, rank + 1, filled - rank - 1);
                weights[rank] = weight;
                shard[rank] = cell;
            }
        }
        shards.put(tenant, shard);
        return shard;
    }

    /** Returns the fraction of its cell's quota that a tenant may always hold, from 0 to 1. */
    public double quotaOf(String tenant) {
        Plan.Tenant declared = tenants.get(tenant);
        if (declared != null) {
            return declared.share();
        }
        return plan.others() == null ? 0 : plan.others().share();
    }

    /** Returns whether a client at this address, or null for unknown, may send requests of this tenant. */
    public boolean isClientAllowed(String tenant, InetAddress clientAddress) {
        Plan.Tenant declared = tenants.get(tenant);
        if (declared == null || declared.networks().isEmpty()) {
            return true;
        }
        IPAddress address = clientAddress == null ? null : ADDRESS_GENERATOR.from(clientAddress);
        return address != null && declared.networks().stream().anyMatch(network -> network.contains(address));
    }

    /**
     * Returns a hash of everything that the placement of undeclared tenants depends on; plans with the same one agree.
     */
    public String fingerprint() {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        for (Plan.Cell cell : cells) {
            stream.putString(cell.name());
            cell.groups().forEach(stream::putInt);
            stream.putInt(-1);
        }
        stream.putInt(plan.others() == null ? 0 : plan.others().cellsPerTenant());
        return Long.toHexString(stream.getAsLong());
    }
}
