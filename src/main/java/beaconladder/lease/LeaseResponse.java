package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The lease servers' response to a request.
 *
 * @param number of the request
 * @param grant what the requesting process holds now, or null
 * @param holder the process that holds the task instead, or an empty text
 * @param availableInNanos how long until the task may be available; 0 where that is not known
 */
public record LeaseResponse(
        String task,
        long number,
        @JsonProperty("why") Outcome outcome,
        LeaseGrant grant,
        String holder,
        @JsonProperty("free") long availableInNanos) {
    /** What became of the request. */
    public enum Outcome {
        /** The requesting process holds the task. */
        GRANTED,
        /** Another process holds it, or it is reserved for a successor. */
        HELD,
        /** The requesting process still holds it and must release it: an operator handed it over. */
        HANDED_OVER,
        /** The process has released the task with a later request. */
        @JsonProperty("OVERTAKEN")
        SUPERSEDED,
        /** The release or hand-over was carried out; there is no grant to return. */
        DONE,
        /** There is no such lease, or the requesting process does not hold it. */
        NOT_HELD
    }

    /** A response to this request without a grant. */
    static LeaseResponse withoutGrant(LeaseRequest request, Outcome outcome, String holder, long availableInNanos) {
        return new LeaseResponse(request.task(), request.number(), outcome, null, holder, availableInNanos);
    }

    /** The requesting process holds this lease now. */
    static LeaseResponse granted(LeaseRequest request, Lease lease) {
        LeaseGrant grant = new LeaseGrant(request.task(), request.holder(), lease.token(), lease.expiryNanos());
        return new LeaseResponse(request.task(), request.number(), Outcome.GRANTED, grant, "", 0);
    }
}
