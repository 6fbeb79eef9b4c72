package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.cells.MigrationStep.Kind;
import beaconladder.plan.PlanReader;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The keeper's steps, alone and against routers' gates in a world of virtual time. */
class TenantMigrationsTest {
    private static final long MS = 1_000_000;
    private static final long START = 1_000_000 * MS;
    private static final String PLAN = """
            (cell a (groups 0)) (cell b (groups 1))
            (tenant t (cell a)) (tenant u (cell b)) (tenant f (cell a) (fixed))
            (keeper (at 127.0.0.1:1) (discovery 127.0.0.1:2) (store "x") (lease 200ms)
              (expiry 300ms) (copy 5s) (fence 1s))
            """;

    private static StaticPlacement staticPlacement() {
        return new StaticPlacement(PlanReader.read("p", PLAN).plan());
    }

    private static MigrationObservation sight(long at, String source, long position, String target, long copied) {
        return new MigrationObservation(at, source, position, target, at, List.of(copied, copied + MS));
    }

    private static void settle(TenantMigrations moves, StringBuilder trace, long now) {
        for (MigrationStep step = moves.nextStep(now); step != null; step = moves.nextStep(now)) {
            moves.apply(step);
            trace.append((now - START) / MS)
                    .append(' ')
                    .append(step.kind())
                    .append(step.tenant().isEmpty() ? "" : " " + step.tenant())
                    .append(step.detail() == null ? "" : " " + step.detail())
                    .append('\n');
        }
    }

    @Test
    void aMoveWaitsForWordForQuietAndForTheCopy() {
        TenantMigrations moves = new TenantMigrations(staticPlacement());
        StringBuilder trace = new StringBuilder();
        settle(moves, trace, START);
        moves.apply(moves.registration("n0", "1", START));
        moves.apply(moves.propose("t", "b", "me", START));
        moves.recordObservation("t", 0, sight(START, "s", START, "d", Long.MIN_VALUE));
        settle(moves, trace, START + MS);
        long version = moves.version();
        moves.grantLease("n0", version, List.of(new WriteActivity("t", 2, List.of(0L))), START + 2 * MS);
        moves.recordObservation("t", 0, sight(START + 10 * MS, "s", START + 10 * MS, "d", START + 9 * MS));
        settle(moves, trace, START + 10 * MS);
        // It has heard of the fence, but two writes are out; later none, and a commit beyond what the source
        // shows.
        moves.grantLease("n0", moves.version(), List.of(new WriteActivity("t", 2, List.of(0L))), START + 20 * MS);
        moves.recordObservation("t", 0, sight(START + 25 * MS, "s", START + 25 * MS, "d", START + 25 * MS));
        settle(moves, trace, START + 30 * MS);
        moves.grantLease(
                "n0", moves.version(), List.of(new WriteActivity("t", 0, List.of(START + 50 * MS))), START + 40 * MS);
        settle(moves, trace, START + 41 * MS);
        moves.recordObservation("t", 0, sight(START + 45 * MS, "s", START + 45 * MS, "d", START + 49 * MS));
        settle(moves, trace, START + 46 * MS);
        moves.recordObservation("t", 0, sight(START + 55 * MS, "s", START + 55 * MS, "d", START + 50 * MS));
        settle(moves, trace, START + 56 * MS);
        // Sealed; the router's word on it is missing, and its lease runs on to 240: it counts as heard a
        // little later.
        moves.recordObservation("t", 0, sight(START + 200 * MS, "s", START + 200 * MS, "d", START + 200 * MS));
        settle(moves, trace, START + 200 * MS);
        settle(moves, trace, START + 270 * MS);
        assertThat(trace.toString()).isEqualTo("""
                0 LEASE
                0 PLACED t
                0 PLACED u
                1 COPYING t
                10 FENCED t
                56 SEALED t
                270 SWITCHED t
                270 DONE t
                """);
        assertThat(moves.placements().get("t"))
                .isEqualTo(new TenantPlacement("b", true, true, false, List.of(START + 200 * MS)));
    }

