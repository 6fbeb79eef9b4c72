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
 * A bounded model check of two processes, the lease servers and one resource: explores all interleavings up to a depth.
 * Time passes, a process checks its clock or is paused, messages are delayed, duplicated or lost, the leader changes to
 * one with another clock, and a process sends an operation, which arrives at any later time. Clocks are off by the
 * bound in either direction, or by more. Times are in an arbitrary unit.
 */
@Timeout(120)
class LeaseModelTest {
    private static final long LENGTH = 3;
    private static final long CLOCK_BOUND = 1;
    /**
     * One more than the shortest violation without the guard: two leases requested and received, an operation under
     * each of them with the first one late, and the time between.
     */
    private static final int DEPTH = 10;

    private static final String[] HOLDERS = {"a#1", "b#1"};

    /** The rules under test: the real ones, or those without the clock bound or without the guard. */
    private record Rules(long clockBound, boolean fencing) {}

    /** The offset of each clock from the true time; the leader has two, before and after the change of leader. */
    private record ClockOffsets(
            long firstProcess, long secondProcess, long resource, long firstLeader, long secondLeader) {
        long ofProcess(int process) {
            return process == 0 ? firstProcess : secondProcess;
        }
    }

    private record Delivery(int process, LeaseResponse response) {}

    /** A global state; messages and operations in flight may arrive in any order. */
    private record SystemState(
            long time,
            boolean leaderChanged,
            LeaseTable leases,
            List<LeaseHolderState> holders,
            FencingGuard guard,
            List<LeaseRequest> requests,
            List<Delivery> responses,
            List<LeasePermit> operations,
            boolean duplicated,
            long lastToken) {
        SystemState atTime(long next) {
            return new SystemState(
                    next,
                    leaderChanged,
                    leases,
                    holders,
                    guard,
                    requests,
                    responses,
                    operations,
                    duplicated,
                    lastToken);
        }

        SystemState withNewLeader() {
            return new SystemState(
                    time, true, leases, holders, guard, requests, responses, operations, duplicated, lastToken);
        }

        SystemState withHolder(int process, LeaseHolderState holder) {
            return new SystemState(
                    time,
                    leaderChanged,
                    leases,
                    process == 0 ? List.of(holder, holders.get(1)) : List.of(holders.get(0), holder),
                    guard,
                    requests,
                    responses,
                    operations,
                    duplicated,
                    lastToken);
        }

        SystemState withRequests(List<LeaseRequest> next) {
            return new SystemState(
                    time, leaderChanged, leases, holders, guard, next, responses, operations, duplicated, lastToken);
        }

        SystemState withResponses(List<Delivery> next) {
            return new SystemState(
                    time, leaderChanged, leases, holders, guard, requests, next, operations, duplicated, lastToken);
        }

        SystemState withLeases(LeaseTable next, boolean twice) {
            return new SystemState(
                    time,
                    leaderChanged,
                    next,
                    holders,
                    guard,
                    requests,
                    responses,
                    operations,
                    duplicated || twice,
                    lastToken);
        }

        SystemState withOperations(List<LeasePermit> next) {
            return new SystemState(
                    time, leaderChanged, leases, holders, guard, requests, responses, next, duplicated, lastToken);
        }

        SystemState withGuard(FencingGuard next, long token) {
            return new SystemState(
                    time, leaderChanged, leases, holders, next, requests, responses, operations, duplicated, token);
        }
    }

    @Test
    void noTwoProcessesMayActAtOnceAndNoOperationIsAdmittedLateOrOutOfOrder() {
        int states = 0;
        int bothActed = 0;
        for (ClockOffsets clocks : allClocks()) {
            Search search = new Search(new Rules(CLOCK_BOUND, true), clocks, false);
            assertThat(search.run()).as("%s", clocks).isNull();
            states += search.states;
            bothActed += search.bothActed ? 1 : 0;
        }
        assertThat(bothActed).as("searches in which both processes acted").isPositive();
        assertThat(states).isGreaterThan(100_000);
    }

