package beaconladder.routing;

import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.TrafficStatistics;

/** The priority weights of requests and the budget of probes, by the stated prices and goal. */
record PriorityWeights(TrafficStatistics traffic) {
    int probeBudget(Request request) {
        double affordable = 0.15 * request.requestClass.weight() / (probePrice() * traffic.meanWeight());
        return (int) Math.max(1, Math.min(1_000, affordable));
    }

    /**
     * Whether to ask before a send to members that were not heard of lately: where two probes cost under three points
     * in a hundred, as knowing the load brings more than that by far. Covers whatever shows in a probe: dead and
     * unreachable members, queues, changed roles. Harm: the price and some milliseconds, where nothing is wrong.
     */
    boolean isProbingCheap() {
        return 2 * probePrice() <= 0.03;
    }

    /**
     * What a unit of value counts in the goal, by request class: its part of the whole, and for the types served worst
     * their part of that term, spread over the little value that such a type asks for. Guards against starving a type
     * for another of higher value; harm: a type that nobody can serve still goes first, at no cost to the hosts.
     */
    double[] classWeights() {
        double[] weights = new double[traffic.requestClasses.size()];
        double recentWeight = Math.max(1, traffic.recentWeight());
        double worstSlaShare = traffic.requestClasses.stream()
                .filter(requestClass -> requestClass.slaResults().size() >= 8)
                .mapToDouble(requestClass -> requestClass.slaResults().mean())
                .min()
                .orElse(1);
        for (RequestClass requestClass : traffic.requestClasses) {
            double share = Math.max(
                    0.05, traffic.recentClasses.count(requestClass.index()) * requestClass.weight() / recentWeight);
            // Within a tenth of the worst a type may be the worst one soon: samples of 64 are as rough as
            // that.
            boolean nearWorst = requestClass.slaResults().size() >= 8
                    && requestClass.slaResults().mean() <= worstSlaShare + 0.1;
            weights[requestClass.index()] =
                    traffic.settings.totalGoal() + (nearWorst ? traffic.settings.worstClassGoal() / share : 0);
        }
        return weights;
    }

    /** The weight that an answer at this time would still have. */
    double remainingWeight(Request request, long now) {
        return now < request.slaEndNanos
                ? request.requestClass.weight()
                : request.requestClass.weight() * request.requestClass.lateShare();
    }

    /** The price of a probe as a share of a request; never quite 0. */
    double probePrice() {
        return Math.max(1e-3, traffic.settings.probePrice());
    }
}
