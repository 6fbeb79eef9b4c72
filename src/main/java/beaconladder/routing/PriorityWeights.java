package beaconladder.routing;

import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.TrafficStatistics;

/** What txns and questions are worth, by the prices and the goal that are stated. */
record PriorityWeights(TrafficStatistics traffic) {
    int budget(Request request) {
        double pays = 0.15 * request.requestClass.weight() / (fee("fees.probe") * traffic.meanWeight());
        return (int) Math.max(1, Math.min(1_000, pays));
    }

    /**
     * Whether to ask before a send to members that were not heard of lately: where two probes cost under three points
     * in a hundred, as knowing the load brings more than that by far. Covers whatever shows in a probe: dead and
     * unreachable members, queues, changed roles. Harm: the price and some milliseconds, where nothing is wrong.
     */
    boolean worthAsking() {
        return 2 * fee("fees.probe") <= 0.03;
    }

    /**
     * What a unit of value counts in the goal, by txn type: its part of the whole, and for the types served worst their
     * part of that term, spread over the little value that such a type asks for. Guards against starving a type for
     * another of higher value; harm: a type that nobody can serve still goes first, at no cost to the hosts.
     */
    double[] weights() {
        double[] weights = new double[traffic.requestClasses.size()];
        double asked = Math.max(1, traffic.recentWeight());
        double worst = traffic.requestClasses.stream()
                .filter(type -> type.slaResults().size() >= 8)
                .mapToDouble(type -> type.slaResults().mean())
                .min()
                .orElse(1);
        for (RequestClass type : traffic.requestClasses) {
            double part = Math.max(0.05, traffic.recentClasses.count(type.index()) * type.weight() / asked);
            // Within a tenth of the worst a type may be the worst one soon: samples of 64 are as rough as
            // that.
            boolean behind = type.slaResults().size() >= 8 && type.slaResults().mean() <= worst + 0.1;
            weights[type.index()] = goal("whole") + (behind ? goal("worst_class") / part : 0);
        }
        return weights;
    }

    private double goal(String name) {
        return traffic.number("goal." + name, name.equals("whole") ? 1 : 0);
    }

    /** What an answer would still earn. */
    double of(Request request, long now) {
        return now < request.slaEndNanos
                ? request.requestClass.weight()
                : request.requestClass.weight() * request.requestClass.lateShare();
    }

    /** A price, as a share of a txn; never quite nothing. */
    double fee(String name) {
        return Math.max(1e-3, traffic.number(name, 0));
    }
}