    @Test
    void withoutTheGuardALateOperationIsAdmittedAfterThatOfTheNextHolder() {
        assertThat(firstViolation(new Rules(CLOCK_BOUND, false))).startsWith("out of order");
    }

    @Test
    void withoutTheClockBoundTwoProcessesMayActAtOnce() {
        assertThat(firstViolation(new Rules(0, true))).startsWith("two may act");
    }

    /** With clocks beyond the bound two processes may act at once; only the guard keeps operations in token order. */
    @Test
    void withClocksBeyondTheBoundOnlyTheGuardPreventsOperationsOutOfOrder() {
        ClockOffsets beyondBound = new ClockOffsets(-8, 4, -8, -4, 4);
        assertThat(new Search(new Rules(CLOCK_BOUND, true), beyondBound, false).run())
                .startsWith("two may act");
        Search fenced = new Search(new Rules(CLOCK_BOUND, true), beyondBound, true);
        assertThat(fenced.run()).isNull();
        assertThat(fenced.bothActed).isTrue();
        assertThat(new Search(new Rules(CLOCK_BOUND, false), beyondBound, true).run())
                .startsWith("out of order");
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
        for (long first : new long[] {-CLOCK_BOUND, CLOCK_BOUND}) {
            for (long second : new long[] {-CLOCK_BOUND, CLOCK_BOUND}) {
                for (long resource : new long[] {-CLOCK_BOUND, CLOCK_BOUND}) {
                    all.add(new ClockOffsets(first, second, resource, -CLOCK_BOUND, CLOCK_BOUND));
                }
            }
        }
        return all;
    }

    /** A breadth-first search, so that a violation is found by a shortest path. */
    private static final class Search {
        private final Rules rules;
        private final ClockOffsets clocks;
        private final boolean tokenOrderOnly;
        private final Set<SystemState> visited = new HashSet<>();
        private boolean bothActed;
        private int states;
        private String violation;

        /**
         * Creates a search for violations.
         *
         * @param tokenOrderOnly whether only operations out of token order count as violations
         */
        Search(Rules rules, ClockOffsets clocks, boolean tokenOrderOnly) {
            this.rules = rules;
            this.clocks = clocks;
            this.tokenOrderOnly = tokenOrderOnly;
        }

