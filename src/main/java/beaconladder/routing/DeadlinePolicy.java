package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MS;
import static beaconladder.routing.state.TrafficStatistics.UNBOUND;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Effect;
import beaconladder.routing.state.SampleWindow;
import beaconladder.routing.state.TrafficStatistics;

/** How long what is worth: when a txn is in time, is released, is given up. */
record DeadlinePolicy(TrafficStatistics traffic, OutlierDetector health) {
    /** An older answer tells of a load that may be gone. */
    private static final long RECENT = 3_000 * MS;
    /**
     * So much of what is left a host is not told. A router may be held up for 0.15 s between its look at the clock and
     * its write, which is all of the slack that the protocol gives; what a part of a core takes besides has to be
     * covered here.
     */
    private static final long KEPT_BACK = 50 * MS;
    /** Of little time no more than this part is kept back. */
    private static final int LEAST_PART = 4;

    /**
     * When the SLA time ends, counted from the client's first try. First tries of a type bring one and the same budget;
     * any other budget is what is left of the type's expiry, so the difference has already gone by. Guards against
     * serving repeats that can earn nothing while fresh txns wait; errs on the side of serving. Where clients mark
     * their repeats, what isn't marked is a first try; where they don't, budgets under the SLA time that are more
     * frequent than repeats scatter are of clients that come with little time.
     */
    long slaEnd(Request txn) {
        long budget = txn.expiry - txn.arrived;
        SampleWindow budgets = txn.type.budgets();
        budgets.add(budget, 0, txn.arrived);
        // Eight samples tell a cluster from scatter; arrivals are read once a tick, so equal budgets spread
        // by one.
        long first = budgets.densest(8 * MS);
        boolean marked = traffic.says("clients.marks_retry");
        boolean usual = budgets.size() < 8 || Math.abs(budget - first) <= 8 * MS;
        long sla = txn.type.sla();
        boolean hurried = budget < sla
                && budgets.between(0, sla) * (first - sla) > 2 * budgets.between(sla, first - 8 * MS) * sla;
        boolean firstTry = marked ? !txn.repeated : usual || hurried;
        long gone = firstTry
                ? 0
                : usual ? (long) (sla * traffic.patience.mean() / 1_000) : Math.max(0, txn.type.expiry() - budget);
        return Math.min(txn.arrived + sla - gone, txn.expiry);
    }

    /**
     * The time within which an answer is of use: the SLA time, or, where many clients leave sooner, what they have
     * lately waited.
     */
    double aim(Request txn, long now) {
        long since = now - 10_000 * MS;
        // A client now and then leaves on any day; three of ten in ten seconds are a habit.
        return traffic.patience.since(since) >= Math.max(2, 0.3 * traffic.fates.since(since))
                ? txn.type.sla() * Math.min(1, traffic.patience.mean(since) / 1_000)
                : txn.type.sla();
    }

    /**
     * When a held read may go to the primary: the design's default, one SLA time before its expiry, or earlier where
     * the primary's answer would else come too late. One and a half usual times cover two answers in three. A round
     * before its last use at the latest, where slower replicas set that use before the primary's answer: a release
     * after it would never come.
     */
    long release(Request txn) {
        Host primary = txn.group.primary;
        long answer = primary == null || txn.group.times.size() == 0 ? 0 : health.usual(primary) * 3 / 2;
        return Math.min(Math.min(txn.expiry - txn.type.sla(), txn.slaEnd - answer), lastUse(txn) - round());
    }

    /**
     * From here on a txn that is not out is not worth its work: three in five answers would come too late. A late
     * answer that earns a quarter or less is no reason to send, since a fresh txn earns more by the same work. Guards
     * against overload fed by work for nothing.
     */
    long lastUse(Request txn) {
        if (txn.type.effect() == Effect.ONCE_ONLY) {
            return lastSafeUse(txn);
        }
        long end = txn.type.late() > 0.25 ? txn.expiry : txn.slaEnd;
        return Math.min(end - txn.group.times.quantile(0.4), lastMoment(txn));
    }

    /**
     * What must not run twice and runs into its time ends as one that may have run, which is worse than a refusal. So
     * the primary's newest answer counts too, where it is recent: a host that has just become slow shows in no quantile
     * yet. The answer has to be here by the last moment, not by the expiry.
     */
    private long lastSafeUse(Request txn) {
        Host primary = txn.group.primary;
        boolean recent = primary != null && primary.newestAnswerAt >= txn.arrived - RECENT;
        long answer = Math.max(recent ? primary.newestAnswerTook : 0, txn.group.times.quantile(0.4));
        // Past the time that it is told, a host may drop the write without a word.
        long last = answer == 0 ? lastMoment(txn) : lastMoment(txn) - KEPT_BACK;
        return (txn.type.late() > 0.25 ? last : Math.min(txn.slaEnd, last)) - answer;
    }

    /**
     * A txn that lives by the primary, never sent, is given up at half of its time where that is long lost, so that its
     * client may try again: an outage of T so far ends within r with chance r / (T + r), and at under three in ten a
     * late answer isn't worth it. Harm: an outage's end finds fewer of them here.
     */
    boolean hopeless(Request txn, long now) {
        Host primary = txn.group.primary;
        boolean lost = primary == null || !primary.met || health.doubtful(primary, now);
        long since = primary == null ? txn.group.lostAt : primary.lastHeard;
        return lost
                && since != UNBOUND
                && txn.type.read().needsPrimary()
                && txn.submissions.isEmpty()
                && now >= half(txn)
                && now - since > 2.3 * (lastUse(txn) - now);
    }

    private long half(Request txn) {
        return (txn.arrived + lastMoment(txn)) / 2;
    }

    /** Late answers that earn nothing are not waited for. */
    long timeout(Request txn, long now) {
        boolean late = txn.type.late() > 0 || txn.type.effect() != Effect.REPEATABLE;
        return (late ? lastMoment(txn) : Math.min(txn.slaEnd, lastMoment(txn))) - now;
    }

    /** How long a host is told that its answer is waited for, where so much is left of the attempt's time. */
    long toldTime(long left) {
        return left - Math.min(KEPT_BACK, left / LEAST_PART);
    }

    private long round() {
        return (long) traffic.number("round_us", 5_000) * 1_000;
    }

    /** Two ticks (10 ms) before the expiry: on a busy core timers and threads were seen 7 ms late at most. */
    private long lastMoment(Request txn) {
        return txn.expiry - 2 * round();
    }

    long nextLook(Request txn, long now) {
        long look = lastUse(txn);
        for (long moment : new long[] {release(txn), half(txn)}) {
            look = now < moment ? Math.min(look, moment) : look;
        }
        // Draws for doubtful hosts and the budget of cold ones change with time alone.
        long soon = txn.want == Request.Want.NOTHING ? 100 * MS : OutlierDetector.MUTE;
        return Math.max(now + 5 * MS, Math.min(look, now + soon));
    }
}
