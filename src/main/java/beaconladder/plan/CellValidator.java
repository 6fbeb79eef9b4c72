package beaconladder.plan;

import inet.ipaddr.IPAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks across sections: shares, names of cells and tenants, overlapping networks, and relocations. */
final class CellValidator extends PlanSection {
    CellValidator(PlanDraft draft) {
        super(draft);
    }

    /** Runs all checks, and gives cells without a share an equal part of what the others leave. */
    void validate() {
        assignShares();
        checkReferences();
    }

    /** Cells that state no share get equal parts of what the others leave. */
    private void assignShares() {
        double stated = draft.cells.stream()
                .mapToDouble(cell -> Math.max(0, cell.share()))
                .sum();
        if (stated > 1 + 1e-9) {
            error(
                    draft.positions.get(
                            "cell " + draft.cells.get(draft.cells.size() - 1).name()),
                    "the shares of all cells add up to " + Math.round(stated * 1000) / 10.0 + "%, over 100%");
        } else if (!draft.cellsWithoutShare.isEmpty() && stated > 1 - 1e-9) {
            error(
                    draft.positions.get(
                            "cell " + draft.cellsWithoutShare.iterator().next()),
                    "the other cells' shares leave nothing for" + " this one");
        }
        double each = draft.cellsWithoutShare.isEmpty() ? 0 : (1 - stated) / draft.cellsWithoutShare.size();
        draft.cells.replaceAll(cell -> cell.share() < 0 ? new Plan.Cell(cell.name(), cell.groups(), each) : cell);
    }

    private void checkReferences() {
        Set<String> names = new HashSet<>();
        draft.cells.forEach(cell -> names.add(cell.name()));
        Map<String, Plan.Tenant> byName = new HashMap<>();
        draft.tenants.forEach(tenant -> byName.put(tenant.name(), tenant));
        checkTenants(names, byName);
        checkOverlaps();
        draft.cellsByRouter.forEach((router, served) ->
                served.forEach(cell -> checkCellExists(names, cell, "serves " + router + " " + cell)));
        if (draft.others != null
                && (draft.others.cellsPerTenant() < 1 || draft.others.cellsPerTenant() > draft.cells.size())) {
            error(draft.positions.get("spread"), "others can be spread over 1 to " + draft.cells.size() + " cells");
        }
        checkRelocations(names, byName);
    }

    private void checkTenants(Set<String> names, Map<String, Plan.Tenant> byName) {
        Map<String, Double> sums = new HashMap<>();
        for (Plan.Tenant tenant : draft.tenants) {
            checkCellExists(names, tenant.cell(), "cell of " + tenant.name());
            sums.merge(tenant.cell(), tenant.share() < 1 ? tenant.share() : 0, Double::sum);
            for (String other : tenant.apartFrom()) {
                Plan.Tenant with = byName.get(other);
                if (with == null || other.equals(tenant.name())) {
                    error(
                            draft.positions.get("apart " + tenant.name() + " " + other),
                            "another stated tenant belongs" + " here, not '" + other + "'"
                                    + WordDistance.nearest(other, byName.keySet()));
                }
            }
        }
        sums.forEach((cell, sum) -> {
            if (sum > 1 + 1e-9) {
                error(
                        draft.positions.get("cell " + cell),
                        "the shares of the tenants in " + cell + " add up to " + Math.round(sum * 1000) / 10.0
                                + "%, over 100%");
            }
        });
    }

    private void checkRelocations(Set<String> names, Map<String, Plan.Tenant> byName) {
        Set<String> moved = new HashSet<>();
        for (Plan.Relocation relocation : draft.relocations) {
            SyntaxNode position = draft.positions.get(relocation);
            Plan.Tenant tenant = byName.get(relocation.tenant());
            if (tenant == null) {
                error(
                        position,
                        "no tenant '" + relocation.tenant() + "' is stated"
                                + WordDistance.nearest(relocation.tenant(), byName.keySet()));
            } else if (!names.contains(relocation.targetCell())) {
                error(
                        position,
                        "no cell '" + relocation.targetCell() + "' is stated"
                                + WordDistance.nearest(relocation.targetCell(), names));
            } else if (tenant.cell().equals(relocation.targetCell())) {
                error(position, relocation.tenant() + " lives in " + relocation.targetCell() + " as it is");
            } else if (tenant.fixed()) {
                error(position, relocation.tenant() + " is fixed and can't be moved");
            } else if (groupCount(tenant.cell()) != groupCount(relocation.targetCell())) {
                error(
                        position,
                        tenant.cell() + " has " + groupCount(tenant.cell()) + " groups and " + relocation.targetCell()
                                + " has " + groupCount(relocation.targetCell()) + "; a move needs as many");
            }
            if (!moved.add(relocation.tenant())) {
                error(position, relocation.tenant() + " is moved twice");
            }
            if (draft.coordinator == null) {
                error(position, "a move needs a keeper");
            }
        }
    }

    private int groupCount(String cell) {
        return draft.cells.stream()
                .filter(c -> c.name().equals(cell))
                .findFirst()
                .map(c -> c.groups().size())
                .orElse(0);
    }

    /** Sorted by their lower ends, overlapping networks follow the one that contains them. */
    private void checkOverlaps() {
        record Owned(IPAddress network, String tenant) {}

        List<Owned> all = new ArrayList<>();
        draft.tenants.forEach(t -> t.networks().forEach(network -> all.add(new Owned(network, t.name()))));
        all.sort((a, b) -> {
            int order = a.network().getLower().compareTo(b.network().getLower());
            return order != 0
                    ? order
                    : b.network().getCount().compareTo(a.network().getCount());
        });
        Owned widest = null;
        for (Owned next : all) {
            if (widest != null && widest.network().contains(next.network())) {
                error(
                        draft.positions.get("network " + next.tenant() + " " + next.network()),
                        next.network() + " of " + next.tenant() + " lies in " + widest.network() + " of "
                                + widest.tenant());
            } else {
                widest = next;
            }
        }
    }

    private void checkCellExists(Set<String> names, String name, String statement) {
        if (!names.contains(name)) {
            error(
                    draft.positions.get(statement),
                    "no cell '" + name + "' is stated" + WordDistance.nearest(name, names));
        }
    }
}
