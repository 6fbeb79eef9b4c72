package beaconladder.cells;

import beaconladder.plan.Plan;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import java.net.InetAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Before a txn comes to the decisions: which cell it belongs to, whether there is room for it there, and whether it may
 * go now; and, until its end, whether it may still go. Pure: the time and all events come in.
 */
public final class CellAdmission {
    /** All machines read one clock, give or take; a lease is over for its holder this much early. */
    static final long CLOCKS = 20_000_000L;
    /** A txn waits for the end of a fence up to half of its time, as a decline after that helps no client. */
    private static final int WAIT_PART = 2;
    /** Who is declined for room comes back when a usual txn has ended. */
    private static final long COME_BACK = 100_000_000L;

    /** What a txn may do. */
    public enum Kind {
        ADMIT,
        HOLD,
        DECLINE,
        REFUSE
    }

    /**
     * The answer for a txn.
     *
     * @param pass for ADMIT and HOLD, to be given back
     * @param until for HOLD: when to ask again at the latest
     * @param reason for DECLINE and REFUSE, for people
     * @param comeBack for DECLINE: how long the client should stay away; 0 says nothing
     */
    public record Answer(Kind kind, AdmissionPermit pass, long until, String reason, long comeBack) {
        private static Answer decline(String reason, long comeBack) {
            return new Answer(Kind.DECLINE, null, 0, reason, comeBack);
        }
    }

    /** What a router can hold. */
    public record Room(long txns, long connections, long bytes) {
        /** A quarter of the threads is left for copies, probes, and those who are only told to go. */
        private static final double OF_THREADS = 0.75;

        /** By the threads there may be, the connections that clients may hold, and the memory of messages. */
        public static Room of(int threads, int connections, long bytes) {
            return new Room(Math.max(1, (long) (OF_THREADS * threads)), connections, bytes);
        }
    }

    /** A write that may yet run, and until when. */
    private record Lingering(String tenant, long until) {}

    /** What the keeper needs to know of a tenant that is moved: writes in hand and the newest commit by slot. */
    public record Busy(String tenant, int writes, List<Long> commits) {}

    private final String router;
    private final Room room;
    private StaticPlacement territory;
    private boolean kept;
    private List<Integer> served = List.of();
    private PlacementTable placement = PlacementTable.NONE;
    private boolean sameBasis;
    private CellQuotas txns;
    private CellQuotas connections;
    private CellQuotas bytes;
    private final Map<Request, AdmissionPermit> passes = new IdentityHashMap<>();
    private final Map<String, Integer> writes = new HashMap<>();
    private final Map<String, long[]> commits = new LinkedHashMap<>();
    private final Deque<Lingering> lingering = new ArrayDeque<>();

    public CellAdmission(String router, StaticPlacement territory, Room room) {
        this.router = router;
        this.room = room;
        plan(territory);
    }

    /** Another plan counts from now on, one to which there is no objection; txns in hand keep what they hold. */
    public void plan(StaticPlacement next) {
        territory = next;
        kept = next.plan().keeper() != null;
        List<String> names = next.plan().serves().get(router);
        served = names == null ? null : names.stream().map(next::place).toList();
        double[] shares =
                next.plan().cells().stream().mapToDouble(Plan.Cell::share).toArray();
        if (txns == null) {
            txns = new CellQuotas(room.txns(), shares);
            connections = new CellQuotas(room.connections(), shares);
            bytes = new CellQuotas(room.bytes(), shares);
        } else {
            List.of(txns, connections, bytes).forEach(each -> each.reshare(shares));
        }
        sameBasis = next.basis().equals(placement.basis());
    }

    /** What was wrong with another plan while a keeper decides, or null: it may be taken. */
    public String objection(StaticPlacement next) {
        if (next.cells() != territory.cells()) {
            return "cells were added or removed; that needs a restart";
        }
        for (int i = 0; i < next.cells(); i++) {
            if (!next.cell(i).name().equals(territory.cell(i).name())
                    || !next.cell(i).groups().equals(territory.cell(i).groups())) {
                return "cell " + next.cell(i).name() + " differs in name, order or groups; that needs a restart";
            }
        }
        if ((next.plan().keeper() != null) != kept) {
            return "a keeper was added or removed; that needs a restart";
        }
        if (!kept) {
            for (Plan.Tenant tenant : next.plan().tenants()) {
                Plan.Tenant before = territory.tenant(tenant.name());
                if (before != null && !before.cell().equals(tenant.cell())) {
                    return tenant.name() + " changes its cell from " + before.cell() + " to " + tenant.cell()
                            + "; that is a move, and moves need a keeper";
                }
            }
        }
        return null;
    }

