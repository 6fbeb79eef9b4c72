package beaconladder.lease;

/**
 * One process and one task, as a state machine: what to ask, and until when it may act. The caller hands it the time at
 * each {@link #wake} and what the grantor says, acts only while {@link #mayAct}, and puts token and {@link #until} on
 * every act. docs/lease.md has its transitions as a table.
 *
 * @param holder this process, by name and incarnation
 * @param length how long a lease is asked for
 * @param bound how far any clock of the fleet may be from the true time
 * @param wanted whether the task is wanted at all
 * @param number of the newest ask
 * @param sentNumber of the first ask whose answer is awaited, or Long.MAX_VALUE
 * @param sentAt when that was sent, by this process's clock
 * @param token of the newest grant
 * @param until an act must be sent before this, by this process's clock
 * @param askAt when to ask next
 * @param seen the newest time that this process's clock has shown
 */
public record LeaseHolderState(
        String task,
        String holder,
        long length,
        long bound,
        State state,
        boolean wanted,
        long number,
        long sentNumber,
        long sentAt,
        long token,
        long until,
        long askAt,
        long seen) {
    /** Where the process stands with the task. */
    public enum State {
        ASKED,
        HELD,
        RENEWING,
        EXPIRED,
        RELEASED
    }

    /** A third of its length has gone when a lease is asked for anew, which leaves four tries before its end. */
    private static final int RENEW = 3;

    private static final int AGAIN = 6;
    private static final long NONE = Long.MAX_VALUE;

    /** The state after an event, and what is to be asked of the grantor, or null. */
    public record Step(LeaseHolderState next, LeaseRequest ask) {}

    /** A process that wants nothing yet. */
    public static LeaseHolderState of(String task, String holder, long length, long bound) {
        return new LeaseHolderState(
                task,
                holder,
                length,
                bound,
                State.RELEASED,
                false,
                0,
                NONE,
                0,
                0,
                Long.MIN_VALUE,
                Long.MIN_VALUE,
                Long.MIN_VALUE);
    }

    /** From here on the task is wanted, until a release. */
    public LeaseHolderState want(long now) {
        return wanted
                ? this
                : new LeaseHolderState(
                        task, holder, length, bound, state, true, number, NONE, 0, token, until, now, seen);
    }

    /** Whether it may act now, by this process's clock. */
    public boolean mayAct(long now) {
        return holds() && now >= seen && now < until;
    }

    private boolean holds() {
        return state == State.HELD || state == State.RENEWING;
    }

    /** When to look at it again, if nothing is heard before. */
    public long wake() {
        return Math.min(wanted ? askAt : NONE, holds() ? until : NONE);
    }

    /** What time alone brings. */
    public Step at(long now) {
        // A clock that goes back would lengthen the lease by as much.
        boolean back = now < seen;
        LeaseHolderState here = holds() && (now >= until || back) ? expired(token, now) : seen(now);
        if (!wanted || now < here.askAt && !back) {
            return new Step(here, null);
        }
        // Counted from the first ask without an answer: whichever is answered, it was not sent before
        // that. One too
        // old to bring a lease of use is given up, and with it what is said to it.
        boolean anew = here.sentNumber == NONE || back || now - here.sentAt > length / 2;
        LeaseHolderState asked = new LeaseHolderState(
                task,
                holder,
                length,
                bound,
                here.holds() ? State.RENEWING : State.ASKED,
                true,
                number + 1,
                anew ? number + 1 : here.sentNumber,
                anew ? now : here.sentAt,
                token,
                here.until,
                now + Math.max(1, length / AGAIN),
                now);
        return new Step(asked, LeaseRequest.take(task, holder, number + 1, here.holds() ? token : 0, length));
    }

    /** What the grantor answered. */
    public Step heard(LeaseResponse answer, long now) {
        Step timed = at(now);
        if (!wanted || !answer.task().equals(task) || answer.number() < sentNumber) {
            return timed;
        }
        return switch (answer.why()) {
            case GRANTED -> granted(answer.grant(), timed, now);
            case HANDED_OVER ->
                new Step(
                        gone(number + 1, State.RELEASED, now + length + 2 * bound, now),
                        LeaseRequest.release(task, holder, number + 1, 0));
            // Said to one that holds it, too: then the clocks are further off than the bound, and it stops.
            case HELD ->
                new Step(
                        gone(
                                number,
                                State.ASKED,
                                now + Math.max(Math.max(1, length / AGAIN), Math.min(length, answer.free())),
                                now),
                        null);
            case OVERTAKEN, DONE, NOT_HELD -> timed;
        };
    }

    private Step granted(LeaseGrant grant, Step timed, long now) {
        if (!grant.holder().equals(holder) || grant.token() < token) {
            return timed;
        }
        // Twice over: by the grantor's expiry, and by this clock alone, which no offset can lengthen.
        long end = Math.min(grant.expiry(), sentAt + length) - bound;
        LeaseHolderState here = timed.next();
        if (grant.token() == token && here.holds()) {
            end = Math.max(end, here.until);
        }
        if (end <= now) {
            return new Step(here.expired(grant.token(), now), timed.ask());
        }
        return new Step(
                new LeaseHolderState(
                        task,
                        holder,
                        length,
                        bound,
                        State.HELD,
                        true,
                        here.number,
                        NONE,
                        0,
                        grant.token(),
                        end,
                        now + Math.max(1, Math.min(length / RENEW, (end - now) / 2)),
                        now),
                null);
    }

    /** Gives it up: nothing may be done for it from here on. */
    public Step release(long now) {
        LeaseHolderState next = gone(number + 1, State.RELEASED, now, now);
        return new Step(
                new LeaseHolderState(
                        task,
                        holder,
                        length,
                        bound,
                        next.state,
                        false,
                        next.number,
                        NONE,
                        0,
                        token,
                        next.until,
                        NONE,
                        next.seen),
                state == State.RELEASED && !wanted ? null : LeaseRequest.release(task, holder, number + 1, 0));
    }

    private LeaseHolderState expired(long withToken, long now) {
        return new LeaseHolderState(
                task, holder, length, bound, State.EXPIRED, wanted, number, NONE, 0, withToken, now, now, now);
    }

    private LeaseHolderState gone(long nextNumber, State next, long nextAskAt, long now) {
        return new LeaseHolderState(
                task,
                holder,
                length,
                bound,
                next,
                wanted,
                nextNumber,
                NONE,
                0,
                token,
                Math.min(until, now),
                nextAskAt,
                now);
    }

    private LeaseHolderState seen(long now) {
        return new LeaseHolderState(
                task, holder, length, bound, state, wanted, number, sentNumber, sentAt, token, until, askAt, now);
    }
}
