package beaconladder.api;

import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;

/** Decisions within bounds: each question goes on to another router's, but for those that a bound changes. */
public abstract class Within implements Router {
    protected final Router inner;

    protected Within(Router inner) {
        this.inner = inner;
    }

    @Override
    public TxnType type(int place) {
        return inner.type(place);
    }

    @Override
    public Verdict place(Txn txn, long now) {
        return inner.place(txn, now);
    }

    @Override
    public SendCheck mayGo(Submission submission, long now) {
        return inner.mayGo(submission, now);
    }

    @Override
    public long toldTime(long left) {
        return inner.toldTime(left);
    }

    @Override
    public long keepIdle() {
        return inner.keepIdle();
    }

    @Override
    public Verdict after(Submission s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        return inner.after(s, outcome, settled, answer, report, now);
    }

    @Override
    public Pause pause(long now) {
        return inner.pause(now);
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

    @Override
    public Verdict displaced(Txn txn, long now) {
        return inner.displaced(txn, now);
    }
}