    @Test
    void whatSpeaksAgainstAMoveOrAnUndoIsNamed() {
        TenantMigrations moves = new TenantMigrations(staticPlacement());
        settle(moves, new StringBuilder(), START);
        StringBuilder said = new StringBuilder();
        for (String[] move : new String[][] {{"x", "b"}, {"f", "b"}, {"t", "c"}, {"t", "a"}}) {
            assertThatThrownBy(() -> moves.propose(move[0], move[1], "me", START))
                    .satisfies(e -> said.append(e.getMessage()).append('\n'));
        }
        moves.apply(moves.propose("t", "b", "me", START));
        assertThatThrownBy(() -> moves.propose("t", "b", "me", START))
                .satisfies(e -> said.append(e.getMessage()).append('\n'));
        assertThatThrownBy(() -> moves.requestUndo("u", "me"))
                .satisfies(e -> said.append(e.getMessage()).append('\n'));
        assertThat(said.toString()).isEqualTo("""
                no tenant 'x' is stated in the plan
                f is fixed and can't be moved
                no cell 'c' is stated in the plan
                t lives in a as it is
                t is being moved to b (PROPOSED)
                u is not being moved
                """);
    }

    @Test
    void aSourceThatFailsInTheFenceOrABoundThatRunsOutUndoes() {
        for (boolean fails : new boolean[] {true, false}) {
            TenantMigrations moves = new TenantMigrations(staticPlacement());
            StringBuilder trace = new StringBuilder();
            settle(moves, new StringBuilder(), START);
            moves.apply(moves.propose("t", "b", "me", START));
            moves.recordObservation("t", 0, sight(START, "s", START, "d", Long.MIN_VALUE));
            settle(moves, trace, START);
            moves.recordObservation("t", 0, sight(START + MS, "s", START + MS, "d", START + MS));
            settle(moves, trace, START + MS);
            moves.recordObservation("t", 0, sight(START + 2 * MS, fails ? "other" : null, START, "d", START));
            settle(moves, trace, START + 3 * MS);
            settle(moves, trace, START + 2_000 * MS);
            assertThat(trace.toString()).isEqualTo(fails ? """
                    0 COPYING t
                    1 FENCED t
                    3 UNDONE t a primary of a changed in the fence
                    """ : """
                    0 COPYING t
                    1 FENCED t
                    2000 UNDONE t the fence had to go: a primary of a
                    """);
            assertThat(moves.placements().get("t").cell()).isEqualTo("a");
            assertThat(moves.placements().get("t").writes()).isTrue();
        }
    }

    @Test
    void theRecordsLeadToTheSameStateAndSoDoesTheirSnapshot() {
        List<MigrationStep> records = new ArrayList<>();
        TenantMigrations moves = new TenantMigrations(staticPlacement());
        for (int round = 0; records.size() < 10_100; round++) {
            long now = START + round * 10_000 * MS;
            TenantMigrations known = moves;
            SplittableRandom chance = new SplittableRandom(round);
            record(moves, records, now);
            String to = moves.placements().get("t").cell().equals("a") ? "b" : "a";
            MigrationStep proposed = moves.propose("t", to, "me", now);
            records.add(proposed);
            moves.apply(proposed);
            for (int i = 1; i < 8; i++) {
                long at = now + i * 10 * MS;
                known.recordObservation("t", 0, sight(at, "s", at, "d", at));
                record(known, records, at);
                if (chance.nextInt(20) == 0
                        && known.statuses(at).stream().noneMatch(m -> m.state().equals("switched"))
                        && !known.statuses(at).isEmpty()) {
                    known.requestUndo("t", "me");
                }
            }
        }
        TenantMigrations again = new TenantMigrations(staticPlacement());
        records.forEach(again::apply);
        assertThat(again.placements()).isEqualTo(moves.placements());
        assertThat(again.version()).isEqualTo(moves.version());
        List<MigrationStep> snapshot = again.snapshot(START);
        TenantMigrations compact = new TenantMigrations(staticPlacement());
        snapshot.forEach(compact::apply);
        assertThat(snapshot).hasSizeLessThan(10);
        assertThat(compact.placements()).isEqualTo(moves.placements());
        assertThat(compact.version()).isEqualTo(moves.version());
    }

    private static void record(TenantMigrations moves, List<MigrationStep> records, long now) {
        for (MigrationStep step = moves.nextStep(now); step != null; step = moves.nextStep(now)) {
            records.add(step);
            moves.apply(step);
        }
    }

    // ---- Against routers, in a world of virtual time
    // --------------------------------------------------------

    /**
     * Keepers that crash before and after each record, routers that stall, restart, lose the keeper's word or hear it
     * late, writes that run long after they were sent: none runs in the old cell behind the fence, and none in the new
     * cell before the switch.
     */
    @Test
    void noOrderOfEventsLetsAWriteRunInTheWrongCell() {
        Map<Kind, Integer> ends = new EnumMap<>(Kind.class);
        for (int seed = 0; seed < 1_500; seed++) {
            new World(seed).play(ends);
        }
        // The hard ways were all gone.
        assertThat(ends.get(Kind.DONE)).isGreaterThan(500);
        assertThat(ends.get(Kind.UNDONE)).isGreaterThan(50);
    }

