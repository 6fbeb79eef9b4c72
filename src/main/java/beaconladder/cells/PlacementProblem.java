package beaconladder.cells;

import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A placement problem in integers. Tenants and cells are indices; amounts are in thousandths of a cell's fair share,
 * which is the total divided by the number of cells.
 *
 * @param tenants the names of the tenants
 * @param cells the names of the cells
 * @param currentCell the current cell of each tenant
 * @param load the load of each tenant
 * @param valueAtRisk the load of each tenant times its priority weight
 * @param capacity the capacity of each cell, in the unit of the load; 0 for a lost cell
 * @param separatedPairs pairs of tenants that should not share a cell
 * @param movable for each tenant, whether the planner may choose another cell
 */
public record PlacementProblem(
        List<String> tenants,
        List<String> cells,
        int[] currentCell,
        int[] load,
        int[] valueAtRisk,
        int[] capacity,
        int[][] separatedPairs,
        boolean[] movable) {
    /** The fair share of a cell in units of the amounts; the solver works on small integers. */
    static final int SCALE = 1_000;
    /** The divisor for a plan in which no tenant declares a load. */
    private static final double MIN_TOTAL = 1e-9;

    /** Returns the problem of this plan; each tenant is in the cell that the plan names. */
    public static PlacementProblem of(Plan plan) {
        int tenantCount = plan.tenants().size();
        int cellCount = plan.cells().size();
        double totalLoad = plan.tenants().stream()
                .mapToDouble(Plan.Tenant::requestsPerSecond)
                .sum();
        double totalValue = plan.tenants().stream()
                .mapToDouble(tenant -> tenant.requestsPerSecond() * tenant.priorityWeight())
                .sum();
        Map<String, Integer> cellIndices = new HashMap<>();
        for (int i = 0; i < cellCount; i++) {
            cellIndices.put(plan.cells().get(i).name(), i);
        }
        int[] currentCell = new int[tenantCount];
        int[] load = new int[tenantCount];
        int[] valueAtRisk = new int[tenantCount];
        boolean[] movable = new boolean[tenantCount];
        for (int i = 0; i < tenantCount; i++) {
            Plan.Tenant tenant = plan.tenants().get(i);
            currentCell[i] = cellIndices.get(tenant.cell());
            load[i] = scaled(cellCount * tenant.requestsPerSecond(), totalLoad);
            valueAtRisk[i] = scaled(cellCount * tenant.requestsPerSecond() * tenant.priorityWeight(), totalValue);
            movable[i] = !tenant.fixed();
        }
        int[] capacity = plan.cells().stream()
                .mapToInt(cell -> (int) Math.round(SCALE * cellCount * cell.share()))
                .toArray();
        return new PlacementProblem(
                plan.tenants().stream().map(Plan.Tenant::name).toList(),
                plan.cells().stream().map(Plan.Cell::name).toList(),
                currentCell,
                load,
                valueAtRisk,
                capacity,
                separatedPairs(plan.tenants()),
                movable);
    }

    private static int scaled(double amount, double total) {
        return (int) Math.round(SCALE * amount / Math.max(MIN_TOTAL, total));
    }

    private static int[][] separatedPairs(List<Plan.Tenant> tenants) {
        Map<String, Integer> indices = new HashMap<>();
        for (int i = 0; i < tenants.size(); i++) {
            indices.put(tenants.get(i).name(), i);
        }
        List<int[]> pairs = new ArrayList<>();
        for (int i = 0; i < tenants.size(); i++) {
            for (String other : tenants.get(i).apartFrom()) {
                pairs.add(new int[] {i, indices.get(other)});
            }
        }
        return pairs.toArray(int[][]::new);
    }

    /**
     * Returns the same problem with one cell lost: no tenant may stay in that cell or migrate to it, and its fixed
     * tenants have to leave as well.
     *
     * @throws IllegalArgumentException if there is no such cell or it is the only one
     */
    public PlacementProblem withoutCell(String lostCell) {
        int lost = cells.indexOf(lostCell);
        if (lost < 0 || cells.size() < 2) {
            throw new IllegalArgumentException("cell '" + lostCell + "' is not in the plan or is its only cell");
        }
        boolean[] nextMovable = movable.clone();
        int[] nextCapacity = capacity.clone();
        for (int i = 0; i < nextMovable.length; i++) {
            nextMovable[i] |= currentCell[i] == lost;
        }
        nextCapacity[lost] = 0;
        return new PlacementProblem(
                tenants, cells, currentCell, load, valueAtRisk, nextCapacity, separatedPairs, nextMovable);
    }

    int tenantCount() {
        return currentCell.length;
    }

    int cellCount() {
        return cells.size();
    }

    boolean isLost(int cell) {
        return capacity[cell] == 0;
    }
}
