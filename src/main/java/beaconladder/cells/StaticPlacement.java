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
 * Who lives where by the plan alone: stated tenants where it says, the others by a stable hash over a few cells each
 * (shuffle sharding), so that two tenants seldom share all of their cells and a new cell moves few.
 */
public final class StaticPlacement {
    /** Cells of tenants that were asked for last; a thousand of them are some hundred kilobytes. */
    private static final int REMEMBERED = 1_024;

    private final Plan plan;
    private final List<Plan.Cell> cells;
    private final long[] seeds;
    private final Map<String, Integer> places = new HashMap<>();
    /** Cell and slot of each group, the slot in the lower half. */
    private final Map<Integer, Long> groups = new HashMap<>();

    private final Map<String, Plan.Tenant> tenants = new HashMap<>();
    private final Map<String, int[]> subsets = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, int[]> eldest) {
            return size() > REMEMBERED;
        }
    };

    public StaticPlacement(Plan plan) {
        this.plan = plan;
        this.cells = plan.cells();
        this.seeds = new long[cells.size()];
        for (int i = 0; i < cells.size(); i++) {
            Plan.Cell cell = cells.get(i);
            places.put(cell.name(), i);
            seeds[i] = Hashing.xxh3_64().hashCharsToLong(cell.name());
            for (int slot = 0; slot < cell.groups().size(); slot++) {
                groups.put(cell.groups().get(slot), (long) i << 32 | slot);
            }
        }
        plan.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
    }

    public Plan plan() {
        return plan;
    }

    public int cells() {
        return cells.size();
    }

    public Plan.Cell cell(int place) {
        return cells.get(place);
    }

    /** The place of the cell of this name, or -1. */
    public int place(String name) {
        return places.getOrDefault(name, -1);
    }

    /** The cell that this group is in, or -1. */
    public int cellOf(int group) {
        Long at = groups.get(group);
        return at == null ? -1 : (int) (at >> 32);
    }

    /** The group that a txn which names this one goes to in this cell: the one in the same slot. */
    public int groupIn(int cell, int named) {
        Long at = groups.get(named);
        List<Integer> own = cells.get(cell).groups();
        return own.get((at == null ? named : at.intValue()) % own.size());
    }

    /** The slot of a group in its cell. */
    public int slot(int group) {
        return groups.get(group).intValue();
    }

    public Plan.Tenant tenant(String name) {
        return tenants.get(name);
    }

    /** The cell of this tenant's key by the plan, or -1: it lives nowhere. */
    public int home(String tenant, long key) {
        Plan.Tenant stated = tenants.get(tenant);
        if (stated != null) {
            return places.get(stated.cell());
        }
        if (plan.others() == null || cells.isEmpty()) {
            return -1;
        }
        int[] subset = subset(tenant);
        int best = subset[0];
        long most = Long.MIN_VALUE;
        for (int cell : subset.length == 1 ? new int[0] : subset) {
            long weight = Hashing.xxh3_64().hashLongLongToLong(seeds[cell], key);
            if (weight > most) {
                most = weight;
                best = cell;
            }
        }
        return best;
    }

    /** The cells over which the keys of a tenant that is not stated are spread: those that weigh most for it. */
    public int[] subset(String tenant) {
        int[] known = subsets.get(tenant);
        if (known != null) {
            return known;
        }
        long hash = Hashing.xxh3_64().hashCharsToLong(tenant);
        int wanted = Math.min(plan.others().spread(), cells.size());
        int[] subset = new int[wanted];
        long[] weights = new long[wanted];
        int n = 0;
        for (int cell = 0; cell < cells.size(); cell++) {
            long weight = Hashing.xxh3_64().hashLongLongToLong(hash, seeds[cell]);
            int at = n;
            while (at > 0 && weights[at - 1] < weight) {
                at--;
            }
            if (at < wanted) {
                n = Math.min(n + 1, wanted);
                System.arraycopy(weights, at, weights, at + 1, n - at - 1);
                System.arraycopy(subset, at, subset, at + 1, n - at - 1);
                weights[at] = weight;
                subset[at] = cell;
            }
        }
        subsets.put(tenant, subset);
        return subset;
    }

    /** The share of its cell that a tenant may hold. */
    public double share(String tenant) {
        Plan.Tenant stated = tenants.get(tenant);
        return stated != null
                ? stated.share()
                : plan.others() == null ? 0 : plan.others().share();
    }

    /** Whether a client at this address may speak for this tenant; null is an address that is not known. */
    public boolean admits(String tenant, InetAddress from) {
        Plan.Tenant stated = tenants.get(tenant);
        if (stated == null || stated.networks().isEmpty()) {
            return true;
        }
        IPAddress address = from == null ? null : ADDRESSES.from(from);
        return address != null && stated.networks().stream().anyMatch(network -> network.contains(address));
    }

    private static final IPAddressNetwork.IPAddressGenerator ADDRESSES = new IPAddressNetwork.IPAddressGenerator();

    /** What a placement by hash rests on: two routers whose plans agree in it place alike. */
    public String basis() {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        for (Plan.Cell cell : cells) {
            stream.putString(cell.name());
            cell.groups().forEach(stream::putInt);
            stream.putInt(-1);
        }
        stream.putInt(plan.others() == null ? 0 : plan.others().spread());
        return Long.toHexString(stream.getAsLong());
    }
}