    private static final class World {
        private final SplittableRandom chance;
        private final List<MigrationStep> records = new ArrayList<>();
        private final List<Node> nodes = new ArrayList<>();
        private final List<long[]> ranInA = new ArrayList<>();
        private final List<Long> ranInB = new ArrayList<>();
        private final RequestClass write = RequestClass.parse(Map.of(
                        "request_classes.count",
                        "1",
                        "family_info.freshness",
                        "update",
                        "request_classes.0.effect",
                        "side_effect",
                        "request_classes.0.give_up_us",
                        "300000"))
                .get(0);
        private TenantMigrations keeper;
        private long now = START;
        private long copied;
        private String source = "s0";
        private boolean sourceUp = true;
        private final int seed;

        private final class Node {
            private final String name;
            private int run;
            private CellAdmission admission;
            private long stalledUntil;
            private final List<Object[]> mail = new ArrayList<>();
            private final List<Request> hand = new ArrayList<>();

            Node(String name) {
                this.name = name;
                restart();
            }

            /** What was sent may yet run; the rest is gone. */
            void restart() {
                run++;
                admission = new CellAdmission(name, staticPlacement(), new RouterCapacity(100, 100, 1 << 20));
                mail.clear();
                hand.clear();
            }
        }

        /** Bytes on their way to a host, or waiting there: each runs at its time, if that is before its expiry. */
        private record Flying(long at, long expiry, int cell, Node node, int run, Request txn) {}

        private final List<Flying> flying = new ArrayList<>();

        World(int seed) {
            this.seed = seed;
            chance = new SplittableRandom(seed);
            keeper = new TenantMigrations(staticPlacement());
            for (int i = 0; i < 3; i++) {
                nodes.add(new Node("n" + i));
            }
        }

        void play(Map<Kind, Integer> ends) {
            take();
            long proposed = START + 300 * MS;
            int crashes = chance.nextInt(4);
            while (now < START + 4_000 * MS) {
                now += chance.nextInt(1, 12) * MS;
                if (proposed > 0 && now > proposed) {
                    write(keeper.propose("t", "b", "me", now));
                    proposed = 0;
                }
                if (sourceUp) {
                    copied = Math.max(copied, now - chance.nextInt(30) * MS);
                }
                keeper.recordObservation(
                        "t",
                        0,
                        new MigrationObservation(now, sourceUp ? source : null, now, "d", now, List.of(copied)));
                take();
                if (crashes > 0 && chance.nextInt(60) == 0) {
                    crashes--;
                    keeper = new TenantMigrations(staticPlacement());
                    now += chance.nextInt(400) * MS;
                    records.forEach(keeper::apply);
                    keeper.recoveredAt(now);
                }
                if (seed % 5 == 0 && chance.nextInt(150) == 0) {
                    sourceUp = !sourceUp;
                    source = sourceUp ? source + "x" : source;
                }
                nodes.forEach(this::step);
                land();
                if (seed % 7 == 0 && chance.nextInt(400) == 0 && proposed == 0) {
                    try {
                        keeper.requestUndo("t", "me");
                    } catch (IllegalArgumentException e) {
                        // It has ended or switched.
                    }
                }
            }
            judge(ends);
        }

        private void take() {
            for (MigrationStep step = keeper.nextStep(now); step != null; step = keeper.nextStep(now)) {
                write(step);
            }
        }

        private void write(MigrationStep step) {
            records.add(step);
            keeper.apply(step);
        }

