package beaconladder;

import beaconladder.api.Verdict;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Traffic;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;
import beaconladder.fleet.TxnType.Effect;
import java.util.List;

/** How many submissions a txn gets, and how it ends without a commit. */
record Ends(Traffic traffic) {
    /** Further submissions go by value: one for the least, four for the most. */
    int mostSubmissions(Txn txn) {
        int most = (int) traffic.number("limits.max_attempts", 1);
        return Math.min(most, 2 + (int) Math.round(3 * txn.type.value() / traffic.topValue));
    }

    Verdict giveUp(Txn txn, Verdict.Reason reason, long now) {
        traffic.served(txn, false);
        traffic.failed(txn, now);
        Submission ran = txn.mayHaveRun();
        Effect effect = txn.type.effect();
        if (ran == null
                || effect == Effect.REPEATABLE
                || effect == Effect.REFERENCED && txn.type.scope() == TxnType.Scope.ALL) {
            long advice = traffic.says("limits.retry_after")
                    ? Math.min(traffic.micros("limits.max_retry_after_us"), txn.type.sla())
                    : 0;
            return Verdict.decline(advice, reason);
        }
        return Verdict.rollBack(reason);
    }

    /** Copies that are out when the answer is there are called off. */
    List<Submission> othersOut(Txn txn) {
        return traffic.says("limits.cancel")
                ? txn.submissions.stream().filter(s -> !s.ended).toList()
                : List.of();
    }
}