    // ---- Txns ---------------------------------------------------------------------------------------------

    /**
     * A txn comes.
     *
     * @param key of its session
     * @param group that the client names
     * @param size of its statement, in bytes
     * @param from the client's address, or null
     */
    public Answer admit(
            String tenant,
            long key,
            int group,
            boolean write,
            double value,
            long size,
            InetAddress from,
            long arrived,
            long expiry,
            long now) {
        Plan.Tenant stated = territory.tenant(tenant);
        TenantPlacement seat = placement.seats().get(tenant);
        if (!territory.admits(tenant, from)) {
            return new Answer(Kind.REFUSE, null, 0, "clients at this address don't speak for " + tenant, 0);
        }
        boolean fixed = !kept || stated != null && stated.fixed();
        if (!fixed && now >= placement.until() - CLOCKS) {
            return Answer.decline("the lease on the placement is over", COME_BACK);
        }
        if (!fixed && seat == null && !sameBasis) {
            return Answer.decline("this router's plan differs from the keeper's", COME_BACK);
        }
        int cell = seat == null || fixed ? territory.home(tenant, key) : territory.place(seat.cell());
        if (cell < 0) {
            return new Answer(Kind.REFUSE, null, 0, "no cell takes tenant " + tenant, 0);
        }
        if (territory.cellOf(group) < 0) {
            return new Answer(Kind.REFUSE, null, 0, "group " + group + " is in no cell", 0);
        }
        if (served != null && !served.contains(cell)) {
            return Answer.decline(
                    "this router does not serve cell " + territory.cell(cell).name(), 0);
        }
        double share = territory.share(tenant);
        CellQuotas.Answer taken = txns.take(cell, tenant, share, 1, value, now);
        if (taken == CellQuotas.Answer.TAKEN) {
            taken = bytes.take(cell, tenant, share, size, value, now);
            if (taken != CellQuotas.Answer.TAKEN) {
                txns.give(cell, tenant, 1);
            }
        }
        if (taken != CellQuotas.Answer.TAKEN) {
            return Answer.decline(
                    switch (taken) {
                        case TENANT_FULL -> tenant + " holds its share";
                        case CELL_FULL -> "cell " + territory.cell(cell).name() + " holds its share";
                        default -> "the router is full";
                    },
                    COME_BACK);
        }
        int to = territory.groupIn(cell, group);
        AdmissionPermit pass = new AdmissionPermit(tenant, cell, to, territory.slot(to), write, size, arrived, expiry);
        return again(pass, now);
    }

    /** One that was held asks again; its pass is given back where it is declined. */
    public Answer again(AdmissionPermit pass, long now) {
        if (stands(pass, now)) {
            TenantPlacement seat = placement.seats().get(pass.tenant);
            pass.floor = seat == null ? Long.MIN_VALUE : seat.floor(pass.slot);
            return new Answer(Kind.ADMIT, pass, 0, null, 0);
        }
        long until = pass.arrived + (pass.expiry - pass.arrived) / WAIT_PART;
        TenantPlacement seat = placement.seats().get(pass.tenant);
        boolean here = seat != null && territory.place(seat.cell()) == pass.cell;
        if (now < until && here) {
            return new Answer(Kind.HOLD, pass, until, null, 0);
        }
        giveBack(pass);
        return Answer.decline(
                here ? pass.tenant + " is being moved" : pass.tenant + " has moved", here ? COME_BACK : 0);
    }

    /** No txn may be in hand longer, in nanoseconds: a fence waits so long for what may yet run. */
    public long longest() {
        return kept ? territory.plan().keeper().expiry() : Long.MAX_VALUE;
    }

    /** The txn is in hand. */
    public void bind(Request txn, AdmissionPermit pass) {
        txn.minPosition = pass.floor;
        passes.put(txn, pass);
        if (pass.write) {
            writes.merge(pass.tenant, 1, Integer::sum);
        }
    }

    /** Whether this txn may still go where it was let in; asked right before its bytes go, too. */
    public boolean stands(Request txn, long now) {
        AdmissionPermit pass = passes.get(txn);
        return pass == null || stands(pass, now);
    }

    private boolean stands(AdmissionPermit pass, long now) {
        Plan.Tenant stated = territory.tenant(pass.tenant);
        if (!kept || stated != null && stated.fixed()) {
            return true;
        }
        TenantPlacement seat = placement.seats().get(pass.tenant);
        return now < placement.until() - CLOCKS
                && (seat == null
                        || territory.place(seat.cell()) == pass.cell && (pass.write ? seat.writes() : seat.reads()));
    }