        private void step(Node node) {
            if (now < node.stalledUntil) {
                return;
            }
            if (chance.nextInt(250) == 0) {
                node.stalledUntil = now + chance.nextInt(900) * MS;
                return;
            }
            if (chance.nextInt(400) == 0) {
                node.restart();
            }
            if (chance.nextInt(4) == 0) {
                MigrationStep joins = keeper.registration(node.name, String.valueOf(node.run), now);
                if (joins != null) {
                    write(joins);
                }
                PlacementTable word = keeper.grantLease(
                        node.name, node.admission.placement().version(), node.admission.writeActivity(now), now);
                PlacementTable copy = new PlacementTable(
                        word.version(), word.validUntilNanos(), word.planFingerprint(), Map.copyOf(word.placements()));
                if (chance.nextInt(10) > 0) {
                    node.mail.add(new Object[] {now + chance.nextInt(chance.nextInt(20) == 0 ? 400 : 10) * MS, copy});
                }
            }
            node.mail.removeIf(each -> {
                boolean due = (long) each[0] <= now;
                if (due) {
                    node.admission.applyPlacement((PlacementTable) each[1]);
                }
                return due;
            });
            if (chance.nextInt(3) == 0) {
                AdmissionDecision answer = node.admission.admit(
                        new AdmissionRequest("t", 1, 0, true, 1, 50, null, now, now + 300 * MS), now);
                if (answer.kind() == AdmissionDecision.Kind.ADMIT) {
                    Request txn = new Request(
                            now, write, new Group(answer.permit().group()), 1, 0, 0, false, now, now + 300 * MS, now);
                    node.admission.requestStarted(txn, answer.permit());
                    node.hand.add(txn);
                } else if (answer.kind() == AdmissionDecision.Kind.QUEUE) {
                    node.admission.release(answer.permit());
                }
            }
            // Each txn in hand waits a while, is judged, and then goes.
            for (Request txn : List.copyOf(node.hand)) {
                if (chance.nextInt(4) == 0) {
                    node.hand.remove(txn);
                    if (node.admission.isStillAdmitted(txn, now) && now < txn.expiryNanos) {
                        txn.attempts.add(new Attempt(txn, 0, new Host(0, txn.group, 0), now, 1));
                        flying.add(new Flying(
                                now + chance.nextInt(chance.nextInt(5) == 0 ? 350 : 20) * MS,
                                txn.expiryNanos,
                                txn.group.id,
                                node,
                                node.run,
                                txn));
                    } else {
                        node.admission.requestEnded(txn);
                    }
                }
            }
        }

        private void land() {
            flying.removeIf(each -> {
                Attempt s = each.txn().attempts.get(0);
                if (!each.txn().ended && each.node().run == each.run() && chance.nextInt(12) == 0) {
                    // Its client leaves: the submission is called off, and may run all the same.
                    each.txn().ended = true;
                    each.node().admission.requestEnded(each.txn());
                    s.ended = true;
                    each.node().admission.attemptEnded(s, Outcome.CANCELLED, HostReport.EMPTY, now);
                }
                boolean same = each.node().run == each.run();
                if (each.at() > now) {
                    // Its router gives it up at its expiry; its host may still run it until then.
                    if (same && now >= each.expiry() && !each.txn().ended) {
                        each.txn().ended = true;
                        each.node().admission.attemptEnded(s, Outcome.TIMED_OUT, HostReport.EMPTY, now);
                        each.node().admission.requestEnded(each.txn());
                    }
                    return false;
                }
                if (each.at() <= each.expiry()) {
                    if (each.cell() == 0) {
                        ranInA.add(new long[] {each.at()});
                    } else {
                        ranInB.add(each.at());
                    }
                }
                if (same && !each.txn().ended) {
                    each.txn().ended = true;
                    boolean told = chance.nextInt(8) > 0;
                    each.node()
                            .admission
                            .attemptEnded(
                                    s,
                                    told ? Outcome.COMMITTED : Outcome.RESET,
                                    told
                                            ? new HostReport(
                                                    beaconladder.routing.api.Router.Role.PRIMARY, each.at(), -1)
                                            : HostReport.EMPTY,
                                    now);
                    each.node().admission.requestEnded(each.txn());
                }
                return true;
            });
        }

        private void judge(Map<Kind, Integer> ends) {
            MigrationStep switched = records.stream()
                    .filter(s -> s.kind() == Kind.SWITCHED)
                    .findFirst()
                    .orElse(null);
            String story = "seed " + seed + " "
                    + records.stream()
                            .map(s -> s.kind() + "@" + (s.atNanos() - START) / MS)
                            .collect(Collectors.joining(" "));
            if (switched == null) {
                assertThat(ranInB).as(story).isEmpty();
            } else {
                assertThat(ranInB).as(story).allMatch(at -> at >= switched.atNanos());
                assertThat(ranInA)
                        .as(story)
                        .allMatch(at -> at[0] <= switched.fences().get(0));
            }
            records.stream()
                    .map(MigrationStep::kind)
                    .filter(k -> k == Kind.DONE || k == Kind.UNDONE)
                    .forEach(k -> ends.merge(k, 1, Integer::sum));
            assertThat(keeper.statuses(now).stream()
                            .noneMatch(m -> m.state().equals("fenced") && now > m.since() + 1_500 * MS))
                    .as(story)
                    .isTrue();
        }
    }
}