        /** Returns a description of the first violation, or null if there is none. */
        String run() {
            SystemState start = new SystemState(
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
            List<SystemState> frontier = List.of(start);
            visited.add(start);
            for (int step = 0; step < DEPTH && violation == null; step++) {
                List<SystemState> next = new ArrayList<>();
                for (SystemState state : frontier) {
                    forEachSuccessor(state, to -> {
                        if (violation == null && visited.add(to)) {
                            check(to);
                            next.add(to);
                        }
                    });
                }
                frontier = next;
            }
            states = visited.size();
            visited.clear();
            return violation;
        }

        private LeaseHolderState holder(int process) {
            return LeaseHolderState.initial(new LeaseTerms("t", HOLDERS[process], LENGTH, rules.clockBound()))
                    .want(clocks.ofProcess(process));
        }

        private void check(SystemState state) {
            if (!tokenOrderOnly
                    && state.holders().get(0).mayAct(state.time() + clocks.firstProcess())
                    && state.holders().get(1).mayAct(state.time() + clocks.secondProcess())) {
                violation = "two may act at once: " + state;
            }
        }

        private void forEachSuccessor(SystemState state, Consumer<SystemState> successors) {
            successors.accept(state.atTime(state.time() + 1));
            if (!state.leaderChanged()) {
                successors.accept(state.withNewLeader());
            }
            for (int process = 0; process < 2; process++) {
                LeaseHolderState holder = state.holders().get(process);
                long now = state.time() + clocks.ofProcess(process);
                if (now >= holder.wakeupNanos()) {
                    LeaseHolderState.Step step = holder.onTime(now);
                    successors.accept(stepped(state, process, step));
                    if (step.request() != null) {
                        successors.accept(exchange(state, process, step, now));
                    }
                }
                if (holder.mayAct(now)) {
                    LeasePermit operation = holder.permit();
                    // The second process's operations arrive at once. Nothing is omitted, as all clocks are swapped
                    // too.
                    if (process == 1) {
                        successors.accept(arrive(state, operation));
                    } else if (state.operations().isEmpty()) {
                        successors.accept(state.withOperations(List.of(operation)));
                    }
                }
            }
            for (int i = 0; i < state.requests().size(); i++) {
                deliverRequest(state, i, successors);
            }
            for (int i = 0; i < state.responses().size(); i++) {
                Delivery delivery = state.responses().get(i);
                SystemState received = state.withResponses(minus(state.responses(), i));
                successors.accept(stepped(
                        received,
                        delivery.process(),
                        state.holders()
                                .get(delivery.process())
                                .onResponse(delivery.response(), state.time() + clocks.ofProcess(delivery.process()))));
            }
            if (!state.operations().isEmpty()) {
                successors.accept(arrive(
                        state.withOperations(List.of()), state.operations().get(0)));
            }
        }

        /** Sends a request and delivers its response with no event in between, as over a fast network. */
        private SystemState exchange(SystemState state, int process, LeaseHolderState.Step step, long now) {
            LeaseTable.Transition applied = state.leases().apply(step.request(), leaderTime(state), rules.clockBound());
            LeaseHolderState.Step responded = step.next().onResponse(applied.response(), now);
            return stepped(state.withLeases(applied.next(), false), process, responded);
        }

        private long leaderTime(SystemState state) {
            return state.time() + (state.leaderChanged() ? clocks.secondLeader() : clocks.firstLeader());
        }

        private void deliverRequest(SystemState state, int i, Consumer<SystemState> successors) {
            LeaseRequest request = state.requests().get(i);
            LeaseTable.Transition applied = state.leases().apply(request, leaderTime(state), rules.clockBound());
            Delivery delivery = new Delivery(request.holder().equals(HOLDERS[0]) ? 0 : 1, applied.response());
            List<Delivery> all = state.responses().size() < 2 ? plus(state.responses(), delivery) : state.responses();
            successors.accept(state.withLeases(applied.next(), false)
                    .withResponses(all)
                    .withRequests(minus(state.requests(), i)));
            if (!state.duplicated()) {
                // A duplicate arrives later.
                successors.accept(state.withLeases(applied.next(), true).withResponses(all));
            }
        }

        /** Applies a holder's step; its request is lost if the simulated network already holds two. */
        private SystemState stepped(SystemState state, int process, LeaseHolderState.Step step) {
            SystemState next = state.withHolder(process, step.next());
            return step.request() == null || state.requests().size() >= 2
                    ? next
                    : next.withRequests(plus(state.requests(), step.request()));
        }

        /** Lets an operation arrive at the resource, which executes it if it is admitted. */
        private SystemState arrive(SystemState state, LeasePermit operation) {
            FencingGuard.Admission admission =
                    state.guard().admit(operation.token(), operation.deadlineNanos(), state.time() + clocks.resource());
            if (rules.fencing() && admission.decision() != FencingGuard.Decision.ADMITTED) {
                return state.withGuard(admission.next(), state.lastToken());
            }
            bothActed |= state.lastToken() > 0 && operation.token() > state.lastToken();
            if (operation.token() < state.lastToken()) {
                violation = "out of order: " + operation + " in " + state;
            }
            Lease lease = state.leases().leases().get("t");
            if (!tokenOrderOnly && rules.fencing() && operation.token() < lease.token()) {
                violation = "late: " + operation + " in " + state;
            }
            return state.withGuard(admission.next(), operation.token());
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
