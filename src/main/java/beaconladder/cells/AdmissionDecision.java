package beaconladder.cells;

/**
 * What {@link CellAdmission} decided for a request.
 *
 * @param permit for ADMIT and QUEUE, to be released at the end of the request; else null
 * @param recheckByNanos for QUEUE: the latest time at which to check again, on the router's clock; else 0
 * @param reason for REJECT and INVALID, as the client reads it; else null
 * @param retryAfterNanos for REJECT: how long the client should wait before it retries; 0 for no advice
 */
public record AdmissionDecision(
        Kind kind, AdmissionPermit permit, long recheckByNanos, String reason, long retryAfterNanos) {

    /** The kinds of decision. */
    public enum Kind {
        /** The request may be routed now. */
        ADMIT,
        /** It holds its quota and waits until its tenant's migration lets it pass. */
        QUEUE,
        /** It has not run; a retry may succeed, here or at another router. */
        REJECT,
        /** It has not run, and the same request will fail again. */
        INVALID
    }

    static AdmissionDecision admit(AdmissionPermit permit) {
        return new AdmissionDecision(Kind.ADMIT, permit, 0, null, 0);
    }

    static AdmissionDecision queue(AdmissionPermit permit, long recheckByNanos) {
        return new AdmissionDecision(Kind.QUEUE, permit, recheckByNanos, null, 0);
    }

    static AdmissionDecision reject(String reason, long retryAfterNanos) {
        return new AdmissionDecision(Kind.REJECT, null, 0, reason, retryAfterNanos);
    }

    static AdmissionDecision invalid(String reason) {
        return new AdmissionDecision(Kind.INVALID, null, 0, reason, 0);
    }
}
