package beaconladder.routing;

import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Effect;
import beaconladder.routing.state.TrafficStatistics;
import java.util.List;

/** How many submissions a txn gets, and how it ends without a commit. */
record RetryPolicy(TrafficStatistics traffic) {
    /** Further submissions go by value: one for the least, four for the most. */
    int mostSubmissions(Request txn) {
        int most = (int) traffic.number("limits.max_attempts", 1);
        return Math.min(most, 2 + (int) Math.round(3 * txn.type.value() / traffic.topValue));
    }

    RoutingDecision giveUp(Request txn, RoutingDecision.Reason reason, long now) {
        traffic.served(txn, false);
        traffic.failed(txn, now);
        Attempt ran = txn.mayHaveRun();
        Effect effect = txn.type.effect();
        if (ran == null
                || effect == Effect.REPEATABLE
                || effect == Effect.REFERENCED && txn.type.scope() == RequestClass.Scope.ALL) {
            long advice = traffic.says("limits.retry_after")
                    ? Math.min(traffic.micros("limits.max_retry_after_us"), txn.type.sla())
                    : 0;
            return RoutingDecision.decline(advice, reason);
        }
        return RoutingDecision.rollBack(reason);
    }

    /** Copies that are out when the answer is there are called off. */
    List<Attempt> othersOut(Request txn) {
        return traffic.says("limits.cancel")
                ? txn.submissions.stream().filter(s -> !s.ended).toList()
                : List.of();
    }
}
