package beaconladder.cells;

import beaconladder.cells.CellAdmission.Busy;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The keeper's decisions: who lives where, and the steps by which a tenant moves. Pure: {@link #due} names the step
 * that is due, its record is written, and {@link #take} takes it; after a crash the records are taken again and lead to
 * the same state.
 *
 * <p>A move waits at each step until every router has acted on the step before, or can't act on an older word any more
 * because its lease is over:
 *
 * <ol>
 *   <li>PROPOSED to COPYING: old and new cell have a primary in each slot;
 *   <li>COPYING to FENCED: the copy is close behind;
 *   <li>FENCED to SEALED: no write is in hand or may yet run, and every ready member of the new groups has copied up to
 *       what the old primaries, asked after that, had in their logs;
 *   <li>SEALED to SWITCHED: no router sends a read to the old cell any more, and the new primaries have been asked for
 *       the position from which on a member has it all;
 *   <li>SWITCHED to DONE: every router has heard.
 * </ol>
 */
public final class TenantMigrations {
    /** What is left to copy when the fence goes up is waited for by writes: a tenth of the shortest SLA times. */
    private static final long NEAR = 100_000_000L;
    /** A snapshot takes the place of so many records. */
    private static final int RECORDS = 10_000;

    /** A move under way. */
    private static final class Move {
        private final String tenant;
        private final String from;
        private final String to;
        private final long proposedAt;
        private Kind state = Kind.PROPOSED;
        private long since;
        private long fencedAt;
        /** The version of the placement with which the present state began. */
        private long version;

        private List<String> sources = List.of();
        private List<Long> fences = List.of();
        private long quietAt = Long.MIN_VALUE;
        private MigrationObservation[] sights;
        private String undo;

        Move(String tenant, String from, String to, long at) {
            this.tenant = tenant;
            this.from = from;
            this.to = to;
            this.proposedAt = at;
        }
    }

    /** What the keeper knows of a router. */
    private static final class Seen {
        private String incarnation;
        private long version = -1;
        /** It may act on an older word until then. */
        private long lease;
        /** What an earlier run of it sent may yet run until then. */
        private long earlier;

        private Map<String, Busy> busy = Map.of();
        private long heardAt = Long.MIN_VALUE;
    }

    /** A move as people are told of it. */
    public record Shown(String tenant, String from, String to, String state, long since, String waitsFor) {}

    private StaticPlacement territory;
    private final Map<String, TenantPlacement> seats = new LinkedHashMap<>();
    private final Map<String, Move> moves = new LinkedHashMap<>();
    private final Map<String, Seen> routers = new LinkedHashMap<>();
    private final List<MigrationStep> ended = new ArrayList<>();
    private long version;
    private int records;
    /** The longest lease that was ever granted; no grant of before now ends later than this from now on. */
    private long longest;

    private final long lease;
    private final long expiry;
    private final long copy;
    private final long fence;

    public TenantMigrations(StaticPlacement territory) {
        Plan.Keeper keeper = territory.plan().keeper();
        this.territory = territory;
        lease = keeper.lease();
        expiry = keeper.expiry();
        copy = keeper.copy();
        fence = keeper.fence();
    }

    /** Another plan counts; who lives where stays as the records have it. */
    public void plan(StaticPlacement next) {
        territory = next;
    }

    /** Right after the records of before were taken: routers of before may act on what they were granted. */
    public void recovered(long now) {
        for (Seen router : routers.values()) {
            router.lease = now + longest;
        }
    }

    // ---- What is due --------------------------------------------------------------------------------------

    /** The next step that is due, or null; it is to be written and taken, then asked for the next. */
    public MigrationStep due(long now) {
        if (longest < lease) {
            return MigrationStep.of(Kind.LEASE, "", null, null, lease, null);
        }
        for (Plan.Tenant tenant : territory.plan().tenants()) {
            if (!seats.containsKey(tenant.name()) && !tenant.fixed()) {
                return MigrationStep.of(Kind.SEATED, tenant.name(), tenant.cell(), tenant.cell(), now, null);
            }
        }
        for (Move move : moves.values()) {
            MigrationStep step = due(move, now);
            if (step != null) {
                return step;
            }
        }
        return null;
    }

    private MigrationStep due(Move move, long now) {
        if (move.undo != null && move.state.compareTo(Kind.SWITCHED) < 0) {
            return undone(move, move.undo, now);
        }
        return switch (move.state) {
            case PROPOSED ->
                all(move, s -> s.source() != null && s.target() != null)
                        ? new MigrationStep(
                                Kind.COPYING,
                                move.tenant,
                                move.from,
                                move.to,
                                now,
                                List.of(),
                                List.of(),
                                sources(move),
                                null)
                        : now > move.proposedAt + copy ? undone(move, "a primary was not found in time", now) : null;
            case COPYING -> copying(move, now);
            case FENCED -> fenced(move, now);
            case SEALED -> sealed(move, now);
            case SWITCHED ->
                heard(move.version, now)
                        ? MigrationStep.of(Kind.DONE, move.tenant, move.from, move.to, now, null)
                        : null;
            default -> null;
        };
    }

    private MigrationStep copying(Move move, long now) {
        if (now > move.proposedAt + copy) {
            return undone(move, "the copy was not close enough in time", now);
        }
        if (!sameSources(move)) {
            // The new primary's log may lack the end of the old one's: what was copied is not a part of it.
            return all(move, s -> s.source() != null)
                    ? new MigrationStep(
                            Kind.COPYING,
                            move.tenant,
                            move.from,
                            move.to,
                            now,
                            List.of(),
                            List.of(),
                            sources(move),
                            null)
                    : null;
        }
        boolean near = all(
                move,
                s -> s.askedAt() >= move.since
                        && s.source() != null
                        && s.target() != null
                        && s.copiedByAll() != Long.MIN_VALUE
                        && s.copiedByAll() >= s.position() - NEAR);
        return near && heard(move.version, now)
                ? MigrationStep.of(Kind.FENCED, move.tenant, move.from, move.to, now, null)
                : null;
    }

    private MigrationStep fenced(Move move, long now) {
        if (now > move.fencedAt + fence) {
            return undone(move, "the fence had to go: " + waitsFor(move, now), now);
        }
        if (move.quietAt == Long.MIN_VALUE && quiet(move, now)) {
            move.quietAt = now;
        }
        if (!sameSources(move)) {
            // It may lack committed writes that the copy has to have, or the copy may have what it lacks.
            return undone(move, "a primary of " + move.from + " changed in the fence", now);
        }
        if (move.quietAt == Long.MIN_VALUE) {
            return null;
        }
        if (move.fences.isEmpty()) {
            // Asked before all was quiet, a position says nothing of the last writes.
            if (!all(move, s -> s.askedAt() > move.quietAt && s.source() != null)) {
                return null;
            }
            List<Long> positions = new ArrayList<>();
            for (int slot = 0; slot < move.sights.length; slot++) {
                positions.add(Math.max(move.sights[slot].position(), newestCommit(move.tenant, slot)));
            }
            move.fences = List.copyOf(positions);
        }
        return copied(move, move.quietAt)
                ? new MigrationStep(
                        Kind.SEALED, move.tenant, move.from, move.to, now, move.fences, List.of(), List.of(), null)
                : null;
    }

    private MigrationStep sealed(Move move, long now) {
        if (now > move.fencedAt + fence) {
            return undone(move, "the fence had to go: " + waitsFor(move, now), now);
        }
        if (!heard(move.version, now) || !copied(move, move.since)) {
            return null;
        }
        List<Long> floors = new ArrayList<>();
        for (MigrationObservation sight : move.sights) {
            floors.add(sight.landed());
        }
        return new MigrationStep(
                Kind.SWITCHED, move.tenant, move.from, move.to, now, move.fences, floors, List.of(), null);
    }

    /** Every ready member of the new groups has shown, asked after this time, all up to the fences. */
    private boolean copied(Move move, long since) {
        for (int slot = 0; slot < move.sights.length; slot++) {
            MigrationObservation sight = move.sights[slot];
            if (sight.askedAt() <= since
                    || sight.target() == null
                    || sight.landed() == Long.MIN_VALUE
                    || sight.copiedByAll() < move.fences.get(slot)) {
                return false;
            }
        }
        return true;
    }

    private MigrationStep undone(Move move, String why, long now) {
        return MigrationStep.of(Kind.UNDONE, move.tenant, move.from, move.to, now, why);
    }

    private interface Test {
        boolean holds(MigrationObservation sight);
    }

    private static boolean all(Move move, Test test) {
        for (MigrationObservation sight : move.sights) {
            if (!test.holds(sight)) {
                return false;
            }
        }
        return true;
    }

    private static List<String> sources(Move move) {
        List<String> sources = new ArrayList<>();
        for (MigrationObservation sight : move.sights) {
            sources.add(sight.source());
        }
        return sources;
    }

    private static boolean sameSources(Move move) {
        for (int slot = 0; slot < move.sights.length; slot++) {
            String source = move.sights[slot].source();
            if (source != null && !source.equals(move.sources.get(slot))) {
                return false;
            }
        }
        return true;
    }

    /** Whether no router acts on an older word than this. */
    private boolean heard(long version, long now) {
        return routers.values().stream()
                .allMatch(router -> router.version >= version || now > router.lease + CellAdmission.CLOCKS);
    }

    /** Whether no write of the tenant is in hand anywhere, or may yet run. */
    private boolean quiet(Move move, long now) {
        return routers.values().stream().allMatch(router -> {
            if (router.version < move.version) {
                return now > router.lease + expiry + CellAdmission.CLOCKS;
            }
            Busy busy = router.busy.get(move.tenant);
            return busy != null && busy.writes() == 0 && now > router.earlier;
        });
    }

    private long newestCommit(String tenant, int slot) {
        long newest = Long.MIN_VALUE;
        for (Seen router : routers.values()) {
            Busy busy = router.busy.get(tenant);
            if (busy != null && slot < busy.commits().size()) {
                newest = Math.max(newest, busy.commits().get(slot));
            }
        }
        return newest;
    }

    // ---- Steps that are written ---------------------------------------------------------------------------

    /** Takes a step whose record is written. */
    public void take(MigrationStep step) {
        records++;
        Move move = moves.get(step.tenant());
        switch (step.kind()) {
            case LEASE -> longest = Math.max(longest, step.at());
            case VERSION -> version = Math.max(version, step.at());
            case ROUTER -> joined(step);
            case SEATED -> {
                seats.put(step.tenant(), new TenantPlacement(step.to(), true, true, false, step.floors()));
                version++;
            }
            case PROPOSED -> {
                Move next = new Move(step.tenant(), step.from(), step.to(), step.at());
                next.sights = new MigrationObservation
                        [territory.cell(territory.place(step.from())).groups().size()];
                java.util.Arrays.fill(next.sights, MigrationObservation.NOTHING);
                moves.put(step.tenant(), next);
                enter(next, Kind.PROPOSED, step.at());
            }
            case COPYING -> {
                move.sources = step.sources();
                seat(move, step, true, true);
            }
            case FENCED -> {
                move.fencedAt = step.at();
                seat(move, step, false, true);
            }
            case SEALED -> {
                move.fences = step.fences();
                seat(move, step, false, false);
            }
            case SWITCHED -> {
                seats.put(step.tenant(), new TenantPlacement(step.to(), true, true, false, step.floors()));
                version++;
                enter(move, Kind.SWITCHED, step.at());
            }
            case DONE -> end(step);
            case UNDONE -> {
                TenantPlacement seat = seats.get(step.tenant());
                seats.put(step.tenant(), new TenantPlacement(step.from(), true, true, false, seat.floors()));
                version++;
                end(step);
            }
        }
    }

    /** Of a run of before, what it had sent may run for as long as its clients wait. */
    private void joined(MigrationStep step) {
        Seen seen = routers.computeIfAbsent(step.tenant(), name -> new Seen());
        if (seen.incarnation != null) {
            seen.earlier = Math.max(seen.earlier, step.at() + expiry);
        }
        seen.incarnation = step.why();
        seen.version = -1;
        seen.busy = Map.of();
    }

    private void seat(Move move, MigrationStep step, boolean writes, boolean reads) {
        seats.put(
                step.tenant(),
                new TenantPlacement(
                        step.from(),
                        writes,
                        reads,
                        true,
                        seats.get(step.tenant()).floors()));
        version++;
        enter(move, step.kind(), step.at());
    }

    private void enter(Move move, Kind state, long at) {
        move.state = state;
        move.since = at;
        move.version = version;
    }

    private void end(MigrationStep step) {
        moves.remove(step.tenant());
        ended.add(step);
        if (ended.size() > 1_000) {
            ended.remove(0);
        }
    }

    // ---- What is heard ------------------------------------------------------------------------------------

    /** The step that proposes this move. What speaks against it is the message of the exception. */
    public MigrationStep propose(String tenant, String to, String who, long now) {
        Plan.Tenant stated = territory.tenant(tenant);
        Move under = moves.get(tenant);
        TenantPlacement seat = seats.get(tenant);
        String against = stated == null
                ? "no tenant '" + tenant + "' is stated in the plan"
                : stated.fixed()
                        ? tenant + " is fixed and can't be moved"
                        : territory.place(to) < 0
                                ? "no cell '" + to + "' is stated in the plan"
                                : under != null
                                        ? tenant + " is being moved to " + under.to + " (" + under.state + ")"
                                        : seat == null
                                                ? tenant + " has no seat yet"
                                                : seat.cell().equals(to)
                                                        ? tenant + " lives in " + to + " as it is"
                                                        : slots(seat.cell()) != slots(to)
                                                                ? seat.cell() + " has " + slots(seat.cell())
                                                                        + " groups and "
                                                                        + to + " has " + slots(to)
                                                                        + "; a move needs as many"
                                                                : null;
        if (against != null) {
            throw new IllegalArgumentException(against);
        }
        return MigrationStep.of(Kind.PROPOSED, tenant, seat.cell(), to, now, who);
    }

    private int slots(String cell) {
        return territory.cell(territory.place(cell)).groups().size();
    }

    /** An operator wants a move undone. What speaks against it is the message of the exception. */
    public void undo(String tenant, String who) {
        Move move = moves.get(tenant);
        if (move == null) {
            throw new IllegalArgumentException(tenant + " is not being moved");
        }
        if (move.state == Kind.SWITCHED) {
            throw new IllegalArgumentException(
                    tenant + " has switched to " + move.to + "; to have it back, move it to " + move.from);
        }
        move.undo = "asked for by " + who;
    }

    /**
     * The step to be written before this router may be granted a lease, or null.
     *
     * @param incarnation differs between two runs of a router of the same name
     */
    public MigrationStep joins(String router, String incarnation, long now) {
        Seen seen = routers.get(router);
        return seen != null && incarnation.equals(seen.incarnation)
                ? null
                : MigrationStep.of(Kind.ROUTER, router, null, null, now, incarnation);
    }

    /**
     * A router that has joined tells what it acts on and what of it is in hand, and is granted a lease.
     *
     * @param acts the version of the placement that it acts on
     */
    public PlacementTable heard(String router, long acts, List<Busy> busy, long now) {
        Seen seen = routers.get(router);
        seen.version = Math.max(seen.version, Math.min(acts, version));
        Map<String, Busy> by = new LinkedHashMap<>();
        busy.forEach(each -> by.put(each.tenant(), each));
        seen.busy = by;
        seen.heardAt = now;
        seen.lease = Math.max(seen.lease, now + lease);
        return new PlacementTable(version, now + lease, territory.basis(), seats);
    }

    /** What the hosts of one slot of a move have said. */
    public void seen(String tenant, int slot, MigrationObservation sight) {
        Move move = moves.get(tenant);
        if (move != null && slot < move.sights.length) {
            move.sights[slot] = sight;
        }
    }

    // ---- For the keeper's errands and for people ----------------------------------------------------------

    /**
     * A question that the keeper has to ask.
     *
     * @param feeds whether the new group's primary is to copy from the old one; not once the copy is known to be whole,
     *     as another old primary might be copied from instead
     */
    public record Errand(String tenant, int slot, int source, int target, boolean feeds) {}

    /** The groups to ask for the sake of moves under way. */
    public List<Errand> errands() {
        List<Errand> errands = new ArrayList<>();
        for (Move move : moves.values()) {
            List<Integer> from = territory.cell(territory.place(move.from)).groups();
            List<Integer> to = territory.cell(territory.place(move.to)).groups();
            for (int slot = 0; slot < from.size(); slot++) {
                errands.add(new Errand(
                        move.tenant,
                        slot,
                        from.get(slot),
                        to.get(slot),
                        move.state == Kind.COPYING || move.state == Kind.FENCED));
            }
        }
        return errands;
    }

    /** The groups of a move's two cells, for what has to be said when it ends. */
    public List<Errand> errands(MigrationStep step) {
        List<Errand> errands = new ArrayList<>();
        List<Integer> from = territory.cell(territory.place(step.from())).groups();
        List<Integer> to = territory.cell(territory.place(step.to())).groups();
        for (int slot = 0; slot < from.size(); slot++) {
            errands.add(new Errand(step.tenant(), slot, from.get(slot), to.get(slot), false));
        }
        return errands;
    }

    public long version() {
        return version;
    }

    public Map<String, TenantPlacement> seats() {
        return seats;
    }

    /** The moves under way, and what each waits for. */
    public List<Shown> shown(long now) {
        return moves.values().stream()
                .map(move -> new Shown(
                        move.tenant,
                        move.from,
                        move.to,
                        move.state.name().toLowerCase(java.util.Locale.ROOT),
                        move.since,
                        waitsFor(move, now)))
                .toList();
    }

    /** The last moves that have ended. */
    public List<MigrationStep> ended() {
        return List.copyOf(ended);
    }

    private String waitsFor(Move move, long now) {
        List<String> late = new ArrayList<>();
        routers.forEach((name, router) -> {
            if (router.version < move.version && now <= router.lease + CellAdmission.CLOCKS) {
                late.add(name);
            }
        });
        if (!late.isEmpty()) {
            return "word from " + String.join(", ", late);
        }
        if (move.state == Kind.FENCED && move.quietAt == Long.MIN_VALUE) {
            return "writes in hand";
        }
        if (!all(move, s -> s.source() != null) && move.state.compareTo(Kind.SEALED) < 0 && move.fences.isEmpty()) {
            return "a primary of " + move.from;
        }
        return all(move, s -> s.target() != null) ? "the copy" : "a primary of " + move.to;
    }

    /** The routers, with the time since each was heard, in nanoseconds, or -1 for not since the keeper started. */
    public Map<String, Long> routers(long now) {
        Map<String, Long> silent = new LinkedHashMap<>();
        routers.forEach((name, seen) -> silent.put(name, seen.heardAt == Long.MIN_VALUE ? -1 : now - seen.heardAt));
        return silent;
    }

    /**
     * The steps that lead from nothing to this state, to take the place of all records, or null: not yet, or not while
     * a move is under way.
     */
    public List<MigrationStep> snapshot(long now) {
        if (records < RECORDS || !moves.isEmpty()) {
            return null;
        }
        List<MigrationStep> steps = new ArrayList<>();
        steps.add(MigrationStep.of(Kind.LEASE, "", null, null, longest, null));
        routers.forEach(
                (name, seen) -> steps.add(MigrationStep.of(Kind.ROUTER, name, null, null, now, seen.incarnation)));
        seats.forEach((tenant, seat) -> steps.add(new MigrationStep(
                Kind.SEATED, tenant, seat.cell(), seat.cell(), now, List.of(), seat.floors(), List.of(), null)));
        steps.add(MigrationStep.of(Kind.VERSION, "", null, null, version, null));
        records = steps.size();
        return steps;
    }
}
