package beaconladder.routing;

import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.TrafficStatistics;

/** Computes the priority weights of requests and their probe budgets, from the prices and the goal in the settings. */
record PriorityWeights(TrafficStatistics traffic) {
    /** The share of a request's weight that its probes may cost. */
    private static final double PROBE_BUDGET_SHARE = 0.15;

    private static final int MAX_PROBE_BUDGET = 1_000;
    /** The share of a request's weight up to which two probes ahead of a send are cheap. */
    private static final double CHEAP_PROBES_SHARE = 0.03;
    /** With fewer results than this, the share of a class that is served within the SLA time is not known. */
    private static final int MIN_SLA_RESULTS = 8;
    /** The share of the recent weight that a request class counts for at least. */
    private static final double MIN_CLASS_SHARE = 0.05;
    /** A class within this of the worst one may soon be the worst: shares from 64 samples are that inexact. */
    private static final double NEAR_WORST_DISTANCE = 0.1;

    /** Returns how many probes may be sent for this request: about a seventh of its weight's worth, at least one. */
    int probeBudget(Request request) {
        double affordable = PROBE_BUDGET_SHARE * request.requestClass.weight() / (probePrice() * traffic.meanWeight());
        return (int) Math.max(1, Math.min(MAX_PROBE_BUDGET, affordable));
    }

    /**
     * Whether to probe hosts without recent reports before a send. This is so where two probes cost at most three
     * hundredths of a request, as knowing the load brings far more than that. It covers all that a probe shows: dead
     * and unreachable hosts, queues, changed roles. The drawback is the price and some milliseconds where nothing is
     * wrong.
     */
    boolean isProbingCheap() {
        return 2 * probePrice() <= CHEAP_PROBES_SHARE;
    }

    /**
     * Returns what a unit of weight counts in the goal, by request class: its part in the total, plus, for the worst
     * served classes, the part of the worst class divided by the class's share of the recent weight. This avoids
     * starving a class for another one of higher weight. The drawback is that a class that can't be served at all still
     * goes first, at no cost to the hosts.
     */
    double[] classWeights() {
        double[] weights = new double[traffic.requestClasses.size()];
        double recentWeight = Math.max(1, traffic.recentWeight());
        double worstSlaShare = traffic.requestClasses.stream()
                .filter(requestClass -> requestClass.slaResults().size() >= MIN_SLA_RESULTS)
                .mapToDouble(requestClass -> requestClass.slaResults().mean())
                .min()
                .orElse(1);
        for (RequestClass requestClass : traffic.requestClasses) {
            double share = Math.max(
                    MIN_CLASS_SHARE,
                    traffic.recentClasses.count(requestClass.index()) * requestClass.weight() / recentWeight);
            boolean nearWorst = requestClass.slaResults().size() >= MIN_SLA_RESULTS
                    && requestClass.slaResults().mean() <= worstSlaShare + NEAR_WORST_DISTANCE;
            weights[requestClass.index()] =
                    traffic.settings.totalGoal() + (nearWorst ? traffic.settings.worstClassGoal() / share : 0);
        }
        return weights;
    }

    /** Returns the weight that an answer at this time would still have. */
    double remainingWeight(Request request, long now) {
        return now < request.slaEndNanos
                ? request.requestClass.weight()
                : request.requestClass.weight() * request.requestClass.lateShare();
    }

    /** Returns the price of a probe as a share of a request; at least 0.001. */
    double probePrice() {
        return Math.max(1e-3, traffic.settings.probePrice());
    }
}