    /** A submission has ended. What may yet run counts as in hand until its client's time is over. */
    public void ended(Attempt s, Outcome outcome, HostReport answer, long now) {
        AdmissionPermit pass = passes.get(s.request);
        if (pass == null || !pass.write || !kept) {
            return;
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED || outcome == Outcome.RESET) {
            linger(pass);
        }
        TenantPlacement seat = placement.seats().get(pass.tenant);
        if (outcome == Outcome.COMMITTED && seat != null && seat.moving()) {
            long[] newest = commits.computeIfAbsent(
                    pass.tenant,
                    t -> new long[territory.cell(pass.cell).groups().size()]);
            newest[pass.slot] =
                    Math.max(newest[pass.slot], answer.position() == HostReport.NO_POSITION ? now : answer.position());
        }
    }

    /** The txn has had its final answer, and its client may have what it holds. */
    public void ended(Request txn) {
        AdmissionPermit pass = passes.remove(txn);
        if (pass != null) {
            if (pass.write) {
                writes.computeIfPresent(pass.tenant, (t, n) -> n == 1 ? null : n - 1);
                // A client that leaves ends its txn, not what is out of it: a host may run that all the same.
                if (kept && txn.attemptsInFlight() > 0) {
                    linger(pass);
                }
            }
            giveBack(pass);
        }
    }

    private void linger(AdmissionPermit pass) {
        lingering.add(new Lingering(pass.tenant, pass.expiry + CLOCKS));
    }

    /** The client of a txn that was held has left. */
    public void left(AdmissionPermit pass) {
        giveBack(pass);
    }

    private void giveBack(AdmissionPermit pass) {
        txns.give(pass.cell, pass.tenant, 1);
        bytes.give(pass.cell, pass.tenant, pass.bytes);
    }

    // ---- Clients' connections -----------------------------------------------------------------------------

    /** A client has shown by this txn whose it is: whether there is room for its connection. */
    public boolean connected(AdmissionPermit pass, long now) {
        return connections.take(pass.cell, pass.tenant, territory.share(pass.tenant), 1, 1, now)
                == CellQuotas.Answer.TAKEN;
    }

    public void disconnected(AdmissionPermit pass) {
        connections.give(pass.cell, pass.tenant, 1);
    }

    /** Whether a cell holds more connections than its own: its idle ones go first. */
    public boolean borrowsConnections(int cell) {
        return connections.borrows(cell);
    }

    // ---- The keeper's word --------------------------------------------------------------------------------

    /** What the keeper says; an older word changes nothing. Returns the groups whose txns to look at again. */
    public List<Integer> placed(PlacementTable next) {
        if (next.version() < placement.version()
                || next.version() == placement.version() && next.until() <= placement.until()) {
            return List.of();
        }
        List<Integer> changed = new ArrayList<>();
        if (next.version() > placement.version()) {
            next.seats().forEach((tenant, seat) -> {
                TenantPlacement before = placement.seats().get(tenant);
                if (before != null && !before.equals(seat)) {
                    changed.addAll(
                            territory.cell(territory.place(before.cell())).groups());
                }
            });
        }
        placement = next;
        sameBasis = territory.basis().equals(next.basis());
        commits.keySet().removeIf(tenant -> {
            TenantPlacement seat = next.seats().get(tenant);
            return seat == null || !seat.moving();
        });
        return changed;
    }

    public PlacementTable placement() {
        return placement;
    }

    /** Whether a tenant is being moved, so that the keeper waits for word. */
    public boolean moving() {
        return placement.seats().values().stream().anyMatch(TenantPlacement::moving);
    }

    /** What the keeper is told of the tenants that are being moved. */
    public List<Busy> busy(long now) {
        while (!lingering.isEmpty() && lingering.peek().until() <= now) {
            lingering.poll();
        }
        List<Busy> all = new ArrayList<>();
        placement.seats().forEach((tenant, seat) -> {
            if (seat.moving()) {
                int out = writes.getOrDefault(tenant, 0)
                        + (int) lingering.stream()
                                .filter(l -> l.until() > now && l.tenant().equals(tenant))
                                .count();
                List<Long> newest = new ArrayList<>();
                for (long commit : commits.getOrDefault(tenant, new long[0])) {
                    newest.add(commit);
                }
                all.add(new Busy(tenant, out, newest));
            }
        });
        return all;
    }

    // ---- For people and tests -----------------------------------------------------------------------------

    /** How many txns are in hand of a cell. */
    public long inHand(int cell) {
        return txns.used(cell);
    }

    public StaticPlacement territory() {
        return territory;
    }
}
