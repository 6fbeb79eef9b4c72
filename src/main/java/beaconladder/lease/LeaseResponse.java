package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The lease servers' response to a request.
 *
 * @param number the number of the request
 * @param grant the lease that the requesting process holds now, or null
 * @param holder the process that holds the task instead; empty for none
 * @param availableInNanos the time until the task may become available; 0 if unknown
 */
public record LeaseResponse(
        String task,
        long number,
        @JsonProperty("why") Outcome outcome,
        LeaseGrant grant,
        String holder,
        @JsonProperty("free") long availableInNanos) {
    /** The outcome of the request. */
    public enum Outcome {
        /** The requesting process holds the lease. */
        GRANTED,
        /** Another process holds the lease, or the task is reserved for a successor. */
        HELD,
        /** The requesting process still holds the lease and must release it: an operator handed the task over. */
        HANDED_OVER,
        /** The process released the task with a later request. */
        @JsonProperty("OVERTAKEN")
        SUPERSEDED,
        /** The release or hand-over was applied; there is no grant to return. */
        DONE,
        /** The release was recorded, but the requesting process does not hold the lease. */
        NOT_HELD
    }

    /** Returns a response to this request without a grant. */
    static LeaseResponse withoutGrant(LeaseRequest request, Outcome outcome, String holder, long availableInNanos) {
        return new LeaseResponse(request.task(), request.number(), outcome, null, holder, availableInNanos);
    }

    /** Returns a response that grants the requesting process this lease. */
    static LeaseResponse granted(LeaseRequest request, Lease lease) {
        LeaseGrant grant = new LeaseGrant(request.task(), request.holder(), lease.token(), lease.expiryNanos());
        return new LeaseResponse(request.task(), request.number(), Outcome.GRANTED, grant, "", 0);
    }
}
