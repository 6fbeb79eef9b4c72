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
 * The placement that the plan alone gives: stated tenants where the plan says, all others by a stable hash over a few
 * cells each (shuffle sharding), so that two tenants seldom share all of their cells and a new cell changes the place
 * of few. Cells are indices in the order of the plan. Not thread-safe.
 */
public final class StaticPlacement {
    /** Shards that are cached, least recently used first out; a thousand of them are some hundred kilobytes. */
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

    /** The placement of a plan that {@link beaconladder.plan.PlanReader} has checked. */
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

    /** The plan that it was made from. */
    public Plan plan() {
        return plan;
    }

    /** The number of cells. */
    public int cellCount() {
        return cells.size();
    }

    /** The cell at this index. */
    public Plan.Cell cell(int cellIndex) {
        return cells.get(cellIndex);
    }

    /** The index of the cell of this name, or -1. */
    public int cellIndex(String name) {
        return cellIndices.getOrDefault(name, -1);
    }

    /** The index of the cell that has this group, or -1. */
    public int cellIndexOfGroup(int group) {
        GroupLocation location = groups.get(group);
        return location == null ? -1 : location.cellIndex();
    }

    /** The group of this cell that serves requests which name another cell's group: the one in the same slot. */
    public int groupInCell(int cellIndex, int namedGroup) {
        GroupLocation location = groups.get(namedGroup);
        List<Integer> ownGroups = cells.get(cellIndex).groups();
        return ownGroups.get((location == null ? namedGroup : location.slot()) % ownGroups.size());
    }

    /** The groups of the cell of this name, by slot; the cell must exist. */
    List<Integer> groupsOf(String cell) {
        return cells.get(cellIndex(cell)).groups();
    }

    /** The slot of a group, which must be in a cell. */
    public int slotOf(int group) {
        return groups.get(group).slot();
    }

    /** The stated tenant of this name, or null. */
    public Plan.Tenant tenant(String name) {
        return tenants.get(name);
    }

    /** The index of the cell for this tenant and session by the plan, or -1 if no cell serves the tenant. */
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
     * The cells over which the sessions of a tenant that is not stated are spread: those with the highest hash weights
     * for it, highest first (rendezvous hashing). The array is cached and must not be changed.
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

    /** The part of its cell's quota that a tenant may hold, from 0 to 1. */
    public double quotaOf(String tenant) {
        Plan.Tenant declared = tenants.get(tenant);
        if (declared != null) {
            return declared.share();
        }
        return plan.others() == null ? 0 : plan.others().share();
    }

    /** Whether a client at this address may send requests of this tenant; null is an address that is not known. */
    public boolean isClientAllowed(String tenant, InetAddress clientAddress) {
        Plan.Tenant declared = tenants.get(tenant);
        if (declared == null || declared.networks().isEmpty()) {
            return true;
        }
        IPAddress address = clientAddress == null ? null : ADDRESS_GENERATOR.from(clientAddress);
        return address != null && declared.networks().stream().anyMatch(network -> network.contains(address));
    }

    /** A hash of all that a placement by hash depends on: routers whose plans agree in it place tenants alike. */
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
