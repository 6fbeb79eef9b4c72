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
 * Two processes, the grantor and one resource, over all interleavings to a depth: time passes, a process looks or
 * stands still, messages come late, twice or never, the grantor's leader changes to one with another clock, a process
 * begins an act and the act lands at any later time. Clocks are off by the bound in either direction, or by more.
 */
@Timeout(120)
class LeaseModelTest {
    private static final long LENGTH = 3;
    private static final long BOUND = 1;
    /**
     * As short as a breach without the fence can be, and one more: two leases asked for and heard of, an act under
     * each, the first one late, and the time between.
     */
    private static final int DEPTH = 10;

    private static final String[] HOLDERS = {"a#1", "b#1"};

    /** What the machines are run with: the real one, or one with something left out. */
    private record Rules(long bound, boolean fence) {}

    /** How far each clock is from the true time, the grantor's before and after its leader changes. */
    private record Clocks(long first, long second, long resource, long before, long after) {
        long of(int who) {
            return who == 0 ? first : second;
        }
    }

    private record Mail(int to, LeaseResponse answer) {}

    private record Act(long token, long until) {}

    /** One state of it all; messages in flight may land in any order. */
    private record World(
            long time,
            boolean changed,
            LeaseTable grants,
            List<LeaseHolderState> tenures,
            FencingGuard fence,
            List<LeaseRequest> asks,
            List<Mail> mail,
            List<Act> acts,
            boolean doubled,
            long done) {
        World at(long next) {
            return new World(next, changed, grants, tenures, fence, asks, mail, acts, doubled, done);
        }

        World led() {
            return new World(time, true, grants, tenures, fence, asks, mail, acts, doubled, done);
        }

        World with(int who, LeaseHolderState tenure) {
            return new World(
                    time,
                    changed,
                    grants,
                    who == 0 ? List.of(tenure, tenures.get(1)) : List.of(tenures.get(0), tenure),
                    fence,
                    asks,
                    mail,
                    acts,
                    doubled,
                    done);
        }

        World asks(List<LeaseRequest> next) {
            return new World(time, changed, grants, tenures, fence, next, mail, acts, doubled, done);
        }

        World mail(List<Mail> next) {
            return new World(time, changed, grants, tenures, fence, asks, next, acts, doubled, done);
        }

        World granted(LeaseTable next, boolean twice) {
            return new World(time, changed, next, tenures, fence, asks, mail, acts, doubled || twice, done);
        }

        World acts(List<Act> next) {
            return new World(time, changed, grants, tenures, fence, asks, mail, next, doubled, done);
        }

        World landed(FencingGuard next, long token) {
            return new World(time, changed, grants, tenures, next, asks, mail, acts, doubled, token);
        }
    }

    @Test
    void noTwoMayActAtOnceAndNoActIsDoneLateOrOutOfTurn() {
        int states = 0;
        int bothActed = 0;
        for (Clocks clocks : allClocks()) {
            Search search = new Search(new Rules(BOUND, true), clocks, false);
            assertThat(search.run()).as("%s", clocks).isNull();
            states += search.states;
            bothActed += search.bothActed ? 1 : 0;
        }
        assertThat(bothActed)
                .as("searches that went deep enough for both to act")
                .isPositive();
        assertThat(states).isGreaterThan(100_000);
    }

    @Test
    void withoutTheFenceALateActIsDoneBehindTheNextHolders() {
        assertThat(worst(new Rules(BOUND, false))).startsWith("out of turn");
    }

    @Test
    void withoutTheClockBoundTwoMayActAtOnce() {
        assertThat(worst(new Rules(0, true))).startsWith("two may act");
    }

    /** Beyond the bound two may act at once; the fence still lets none act out of turn, and nothing else does. */
    @Test
    void withClocksBeyondTheBoundTheFenceAloneHolds() {
        Clocks far = new Clocks(-8, 4, -8, -4, 4);
        assertThat(new Search(new Rules(BOUND, true), far, false).run()).startsWith("two may act");
        Search fenced = new Search(new Rules(BOUND, true), far, true);
        assertThat(fenced.run()).isNull();
        assertThat(fenced.bothActed).isTrue();
        assertThat(new Search(new Rules(BOUND, false), far, true).run()).startsWith("out of turn");
    }

    private static String worst(Rules rules) {
        for (Clocks clocks : allClocks()) {
            String broken = new Search(rules, clocks, false).run();
            if (broken != null) {
                return broken;
            }
        }
        return "none";
    }

    private static List<Clocks> allClocks() {
        List<Clocks> all = new ArrayList<>();
        for (long first : new long[] {-BOUND, BOUND}) {
            for (long second : new long[] {-BOUND, BOUND}) {
                for (long resource : new long[] {-BOUND, BOUND}) {
                    all.add(new Clocks(first, second, resource, -BOUND, BOUND));
                }
            }
        }
        return all;
    }

    /** Breadth first, so that what is found is as short as it can be. */
    private static final class Search {
        private final Rules rules;
        private final Clocks clocks;
        private final boolean tokensAlone;
        private final Set<World> seen = new HashSet<>();
        private boolean bothActed;
        private int states;
        private String broken;

