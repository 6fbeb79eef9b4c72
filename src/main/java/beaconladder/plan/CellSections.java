package beaconladder.plan;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads the sections on cells, tenants, routers and relocations. */
final class CellSections extends PlanSection {
    CellSections(PlanDraft draft) {
        super(draft);
    }

    void readCell(SyntaxNode list) {
        String name = name(list);
        List<Integer> groups = new ArrayList<>();
        double share = -1;
        for (SyntaxNode item : options(list, 2, "groups", "share")) {
            if (item.head().equals("groups")) {
                for (SyntaxNode number : item.rest()) {
                    Integer group = number(number);
                    if (group != null && draft.positions.putIfAbsent(group, number) != null) {
                        error(
                                number,
                                "group " + group + " is in a cell already, at line "
                                        + draft.positions.get(group).line());
                    } else if (group != null) {
                        groups.add(group);
                    }
                }
            } else {
                share = share(singleValue(item));
            }
        }
        if (groups.isEmpty()) {
            error(list, "a cell needs (groups N ...) with at least one group");
        }
        if (share < 0) {
            draft.cellsWithoutShare.add(name);
        }
        if (unique(list, "cell", name)) {
            draft.cells.add(new Plan.Cell(name, List.copyOf(groups), share));
        }
    }

    void readTenant(SyntaxNode list) {
        String name = name(list);
        String cell = null;
        double share = 1;
        List<IPAddress> networks = new ArrayList<>();
        List<String> apart = new ArrayList<>();
        double load = 1;
        double value = 1;
        boolean fixed = false;
        for (SyntaxNode item : options(list, 2, "cell", "share", "networks", "apart-from", "load", "value", "fixed")) {
            switch (item.head()) {
                case "cell" -> {
                    cell = word(singleValue(item));
                    draft.positions.put("cell of " + name, singleValue(item));
                }
                case "share" -> share = share(singleValue(item));
                case "networks" -> item.rest().forEach(network -> readNetwork(name, network, networks));
                case "apart-from" ->
                    item.rest().forEach(other -> {
                        apart.add(word(other));
                        draft.positions.put("apart " + name + " " + word(other), other);
                    });
                case "load" -> load = measure(singleValue(item), Map.of("txns/s", 1.0), "a rate such as 12txns/s");
                case "value" -> value = measure(singleValue(item), Map.of("", 1.0), "a number");
                default -> fixed = true;
            }
        }
        if (cell == null) {
            error(list, "a tenant needs (cell NAME)");
        }
        if (unique(list, "tenant", name)) {
            draft.tenants.add(
                    new Plan.Tenant(name, cell, share, List.copyOf(networks), List.copyOf(apart), load, value, fixed));
        }
    }

    private void readNetwork(String tenant, SyntaxNode node, List<IPAddress> into) {
        try {
            IPAddress address = new IPAddressString(word(node)).toAddress();
            if (address == null || address.isPrefixed() && !address.isPrefixBlock()) {
                error(node, "a network such as 10.1.0.0/16 belongs here, with no bits behind its prefix");
                return;
            }
            into.add(address);
            draft.positions.put("network " + tenant + " " + address, node);
        } catch (AddressStringException | IllegalArgumentException e) {
            error(node, "'" + word(node) + "' is no network; 10.1.0.0/16 would be one");
        }
    }

    void readOthers(SyntaxNode list) {
        double share = 0.1;
        int spread = 1;
        for (SyntaxNode item : options(list, 1, "spread", "share")) {
            if (item.head().equals("share")) {
                share = share(singleValue(item));
            } else {
                Integer n = number(singleValue(item));
                spread = n == null ? 1 : n;
                draft.positions.put("spread", item);
            }
        }
        if (draft.others != null) {
            error(list, "others are stated twice");
        }
        draft.others = new Plan.OtherTenants(spread, share);
    }

    void readRouter(SyntaxNode list) {
        String name = name(list);
        for (SyntaxNode item : options(list, 2, "serves")) {
            List<String> names = new ArrayList<>();
            item.rest().forEach(cell -> {
                names.add(word(cell));
                draft.positions.put("serves " + name + " " + word(cell), cell);
            });
            draft.cellsByRouter.put(name, List.copyOf(names));
        }
    }

    void readRelocation(SyntaxNode list) {
        List<SyntaxNode> rest = list.rest();
        if (rest.size() != 2) {
            error(list, "a move is (move TENANT CELL)");
            return;
        }
        Plan.Relocation move = new Plan.Relocation(word(rest.get(0)), word(rest.get(1)));
        draft.positions.put(move, list);
        draft.relocations.add(move);
    }
}
