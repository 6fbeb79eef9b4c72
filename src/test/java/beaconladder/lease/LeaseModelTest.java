package beaconladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Two processes, the lease servers and one resource, over all interleavings to a depth: time passes, a process checks
 * its clock or is paused, messages are delayed, duplicated or lost, the leader changes to one with another clock, a
 * process begins an act and the act arrives at any later time. Clocks are off by the bound in either direction, or by
 * more.
 */
@Timeout(120)
class LeaseModelTest {
    private static final long LENGTH = 3;
    private static final long BOUND = 1;
    /**
     * As short as a breach without the guard can be, and one more: two leases requested and received, an act under
     * each, the first one late, and the time between.
     */
    private static final int DEPTH = 10;

    private static final String[] HOLDERS = {"a#1", "b#1"};

    /** What the state machines are run with: the real rules, or some with a part left out. */
    private record Rules(long bound, boolean fencing) {}

    /** How far each clock is from the true time, the leader's before and after it changes. */
    private record ClockOffsets(long first, long second, long resource, long before, long after) {
        long of(int who) {
            return who == 0 ? first : second;
        }
    }

    private record Delivery(int to, LeaseResponse response) {}

    /** One global state; messages in flight may arrive in any order. */
    private record World(
            long time,
            boolean leaderChanged,
            LeaseTable leases,
            List<LeaseHolderState> holders,
            FencingGuard guard,
            List<LeaseRequest> requests,
            List<Delivery> responses,
            List<LeasePermit> acts,
            boolean duplicated,
            long lastToken) {
        World atTime(long next) {
            return new World(
                    next, leaderChanged, leases, holders, guard, requests, responses, acts, duplicated, lastToken);
        }

        World withNewLeader() {
            return new World(time, true, leases, holders, guard, requests, responses, acts, duplicated, lastToken);
        }

        World with(int who, LeaseHolderState holder) {
            return new World(
                    time,
                    leaderChanged,
                    leases,
                    who == 0 ? List.of(holder, holders.get(1)) : List.of(holders.get(0), holder),
                    guard,
                    requests,
                    responses,
                    acts,
                    duplicated,
                    lastToken);
        }

        World requests(List<LeaseRequest> next) {
            return new World(time, leaderChanged, leases, holders, guard, next, responses, acts, duplicated, lastToken);
        }

        World responses(List<Delivery> next) {
            return new World(time, leaderChanged, leases, holders, guard, requests, next, acts, duplicated, lastToken);
        }

        World withLeases(LeaseTable next, boolean twice) {
            return new World(
                    time,
                    leaderChanged,
                    next,
                    holders,
                    guard,
                    requests,
                    responses,
                    acts,
                    duplicated || twice,
                    lastToken);
        }

        World acts(List<LeasePermit> next) {
            return new World(
                    time, leaderChanged, leases, holders, guard, requests, responses, next, duplicated, lastToken);
        }

        World withGuard(FencingGuard next, long token) {
            return new World(time, leaderChanged, leases, holders, next, requests, responses, acts, duplicated, token);
        }
    }

    @Test
    void noTwoProcessesMayActAtOnceAndNoActIsAdmittedLateOrOutOfTurn() {
        int states = 0;
        int bothActed = 0;
        for (ClockOffsets clocks : allClocks()) {
            Search search = new Search(new Rules(BOUND, true), clocks, false);
            assertThat(search.run()).as("%s", clocks).isNull();
            states += search.states;
            bothActed += search.bothActed ? 1 : 0;
        }
        assertThat(bothActed).as("searches deep enough for both to act").isPositive();
        assertThat(states).isGreaterThan(100_000);
    }

    @Test
    void withoutTheGuardALateActIsAdmittedAfterTheNextHolders() {
        assertThat(firstViolation(new Rules(BOUND, false))).startsWith("out of turn");
    }

    @Test
    void withoutTheClockBoundTwoProcessesMayActAtOnce() {
        assertThat(firstViolation(new Rules(0, true))).startsWith("two may act");
    }

    /** Beyond the bound two may act at once; the guard still prevents acts out of turn, and nothing else does. */
    @Test
    void withClocksBeyondTheBoundOnlyTheGuardPreventsActsOutOfTurn() {
        ClockOffsets far = new ClockOffsets(-8, 4, -8, -4, 4);
        assertThat(new Search(new Rules(BOUND, true), far, false).run()).startsWith("two may act");
        Search fenced = new Search(new Rules(BOUND, true), far, true);
        assertThat(fenced.run()).isNull();
        assertThat(fenced.bothActed).isTrue();
        assertThat(new Search(new Rules(BOUND, false), far, true).run()).startsWith("out of turn");
    }

    private static String firstViolation(Rules rules) {
        for (ClockOffsets clocks : allClocks()) {
            String violation = new Search(rules, clocks, false).run();
            if (violation != null) {
                return violation;
            }
        }
        return "none";
    }

    private static List<ClockOffsets> allClocks() {
        List<ClockOffsets> all = new ArrayList<>();
        for (long first : new long[] {-BOUND, BOUND}) {
            for (long second : new long[] {-BOUND, BOUND}) {
                for (long resource : new long[] {-BOUND, BOUND}) {
                    all.add(new ClockOffsets(first, second, resource, -BOUND, BOUND));
                }
            }
        }
        return all;
    }

    /** Breadth first, so that a violation is found by a shortest path. */
    private static final class Search {
        private final Rules rules;
        private final ClockOffsets clocks;
        private final boolean tokensOnly;
        private final Set<World> seen = new HashSet<>();
        private boolean bothActed;
        private int states;
        private String violation;

