package beaconladder.cells;

import beaconladder.api.Router;
import beaconladder.api.SendCheck;
import beaconladder.api.Verdict;
import beaconladder.api.Within;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;

/**
 * The decisions within cells: each question is asked of the module as ever, unless the txn may no longer go where it
 * was let in; then it is displaced before anything more is sent for it.
 */
public final class Confined extends Within {
    private final Gate gate;

    public Confined(Router inner, Gate gate) {
        super(inner);
        this.gate = gate;
    }

    @Override
    public Verdict place(Txn txn, long now) {
        return gate.stands(txn, now) ? inner.place(txn, now) : inner.displaced(txn, now);
    }

    @Override
    public SendCheck mayGo(Submission submission, long now) {
        return gate.stands(submission.txn, now) ? inner.mayGo(submission, now) : SendCheck.NOT_ADMITTED;
    }

    @Override
    public Verdict after(Submission s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        gate.ended(s, outcome, answer, now);
        if (settled || s.txn.ended || gate.stands(s.txn, now)) {
            return inner.after(s, outcome, settled, answer, report, now);
        }
        // The outcome is learnt from as ever, as that of a txn that has ended: nothing more is sent for it.
        s.txn.ended = true;
        inner.after(s, outcome, false, answer, report, now);
        s.txn.ended = false;
        return inner.displaced(s.txn, now);
    }
}
