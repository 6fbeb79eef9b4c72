package beaconladder.cells;

import beaconladder.api.Pause;
import beaconladder.api.Router;
import beaconladder.api.Verdict;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;

/**
 * The decisions within cells: each question is asked of the module as ever, unless the txn may no longer go
 * where
 * it was let in; then it is displaced before anything more is sent for it.
 */
public final class Confined implements Router {
    private final Router inner;
    private final Gate gate;

    public Confined(Router inner, Gate gate) {
        this.inner = inner;
        this.gate = gate;
    }

    @Override
    public TxnType type(int place) {
        return inner.type(place);
    }

    @Override
    public Verdict place(Txn txn, long now) {
        return gate.stands(txn, now) ? inner.place(txn, now) : inner.displaced(txn, now);
    }

    @Override
    public boolean stands(Submission submission, long now) {
        return gate.stands(submission.txn, now) && inner.stands(submission, now);
    }

    @Override
    public long keepIdle() {
        return inner.keepIdle();
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

    @Override
    public Pause pause(long now) {
        return inner.pause(now);
    }

    @Override
    public Verdict displaced(Txn txn, long now) {
        return inner.displaced(txn, now);
    }

    @Override
    public void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        inner.listed(host, leader, state, launched, now);
    }

    @Override
    public boolean forget(Host host, long now) {
        return inner.forget(host, now);
    }

    @Override
    public void probed(Host host, Outcome outcome, Word report, long now) {
        inner.probed(host, outcome, report, now);
    }

    @Override
    public Verdict left(Txn txn, long now) {
        return inner.left(txn, now);
    }
}