        /** One that asks for the order of tokens alone, or also for times. */
        Search(Rules rules, Clocks clocks, boolean tokensAlone) {
            this.rules = rules;
            this.clocks = clocks;
            this.tokensAlone = tokensAlone;
        }

        /** How a rule is broken, or null. */
        String run() {
            World start = new World(
                    0,
                    false,
                    LeaseTable.none(),
                    List.of(tenure(0), tenure(1)),
                    FencingGuard.open(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false,
                    0);
            List<World> edge = List.of(start);
            seen.add(start);
            for (int step = 0; step < DEPTH && broken == null; step++) {
                List<World> next = new ArrayList<>();
                for (World world : edge) {
                    moves(world, to -> {
                        if (broken == null && seen.add(to)) {
                            judge(to);
                            next.add(to);
                        }
                    });
                }
                edge = next;
            }
            states = seen.size();
            seen.clear();
            return broken;
        }

        private LeaseHolderState tenure(int who) {
            return LeaseHolderState.of("t", HOLDERS[who], LENGTH, rules.bound()).want(clocks.of(who));
        }

        private void judge(World w) {
            if (!tokensAlone
                    && w.tenures().get(0).mayAct(w.time() + clocks.first())
                    && w.tenures().get(1).mayAct(w.time() + clocks.second())) {
                broken = "two may act at once: " + w;
            }
        }

        private void moves(World w, Consumer<World> to) {
            to.accept(w.at(w.time() + 1));
            if (!w.changed()) {
                to.accept(w.led());
            }
            for (int who = 0; who < 2; who++) {
                LeaseHolderState tenure = w.tenures().get(who);
                long now = w.time() + clocks.of(who);
                if (now >= tenure.wake()) {
                    LeaseHolderState.Step step = tenure.at(now);
                    to.accept(stepped(w, who, step));
                    if (step.ask() != null) {
                        to.accept(answered(w, who, step, now));
                    }
                }
                if (tenure.mayAct(now)) {
                    Act act = new Act(tenure.token(), tenure.until());
                    // The second one's acts land at once; as clocks are swapped too, that leaves nothing out.
                    if (who == 1) {
                        to.accept(landed(w, act));
                    } else if (w.acts().isEmpty()) {
                        to.accept(w.acts(List.of(act)));
                    }
                }
            }
            for (int i = 0; i < w.asks().size(); i++) {
                ask(w, i, to);
            }
            for (int i = 0; i < w.mail().size(); i++) {
                Mail mail = w.mail().get(i);
                World rest = w.mail(minus(w.mail(), i));
                to.accept(stepped(
                        rest,
                        mail.to(),
                        w.tenures().get(mail.to()).heard(mail.answer(), w.time() + clocks.of(mail.to()))));
            }
            if (!w.acts().isEmpty()) {
                to.accept(landed(w.acts(List.of()), w.acts().get(0)));
            }
        }

        /** Asked, granted or refused, and heard of with nothing in between: what a fast network does. */
        private World answered(World w, int who, LeaseHolderState.Step step, long now) {
            LeaseTable.Applied applied = w.grants().apply(step.ask(), stamp(w), rules.bound());
            LeaseHolderState.Step heard = step.next().heard(applied.answer(), now);
            return stepped(w.granted(applied.next(), false), who, heard);
        }

        private long stamp(World w) {
            return w.time() + (w.changed() ? clocks.after() : clocks.before());
        }

        private void ask(World w, int i, Consumer<World> to) {
            LeaseRequest ask = w.asks().get(i);
            LeaseTable.Applied applied = w.grants().apply(ask, stamp(w), rules.bound());
            Mail mail = new Mail(ask.holder().equals(HOLDERS[0]) ? 0 : 1, applied.answer());
            List<Mail> all = w.mail().size() < 2 ? plus(w.mail(), mail) : w.mail();
            to.accept(w.granted(applied.next(), false).mail(all).asks(minus(w.asks(), i)));
            if (!w.doubled()) {
                // It comes again later.
                to.accept(w.granted(applied.next(), true).mail(all));
            }
        }

        /** A full network loses what comes. */
        private World stepped(World w, int who, LeaseHolderState.Step step) {
            World next = w.with(who, step.next());
            return step.ask() == null || w.asks().size() >= 2 ? next : next.asks(plus(w.asks(), step.ask()));
        }

        private World landed(World rest, Act act) {
            FencingGuard.Admission admission =
                    rest.fence().admit(act.token(), act.until(), rest.time() + clocks.resource());
            if (rules.fence() && admission.verdict() != FencingGuard.Verdict.ADMITTED) {
                return rest.landed(admission.next(), rest.done());
            }
            bothActed |= rest.done() > 0 && act.token() > rest.done();
            if (act.token() < rest.done()) {
                broken = "out of turn: " + act + " in " + rest;
            }
            Lease lease = rest.grants().leases().get("t");
            if (!tokensAlone && rules.fence() && act.token() < lease.token()) {
                broken = "late: " + act + " in " + rest;
            }
            return rest.landed(admission.next(), act.token());
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
