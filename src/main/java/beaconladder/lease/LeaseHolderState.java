package beaconladder.lease;

/**
 * The holder's side of a lease, as a state machine of one process and one task. It decides which requests to send, and
 * until when the process may act, which means to send operations to the shared resource. The caller passes in the time
 * at each {@link #wakeupNanos} and the lease servers' responses, acts only while {@link #mayAct}, and attaches its
 * {@link #permit} to every operation. docs/lease.md has a table of the transitions. Times are nanoseconds of this
 * process's clock.
 *
 * @param terms the parameters of the requests
 * @param phase the phase between request and release
 * @param contending whether the process is to acquire the lease, or to keep it
 * @param requests the numbers of the sent requests, and which of them is pending
 * @param permit the token and the deadline of the newest grant
 * @param nextRequestAtNanos when to send the next request
 * @param lastEventNanos the time of the newest event
 */
public record LeaseHolderState(
        LeaseTerms terms,
        Phase phase,
        boolean contending,
        RequestSequence requests,
        LeasePermit permit,
        long nextRequestAtNanos,
        long lastEventNanos) {
    private static final long NEVER = Long.MAX_VALUE;

    /** The phase between request and release. */
    public enum Phase {
        /** The lease is not held; a request is pending, or waits for its time. */
        REQUESTED,
        /** The lease is held, and no renewal was sent yet. */
        HELD,
        /** The lease is held, and a renewal is pending. */
        RENEWING,
        /** The permit's deadline has passed, or the clock went back. */
        EXPIRED,
        /** The lease was released, or never requested. */
        RELEASED
    }

    /**
     * The result of an event.
     *
     * @param next the state after the event
     * @param request the request to send to a lease server, or null
     */
    public record Step(LeaseHolderState next, LeaseRequest request) {
        private static Step of(LeaseHolderState next) {
            return new Step(next, null);
        }
    }

    /** Returns the state of a process that does not contend for the lease yet. */
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

    /** Starts to contend for the lease, until {@link #release}. */
    public LeaseHolderState want(long nowNanos) {
        return contending
                ? this
                : new LeaseHolderState(terms, phase, true, requests.withoutPending(), permit, nowNanos, lastEventNanos);
    }

    /** Returns whether the process may act now. */
    public boolean mayAct(long nowNanos) {
        return isHolding() && nowNanos >= lastEventNanos && nowNanos < permit.deadlineNanos();
    }

    private boolean isHolding() {
        return phase == Phase.HELD || phase == Phase.RENEWING;
    }

    /** Returns when {@link #onTime} is due if no response arrives before; {@link Long#MAX_VALUE} for never. */
    public long wakeupNanos() {
        return Math.min(contending ? nextRequestAtNanos : NEVER, isHolding() ? permit.deadlineNanos() : NEVER);
    }

    /** Handles a timer: ends an expired lease, and sends a request if one is due. */
    public Step onTime(long nowNanos) {
        // A clock that went back would extend the lease by the same amount.
        boolean clockWentBack = nowNanos < lastEventNanos;
        LeaseHolderState current = isHolding() && (nowNanos >= permit.deadlineNanos() || clockWentBack)
                ? expired(permit.token(), nowNanos)
                : withLastEvent(nowNanos);
        if (!contending || nowNanos < current.nextRequestAtNanos && !clockWentBack) {
            return Step.of(current);
        }
        return current.request(nowNanos, clockWentBack);
    }

    private Step request(long nowNanos, boolean clockWentBack) {
        // A pending request that is too old to yield a useful lease is abandoned; its response will be ignored.
        boolean abandonsPending =
                clockWentBack || nowNanos - requests.pendingSinceNanos() > terms.maxPendingRequestAgeNanos();
        RequestSequence sent = (abandonsPending ? requests.withoutPending() : requests).withRequestSent(nowNanos);
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

    /** Handles a lease server's response. */
    public Step onResponse(LeaseResponse response, long nowNanos) {
        Step afterTimer = onTime(nowNanos);
        if (!contending || !response.task().equals(terms.task()) || response.number() < requests.pendingNumber()) {
            return afterTimer;
        }
        return switch (response.outcome()) {
            case GRANTED -> granted(response.grant(), afterTimer, nowNanos);
            case HANDED_OVER -> handedOver(nowNanos);
            case HELD -> Step.of(refused(response.availableInNanos(), nowNanos));
            case SUPERSEDED, DONE, NOT_HELD -> afterTimer;
        };
    }

    private Step granted(LeaseGrant grant, Step afterTimer, long nowNanos) {
        if (!grant.holder().equals(terms.holder()) || grant.token() < permit.token()) {
            return afterTimer;
        }
        long deadlineNanos = terms.permitDeadlineNanos(grant.expiryNanos(), requests.pendingSinceNanos());
        LeaseHolderState current = afterTimer.next();
        if (grant.token() == permit.token() && current.isHolding()) {
            deadlineNanos = Math.max(deadlineNanos, current.permit.deadlineNanos());
        }
        if (deadlineNanos <= nowNanos) {
            return new Step(current.expired(grant.token(), nowNanos), afterTimer.request());
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

    /**
     * Handles a hand-over by an operator: releases the lease, and requests it again only after the length of a lease
     * and two clock bounds, so that the successor can acquire it first.
     */
    private Step handedOver(long nowNanos) {
        LeaseHolderState next = stopped(
                requests.withUntrackedRequestSent(),
                Phase.RELEASED,
                nowNanos + terms.lengthNanos() + 2 * terms.clockBoundNanos(),
                nowNanos);
        return new Step(next, terms.release(requests.nextNumber()));
    }

    /**
     * Handles a refusal because another process holds the lease. If this process holds it too, the clocks differ by
     * more than the bound, and it stops.
     */
    private LeaseHolderState refused(long availableInNanos, long nowNanos) {
        long waitNanos = Math.max(terms.retryIntervalNanos(), Math.min(terms.lengthNanos(), availableInNanos));
        return stopped(requests.withoutPending(), Phase.REQUESTED, nowNanos + waitNanos, nowNanos);
    }

    /** Releases the lease and stops contending for it; the process may not act any more. */
    public Step release(long nowNanos) {
        LeaseHolderState next = new LeaseHolderState(
                terms,
                Phase.RELEASED,
                false,
                requests.withUntrackedRequestSent(),
                permit.endingBy(nowNanos),
                NEVER,
                nowNanos);
        return new Step(next, phase == Phase.RELEASED && !contending ? null : terms.release(requests.nextNumber()));
    }

    private LeaseHolderState expired(long token, long nowNanos) {
        return new LeaseHolderState(
                terms,
                Phase.EXPIRED,
                contending,
                requests.withoutPending(),
                new LeasePermit(token, nowNanos),
                nowNanos,
                nowNanos);
    }

    private LeaseHolderState stopped(
            RequestSequence nextRequests, Phase nextPhase, long requestAgainAtNanos, long nowNanos) {
        return new LeaseHolderState(
                terms, nextPhase, contending, nextRequests, permit.endingBy(nowNanos), requestAgainAtNanos, nowNanos);
    }

    private LeaseHolderState withLastEvent(long nowNanos) {
        return new LeaseHolderState(terms, phase, contending, requests, permit, nextRequestAtNanos, nowNanos);
    }
}