        /** One that requests for the order of tokens alone, or also for times. */
        Search(Rules rules, ClockOffsets clocks, boolean tokensOnly) {
            this.rules = rules;
            this.clocks = clocks;
            this.tokensOnly = tokensOnly;
        }

        /** How a rule is violated, or null. */
        String run() {
            World start = new World(
                    0,
                    false,
                    LeaseTable.empty(),
                    List.of(holder(0), holder(1)),
                    FencingGuard.initial(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false,
                    0);
            List<World> edge = List.of(start);
            seen.add(start);
            for (int step = 0; step < DEPTH && violation == null; step++) {
                List<World> next = new ArrayList<>();
                for (World world : edge) {
                    forEachSuccessor(world, to -> {
                        if (violation == null && seen.add(to)) {
                            check(to);
                            next.add(to);
                        }
                    });
                }
                edge = next;
            }
            states = seen.size();
            seen.clear();
            return violation;
        }

        private LeaseHolderState holder(int who) {
            return LeaseHolderState.initial(new LeaseTerms("t", HOLDERS[who], LENGTH, rules.bound()))
                    .want(clocks.of(who));
        }

        private void check(World w) {
            if (!tokensOnly
                    && w.holders().get(0).mayAct(w.time() + clocks.first())
                    && w.holders().get(1).mayAct(w.time() + clocks.second())) {
                violation = "two may act at once: " + w;
            }
        }

        private void forEachSuccessor(World w, Consumer<World> to) {
            to.accept(w.atTime(w.time() + 1));
            if (!w.leaderChanged()) {
                to.accept(w.withNewLeader());
            }
            for (int who = 0; who < 2; who++) {
                LeaseHolderState holder = w.holders().get(who);
                long now = w.time() + clocks.of(who);
                if (now >= holder.wakeupNanos()) {
                    LeaseHolderState.Step step = holder.onTime(now);
                    to.accept(stepped(w, who, step));
                    if (step.request() != null) {
                        to.accept(exchange(w, who, step, now));
                    }
                }
                if (holder.mayAct(now)) {
                    LeasePermit act = holder.permit();
                    // The second one's acts arrive at once; as clocks are swapped too, that omits nothing.
                    if (who == 1) {
                        to.accept(arrive(w, act));
                    } else if (w.acts().isEmpty()) {
                        to.accept(w.acts(List.of(act)));
                    }
                }
            }
            for (int i = 0; i < w.requests().size(); i++) {
                deliverRequest(w, i, to);
            }
            for (int i = 0; i < w.responses().size(); i++) {
                Delivery delivery = w.responses().get(i);
                World rest = w.responses(minus(w.responses(), i));
                to.accept(stepped(
                        rest,
                        delivery.to(),
                        w.holders()
                                .get(delivery.to())
                                .onResponse(delivery.response(), w.time() + clocks.of(delivery.to()))));
            }
            if (!w.acts().isEmpty()) {
                to.accept(arrive(w.acts(List.of()), w.acts().get(0)));
            }
        }

        /** Requested, granted or refused, and received with nothing in between, as over a fast network. */
        private World exchange(World w, int who, LeaseHolderState.Step step, long now) {
            LeaseTable.Transition applied = w.leases().apply(step.request(), stamp(w), rules.bound());
            LeaseHolderState.Step responded = step.next().onResponse(applied.response(), now);
            return stepped(w.withLeases(applied.next(), false), who, responded);
        }

        private long stamp(World w) {
            return w.time() + (w.leaderChanged() ? clocks.after() : clocks.before());
        }

        private void deliverRequest(World w, int i, Consumer<World> to) {
            LeaseRequest request = w.requests().get(i);
            LeaseTable.Transition applied = w.leases().apply(request, stamp(w), rules.bound());
            Delivery delivery = new Delivery(request.holder().equals(HOLDERS[0]) ? 0 : 1, applied.response());
            List<Delivery> all = w.responses().size() < 2 ? plus(w.responses(), delivery) : w.responses();
            to.accept(w.withLeases(applied.next(), false).responses(all).requests(minus(w.requests(), i)));
            if (!w.duplicated()) {
                // A duplicate arrives later.
                to.accept(w.withLeases(applied.next(), true).responses(all));
            }
        }

        /** A full network loses further messages. */
        private World stepped(World w, int who, LeaseHolderState.Step step) {
            World next = w.with(who, step.next());
            return step.request() == null || w.requests().size() >= 2
                    ? next
                    : next.requests(plus(w.requests(), step.request()));
        }

        private World arrive(World rest, LeasePermit act) {
            FencingGuard.Admission admission =
                    rest.guard().admit(act.token(), act.deadlineNanos(), rest.time() + clocks.resource());
            if (rules.fencing() && admission.decision() != FencingGuard.Decision.ADMITTED) {
                return rest.withGuard(admission.next(), rest.lastToken());
            }
            bothActed |= rest.lastToken() > 0 && act.token() > rest.lastToken();
            if (act.token() < rest.lastToken()) {
                violation = "out of turn: " + act + " in " + rest;
            }
            Lease lease = rest.leases().leases().get("t");
            if (!tokensOnly && rules.fencing() && act.token() < lease.token()) {
                violation = "late: " + act + " in " + rest;
            }
            return rest.withGuard(admission.next(), act.token());
        }

        private static <T> List<T> plus(List<T> all, T one) {
            List<T> next = new ArrayList<>(all);
            next.add(one);
            return List.copyOf(next);
        }

        private static <T> List<T> minus(List<T> all, int i) {
            List<T> next = new ArrayList<>(all);
            next.remove(i);
            return List.copyOf(next);
        }
    }
}
