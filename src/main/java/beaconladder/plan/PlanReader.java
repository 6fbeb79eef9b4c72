package beaconladder.plan;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the operators' file and checks it whole; all mistakes are told at once, each with its place. */
public final class PlanReader {
    /** A plan of 10,000 tenants takes a megabyte; a file beyond this is none. */
    private static final long LONGEST = 16 << 20;

    private static final Pattern MEASURE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)([a-zA-Z%/]*)");
    private static final Map<String, Double> TIMES = Map.of("ms", 1e6, "s", 1e9, "min", 60e9, "h", 3600e9);
    private static final Map<String, Double> SIZES = Map.of("MB", 0x1p20, "GB", 0x1p30);
    private static final long MS = 1_000_000;

    /** The plan, or null and what is wrong. */
    public record Result(Plan plan, List<PlanError> errors) {}

    private final String file;
    private final List<PlanError> faults = new ArrayList<>();
    private final List<Plan.Cell> cells = new ArrayList<>();
    private final List<Plan.Tenant> tenants = new ArrayList<>();
    private final Map<String, List<String>> serves = new LinkedHashMap<>();
    private final List<Plan.Relocation> moves = new ArrayList<>();
    /** Where each thing stands, for the checks across lists. */
    private final Map<Object, SyntaxNode> places = new HashMap<>();

    private final Set<String> unshared = new HashSet<>();
    private Plan.OtherTenants others;
    private Plan.Coordinator keeper;
    private Plan.Leases leases;
    private final List<Plan.LeaseServer> grantors = new ArrayList<>();

    private PlanReader(String file) {
        this.file = file;
    }

    /** Reads a file; one that can't be read at all is a fault of its first line. */
    public static Result read(Path path) {
        try {
            if (Files.size(path) > LONGEST) {
                return new Result(null, List.of(new PlanError(path.toString(), 1, 1, "too long for a plan")));
            }
            return read(path.toString(), Files.readString(path));
        } catch (CharacterCodingException e) {
            return new Result(null, List.of(new PlanError(path.toString(), 1, 1, "the file is not UTF-8")));
        } catch (IOException e) {
            return new Result(null, List.of(new PlanError(path.toString(), 1, 1, "can't be read: " + e)));
        }
    }

    public static Result read(String file, String content) {
        PlanReader reader = new PlanReader(file);
        for (SyntaxNode list : SyntaxNode.read(file, content, reader.faults)) {
            reader.top(list);
        }
        if (reader.faults.isEmpty()) {
            reader.shares();
            reader.across();
            reader.grantors();
        }
        Plan plan = reader.faults.isEmpty()
                ? new Plan(
                        file,
                        List.copyOf(reader.cells),
                        List.copyOf(reader.tenants),
                        reader.others,
                        Map.copyOf(reader.serves),
                        reader.keeper,
                        List.copyOf(reader.moves),
                        reader.leases == null
                                ? null
                                : new Plan.Leases(
                                        reader.leases.durationNanos(),
                                        reader.leases.maxClockErrorNanos(),
                                        reader.leases.maxDiskBytes(),
                                        List.copyOf(reader.grantors)))
                : null;
        return new Result(plan, List.copyOf(reader.faults));
    }

    private void top(SyntaxNode list) {
        switch (String.valueOf(list.head())) {
            case "cell" -> cell(list);
            case "tenant" -> tenant(list);
            case "others" -> others(list);
            case "router" -> router(list);
            case "keeper" -> keeper(list);
            case "move" -> move(list);
            case "leases" -> leases(list);
            case "grantor" -> grantor(list);
            default ->
                fault(
                        list,
                        "a list of cell, tenant, others, router, keeper, move, leases or grantor belongs here,"
                                + " not '" + list.head() + "'");
        }
    }

    private void cell(SyntaxNode list) {
        String name = name(list);
        List<Integer> groups = new ArrayList<>();
        double share = -1;
        for (SyntaxNode item : parts(list, 2, "groups", "share")) {
            if (item.head().equals("groups")) {
                for (SyntaxNode number : item.rest()) {
                    Integer group = group(number);
                    if (group != null && places.putIfAbsent(group, number) != null) {
                        fault(
                                number,
                                "group " + group + " is in a cell already, at line "
                                        + places.get(group).line());
                    } else if (group != null) {
                        groups.add(group);
                    }
                }
            } else {
                share = share(only(item));
            }
        }
        if (groups.isEmpty()) {
            fault(list, "a cell needs (groups N ...) with at least one group");
        }
        if (share < 0) {
            unshared.add(name);
        }
        if (unique(list, "cell", name)) {
            cells.add(new Plan.Cell(name, List.copyOf(groups), share));
        }
    }

    private Integer group(SyntaxNode number) {
        if (number.isList() || !number.text().matches("[0-9]{1,9}")) {
            fault(number, "the number of a group belongs here");
            return null;
        }
        return Integer.valueOf(number.text());
    }

    private void tenant(SyntaxNode list) {
        String name = name(list);
        String cell = null;
        double share = 1;
        List<IPAddress> networks = new ArrayList<>();
        List<String> apart = new ArrayList<>();
        double load = 1;
        double value = 1;
        boolean fixed = false;
        for (SyntaxNode item : parts(list, 2, "cell", "share", "networks", "apart-from", "load", "value", "fixed")) {
            switch (item.head()) {
                case "cell" -> {
                    cell = word(only(item));
                    places.put("cell of " + name, only(item));
                }
                case "share" -> share = share(only(item));
                case "networks" -> item.rest().forEach(network -> network(name, network, networks));
                case "apart-from" ->
                    item.rest().forEach(other -> {
                        apart.add(word(other));
                        places.put("apart " + name + " " + word(other), other);
                    });
                case "load" -> load = measure(only(item), Map.of("txns/s", 1.0), "a rate such as 12txns/s");
                case "value" -> value = measure(only(item), Map.of("", 1.0), "a number");
                default -> fixed = true;
            }
        }
        if (cell == null) {
            fault(list, "a tenant needs (cell NAME)");
        }
        if (unique(list, "tenant", name)) {
            tenants.add(
                    new Plan.Tenant(name, cell, share, List.copyOf(networks), List.copyOf(apart), load, value, fixed));
        }
    }

    private void network(String tenant, SyntaxNode node, List<IPAddress> into) {
        try {
            IPAddress address = new IPAddressString(word(node)).toAddress();
            if (address == null || address.isPrefixed() && !address.isPrefixBlock()) {
                fault(node, "a network such as 10.1.0.0/16 belongs here, with no bits behind its prefix");
                return;
            }
            into.add(address);
            places.put("network " + tenant + " " + address, node);
        } catch (AddressStringException | IllegalArgumentException e) {
            fault(node, "'" + word(node) + "' is no network; 10.1.0.0/16 would be one");
        }
    }

    private void others(SyntaxNode list) {
        double share = 0.1;
        int spread = 1;
        for (SyntaxNode item : parts(list, 1, "spread", "share")) {
            if (item.head().equals("share")) {
                share = share(only(item));
            } else {
                Integer n = group(only(item));
                spread = n == null ? 1 : n;
                places.put("spread", item);
            }
        }
        if (others != null) {
            fault(list, "others are stated twice");
        }
        others = new Plan.OtherTenants(spread, share);
    }

    private void router(SyntaxNode list) {
        String name = name(list);
        for (SyntaxNode item : parts(list, 2, "serves")) {
            List<String> names = new ArrayList<>();
            item.rest().forEach(cell -> {
                names.add(word(cell));
                places.put("serves " + name + " " + word(cell), cell);
            });
            serves.put(name, List.copyOf(names));
        }
    }

    private void keeper(SyntaxNode list) {
        InetSocketAddress at = null;
        InetSocketAddress discovery = null;
        String store = null;
        Map<String, Long> times = new HashMap<>(
                Map.of("lease", 2_000 * MS, "expiry", 3_000 * MS, "copy", 600_000 * MS, "fence", 10_000 * MS));
        for (SyntaxNode item : parts(list, 1, "at", "discovery", "store", "lease", "expiry", "copy", "fence")) {
            switch (item.head()) {
                case "at" -> at = address(only(item));
                case "discovery" -> discovery = address(only(item));
                case "store" -> store = word(only(item));
                default -> {
                    double nanos = measure(only(item), TIMES, "a time with its unit, such as 500ms, 2s or 1min");
                    times.put(item.head(), (long) nanos);
                    places.put(item.head(), item);
                    if (nanos >= 0 && (nanos < 50e6 || nanos > 86_400e9)) {
                        fault(item, item.head() + " lies between 50ms and 24h");
                    }
                }
            }
        }
        if (at == null) {
            fault(list, "a keeper needs (at ADDRESS:PORT)");
        }
        if (discovery == null) {
            fault(list, "a keeper needs (discovery ADDRESS:PORT)");
        }
        if (store == null) {
            fault(list, "a keeper needs (store \"FOLDER\")");
        }
        if (keeper != null) {
            fault(list, "there is one keeper, and it is stated already");
        }
        if (times.get("fence") < times.get("lease") + times.get("expiry")) {
            fault(
                    places.getOrDefault("fence", places.getOrDefault("lease", list)),
                    "the fence ("
                            + times.get("fence") / MS
                            + "ms) must not end before the lease and the expiry have passed ("
                            + (times.get("lease") + times.get("expiry")) / MS
                            + "ms), or a move could never finish while"
                            + " a router is silent");
        }
        keeper = new Plan.Coordinator(
                at, discovery, store, times.get("lease"), times.get("expiry"), times.get("copy"), times.get("fence"));
    }

    private void leases(SyntaxNode list) {
        long length = 5_000 * MS;
        long bound = 100 * MS;
        long disk = 64 << 20;
        for (SyntaxNode item : parts(list, 1, "length", "clock", "disk")) {
            switch (item.head()) {
                case "length" -> length = (long) measure(only(item), TIMES, "a time such as 5s");
                case "clock" -> bound = (long) measure(only(item), TIMES, "a time such as 100ms");
                default -> disk = (long) measure(only(item), SIZES, "a size such as 64MB");
            }
        }
        if (length < 500 * MS || length > 3_600_000 * MS) {
            fault(list, "length lies between 500ms and 1h");
        }
        if (bound < MS || bound > length / 4) {
            fault(list, "clock lies between 1ms and a quarter of the length, which it shortens");
        }
        if (disk < 1 << 20 || disk > 1L << 40) {
            fault(list, "disk lies between 1MB and 1TB");
        }
        if (leases != null) {
            fault(list, "leases are stated twice");
        }
        places.put("leases", list);
        leases = new Plan.Leases(length, bound, disk, List.of());
    }

    private void grantor(SyntaxNode list) {
        String name = name(list);
        String raft = null;
        InetSocketAddress at = null;
        String store = null;
        String gossip = null;
        for (SyntaxNode item : parts(list, 2, "raft", "at", "store", "gossip")) {
            switch (item.head()) {
                case "raft" -> raft = hostAndPort(only(item));
                case "gossip" -> gossip = hostAndPort(only(item));
                case "at" -> at = address(only(item));
                default -> store = word(only(item));
            }
        }
        if (raft == null || at == null || store == null) {
            fault(list, "a grantor needs (raft HOST:PORT), (at ADDRESS:PORT) and (store \"FOLDER\")");
        }
        if (unique(list, "grantor", name)) {
            grantors.add(new Plan.LeaseServer(name, raft, at, store, gossip));
        }
    }

    private String hostAndPort(SyntaxNode node) {
        String text = word(node);
        if (!text.matches("[A-Za-z0-9.-]{1,255}:[0-9]{1,5}")
                || Integer.parseInt(text.substring(text.indexOf(':') + 1)) > 65_535) {
            fault(node, "a host with a port belongs here, such as 10.0.0.4:7101");
        }
        return text;
    }

    /** An even number of grantors bears no more losses than one fewer, and more than five only costs. */
    private void grantors() {
        int n = grantors.size();
        if (leases == null && n > 0) {
            fault(places.get("grantor " + grantors.get(0).name()), "grantors need (leases ...)");
        } else if (leases != null && n != 1 && n != 3 && n != 5) {
            fault(places.get("leases"), "leases need 3 or 5 grantors, or 1 that bears no loss; here are " + n);
        }
    }

    private InetSocketAddress address(SyntaxNode node) {
        Matcher form =
                Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:.]+\\]):([0-9]{1,5})").matcher(word(node));
        if (form.matches() && Integer.parseInt(form.group(2)) <= 65_535) {
            InetSocketAddress address = new InetSocketAddress(form.group(1), Integer.parseInt(form.group(2)));
            if (!address.isUnresolved()) {
                return address;
            }
        }
        fault(node, "an address with a port belongs here, such as 127.0.0.1:7070; names are not looked up");
        return new InetSocketAddress(0);
    }

    private void move(SyntaxNode list) {
        List<SyntaxNode> rest = list.rest();
        if (rest.size() != 2) {
            fault(list, "a move is (move TENANT CELL)");
            return;
        }
        Plan.Relocation move = new Plan.Relocation(word(rest.get(0)), word(rest.get(1)));
        places.put(move, list);
        moves.add(move);
    }

    // ---- Checks across lists ------------------------------------------------------------------------------

    /** Cells whose share is not stated share what is left evenly. */
    private void shares() {
        double stated =
                cells.stream().mapToDouble(cell -> Math.max(0, cell.share())).sum();
        if (stated > 1 + 1e-9) {
            fault(
                    places.get("cell " + cells.get(cells.size() - 1).name()),
                    "the shares of all cells add up to " + Math.round(stated * 1000) / 10.0 + "%, over 100%");
        } else if (!unshared.isEmpty() && stated > 1 - 1e-9) {
            fault(
                    places.get("cell " + unshared.iterator().next()),
                    "the other cells' shares leave nothing for" + " this one");
        }
        double each = unshared.isEmpty() ? 0 : (1 - stated) / unshared.size();
        cells.replaceAll(cell -> cell.share() < 0 ? new Plan.Cell(cell.name(), cell.groups(), each) : cell);
    }

    private void across() {
        Set<String> names = new HashSet<>();
        cells.forEach(cell -> names.add(cell.name()));
        Map<String, Plan.Tenant> byName = new HashMap<>();
        Map<String, Double> sums = new HashMap<>();
        tenants.forEach(tenant -> byName.put(tenant.name(), tenant));
        for (Plan.Tenant tenant : tenants) {
            known(names, tenant.cell(), "cell of " + tenant.name());
            sums.merge(tenant.cell(), tenant.share() < 1 ? tenant.share() : 0, Double::sum);
            for (String other : tenant.apartFrom()) {
                Plan.Tenant with = byName.get(other);
                if (with == null || other.equals(tenant.name())) {
                    fault(
                            places.get("apart " + tenant.name() + " " + other),
                            "another stated tenant belongs" + " here, not '" + other + "'"
                                    + nearest(other, byName.keySet()));
                }
            }
        }
        sums.forEach((cell, sum) -> {
            if (sum > 1 + 1e-9) {
                fault(
                        places.get("cell " + cell),
                        "the shares of the tenants in " + cell + " add up to " + Math.round(sum * 1000) / 10.0
                                + "%, over 100%");
            }
        });
        overlaps();
        serves.forEach((router, served) -> served.forEach(cell -> known(names, cell, "serves " + router + " " + cell)));
        if (others != null && (others.cellsPerTenant() < 1 || others.cellsPerTenant() > cells.size())) {
            fault(places.get("spread"), "others can be spread over 1 to " + cells.size() + " cells");
        }
        Set<String> moved = new HashSet<>();
        for (Plan.Relocation move : moves) {
            SyntaxNode place = places.get(move);
            Plan.Tenant tenant = byName.get(move.tenant());
            if (tenant == null) {
                fault(place, "no tenant '" + move.tenant() + "' is stated" + nearest(move.tenant(), byName.keySet()));
            } else if (!names.contains(move.targetCell())) {
                fault(place, "no cell '" + move.targetCell() + "' is stated" + nearest(move.targetCell(), names));
            } else if (tenant.cell().equals(move.targetCell())) {
                fault(place, move.tenant() + " lives in " + move.targetCell() + " as it is");
            } else if (tenant.fixed()) {
                fault(place, move.tenant() + " is fixed and can't be moved");
            } else if (groups(tenant.cell()) != groups(move.targetCell())) {
                fault(
                        place,
                        tenant.cell() + " has " + groups(tenant.cell()) + " groups and " + move.targetCell() + " has "
                                + groups(move.targetCell()) + "; a move needs as many");
            }
            if (!moved.add(move.tenant())) {
                fault(place, move.tenant() + " is moved twice");
            }
            if (keeper == null) {
                fault(place, "a move needs a keeper");
            }
        }
    }

    private int groups(String cell) {
        return cells.stream()
                .filter(c -> c.name().equals(cell))
                .findFirst()
                .map(c -> c.groups().size())
                .orElse(0);
    }

    /** Sorted by their lower ends, networks that overlap lie next to one that holds them. */
    private void overlaps() {
        record Owned(IPAddress network, String tenant) {}

        List<Owned> all = new ArrayList<>();
        tenants.forEach(t -> t.networks().forEach(network -> all.add(new Owned(network, t.name()))));
        all.sort((a, b) -> {
            int order = a.network().getLower().compareTo(b.network().getLower());
            return order != 0
                    ? order
                    : b.network().getCount().compareTo(a.network().getCount());
        });
        Owned widest = null;
        for (Owned next : all) {
            if (widest != null && widest.network().contains(next.network())) {
                fault(
                        places.get("network " + next.tenant() + " " + next.network()),
                        next.network() + " of " + next.tenant() + " lies in " + widest.network() + " of "
                                + widest.tenant());
            } else {
                widest = next;
            }
        }
    }

    private void known(Set<String> names, String name, String place) {
        if (!names.contains(name)) {
            fault(places.get(place), "no cell '" + name + "' is stated" + nearest(name, names));
        }
    }

    // ---- Words and measures -------------------------------------------------------------------------------

    private void fault(SyntaxNode at, String mistake) {
        faults.add(new PlanError(file, at == null ? 1 : at.line(), at == null ? 1 : at.column(), mistake));
    }

    private boolean unique(SyntaxNode list, String kind, String name) {
        SyntaxNode before = places.putIfAbsent(kind + " " + name, list);
        if (before != null) {
            fault(list, kind + " " + name + " is stated already, at line " + before.line());
        }
        return before == null;
    }

    private String name(SyntaxNode list) {
        SyntaxNode name = list.items().size() > 1 ? list.items().get(1) : list;
        if (name.isList() || !name.text().matches("[A-Za-z0-9_.-]{1,64}")) {
            fault(name, "the name of a " + list.head() + " belongs here: letters, digits, _ . -");
            return "?";
        }
        return name.text();
    }

    /** The lists behind the name, each with one of these heads and at most once. */
    private List<SyntaxNode> parts(SyntaxNode list, int from, String... heads) {
        List<SyntaxNode> good = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (SyntaxNode item : list.items()
                .subList(Math.min(from, list.items().size()), list.items().size())) {
            String head = String.valueOf(item.head());
            if (!List.of(heads).contains(head)) {
                fault(
                        item,
                        "one of (" + String.join(" ...) (", heads) + " ...) belongs here"
                                + (item.head() == null ? "" : ", not '" + head + "'" + nearest(head, Set.of(heads))));
            } else if (!seen.add(head)) {
                fault(item, head + " is stated twice");
            } else {
                good.add(item);
            }
        }
        return good;
    }

    private SyntaxNode only(SyntaxNode item) {
        if (item.items().size() != 2) {
            fault(item, "(" + item.head() + " ...) takes one value");
            return new SyntaxNode(item.line(), item.column(), "", false, List.of());
        }
        return item.items().get(1);
    }

    private String word(SyntaxNode node) {
        if (node.isList() || node.text().isEmpty()) {
            fault(node, "a word belongs here");
            return "?";
        }
        return node.text();
    }

    private double share(SyntaxNode node) {
        double share = measure(node, Map.of("%", 0.01), "a share such as 25%");
        if (share > 1 || share == 0) {
            fault(node, "a share lies above 0% and up to 100%");
        }
        return Math.max(0, share);
    }

    private double measure(SyntaxNode node, Map<String, Double> units, String expected) {
        Matcher form = MEASURE.matcher(node.isList() ? "" : node.text());
        Double unit = form.matches() ? units.get(form.group(2)) : null;
        if (unit == null) {
            String none = form.matches() && form.group(2).isEmpty() ? " has no unit" : " is not one";
            fault(node, expected + " belongs here; " + (node.isList() ? "a list" : "'" + node.text() + "'") + none);
            return -1;
        }
        return Double.parseDouble(form.group(1)) * unit;
    }

    /** The known word that differs least, if it differs by no more than two letters. */
    private static String nearest(String word, Set<String> known) {
        String best = null;
        int least = 3;
        for (String each : known) {
            int distance = distance(word, each);
            if (distance < least || distance == least && best != null && each.compareTo(best) < 0) {
                best = each;
                least = distance;
            }
        }
        return best == null ? "" : "; did you mean '" + best + "'?";
    }

    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int next = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[b.length()];
    }
}
