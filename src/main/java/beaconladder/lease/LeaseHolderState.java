package beaconladder.lease;

/**
 * The holder's side of a lease, as a state machine of one process and one task: what to request, and until when the
 * process may act. The caller passes in the time at each {@link #wakeupNanos} and the lease server's responses, acts
 * only while {@link #mayAct}, and puts its {@link #permit} on every act. docs/lease.md has the transitions as a table.
 * Times are nanoseconds by this process's clock.
 *
 * @param terms what is requested, and for whom
 * @param phase where the process is between request and release
 * @param wanted whether the process wants the task at all
 * @param requests which requests were sent, and which of them is pending
 * @param permit token and deadline of the newest grant
 * @param nextRequestAtNanos when to send the next request
 * @param latestClockNanos the time of the newest event
 */
public record LeaseHolderState(
        LeaseTerms terms,
        Phase phase,
        boolean wanted,
        RequestSequence requests,
        LeasePermit permit,
        long nextRequestAtNanos,
        long latestClockNanos) {
    private static final long NEVER = Long.MAX_VALUE;

    /** Where the process is between request and release. */
    public enum Phase {
        REQUESTED,
        HELD,
        RENEWING,
        EXPIRED,
        RELEASED
    }

    /**
     * The outcome of an event.
     *
     * @param next the state after it
     * @param request what to send to a lease server, or null
     */
    public record Step(LeaseHolderState next, LeaseRequest request) {
        private static Step of(LeaseHolderState next) {
            return new Step(next, null);
        }
    }

    /** A process that does not want the task yet. */
    public static LeaseHolderState initial(LeaseTerms terms) {
        return new LeaseHolderState(
                terms,
                Phase.RELEASED,
                false,
                RequestSequence.initial(),
                LeasePermit.none(),
                Long.MIN_VALUE,
                Long.MIN_VALUE);
    }

    /** The process wants the task from now on, until {@link #release}. */
    public LeaseHolderState want(long nowNanos) {
        return wanted
                ? this
                : new LeaseHolderState(
                        terms, phase, true, requests.withoutPending(), permit, nowNanos, latestClockNanos);
    }

    /** Whether the process may act now. */
    public boolean mayAct(long nowNanos) {
        return isHolding() && nowNanos >= latestClockNanos && nowNanos < permit.deadlineNanos();
    }

    private boolean isHolding() {
        return phase == Phase.HELD || phase == Phase.RENEWING;
    }

    /** When {@link #onTime} is due, unless a response arrives before; Long.MAX_VALUE for never. */
    public long wakeupNanos() {
        return Math.min(wanted ? nextRequestAtNanos : NEVER, isHolding() ? permit.deadlineNanos() : NEVER);
    }

    /** Time has passed: the lease may have expired, a request may be due. */
    public Step onTime(long nowNanos) {
        // A clock that goes back would lengthen the lease by as much.
        boolean clockWentBack = nowNanos < latestClockNanos;
        LeaseHolderState current = isHolding() && (nowNanos >= permit.deadlineNanos() || clockWentBack)
                ? expired(permit.token(), nowNanos)
                : withLatestClock(nowNanos);
        if (!wanted || nowNanos < current.nextRequestAtNanos && !clockWentBack) {
            return Step.of(current);
        }
        return current.request(nowNanos, clockWentBack);
    }

    private Step request(long nowNanos, boolean clockWentBack) {
        // A pending request too old to bring a useful lease is abandoned, and its response with it.
        boolean abandonsPending =
                clockWentBack || nowNanos - requests.pendingSinceNanos() > terms.pendingRequestLimitNanos();
        RequestSequence sent = (abandonsPending ? requests.withoutPending() : requests).sent(nowNanos);
        LeaseHolderState next = new LeaseHolderState(
                terms,
                isHolding() ? Phase.RENEWING : Phase.REQUESTED,
                true,
                sent,
                permit,
                nowNanos + terms.retryIntervalNanos(),
                nowNanos);
        return new Step(next, terms.acquire(sent.lastNumber(), isHolding() ? permit.token() : 0));
    }

    /** A lease server has responded. */
    public Step onResponse(LeaseResponse response, long nowNanos) {
        Step timed = onTime(nowNanos);
        if (!wanted || !response.task().equals(terms.task()) || response.number() < requests.pendingNumber()) {
            return timed;
        }
        return switch (response.outcome()) {
            case GRANTED -> granted(response.grant(), timed, nowNanos);
            case HANDED_OVER -> handedOver(nowNanos);
            case HELD -> Step.of(refused(response.availableInNanos(), nowNanos));
            case SUPERSEDED, DONE, NOT_HELD -> timed;
        };
    }

    private Step granted(LeaseGrant grant, Step timed, long nowNanos) {
        if (!grant.holder().equals(terms.holder()) || grant.token() < permit.token()) {
            return timed;
        }
        long deadlineNanos = terms.actDeadlineNanos(grant.expiryNanos(), requests.pendingSinceNanos());
        LeaseHolderState current = timed.next();
        if (grant.token() == permit.token() && current.isHolding()) {
            deadlineNanos = Math.max(deadlineNanos, current.permit.deadlineNanos());
        }
        if (deadlineNanos <= nowNanos) {
            return new Step(current.expired(grant.token(), nowNanos), timed.request());
        }
        return Step.of(new LeaseHolderState(
                terms,
                Phase.HELD,
                true,
                current.requests.withoutPending(),
                new LeasePermit(grant.token(), deadlineNanos),
                nowNanos + terms.renewalIntervalNanos(deadlineNanos - nowNanos),
                nowNanos));
    }

    /** An operator has handed the task over: releases it, and lets the successor go first. */
    private Step handedOver(long nowNanos) {
        LeaseHolderState next = stopped(
                requests.sentWithoutResponse(),
                Phase.RELEASED,
                nowNanos + terms.lengthNanos() + 2 * terms.clockBoundNanos(),
                nowNanos);
        return new Step(next, terms.release(requests.nextNumber()));
    }

    /**
     * Another process holds the task. A holder can receive this too: then clocks differ by more than the bound, and it
     * stops.
     */
    private LeaseHolderState refused(long availableInNanos, long nowNanos) {
        long waitNanos = Math.max(terms.retryIntervalNanos(), Math.min(terms.lengthNanos(), availableInNanos));
        return stopped(requests.withoutPending(), Phase.REQUESTED, nowNanos + waitNanos, nowNanos);
    }

    /** Releases the task and wants it no longer: the process may not act from here on. */
    public Step release(long nowNanos) {
        LeaseHolderState next = new LeaseHolderState(
                terms,
                Phase.RELEASED,
                false,
                requests.sentWithoutResponse(),
                permit.endingBy(nowNanos),
                NEVER,
                nowNanos);
        return new Step(next, phase == Phase.RELEASED && !wanted ? null : terms.release(requests.nextNumber()));
    }

    private LeaseHolderState expired(long token, long nowNanos) {
        return new LeaseHolderState(
                terms,
                Phase.EXPIRED,
                wanted,
                requests.withoutPending(),
                new LeasePermit(token, nowNanos),
                nowNanos,
                nowNanos);
    }

    private LeaseHolderState stopped(
            RequestSequence nextRequests, Phase nextPhase, long requestAgainAtNanos, long nowNanos) {
        return new LeaseHolderState(
                terms, nextPhase, wanted, nextRequests, permit.endingBy(nowNanos), requestAgainAtNanos, nowNanos);
    }

    private LeaseHolderState withLatestClock(long nowNanos) {
        return new LeaseHolderState(terms, phase, wanted, requests, permit, nextRequestAtNanos, nowNanos);
    }
}
