package beaconladder.cells;

/**
 * The decision of {@link CellAdmission} on a request.
 *
 * @param kind whether the request may run
 * @param permit for ADMIT and QUEUE, to be released when the request ends; otherwise null
 * @param recheckByNanos for QUEUE: the latest time at which to check again, on the router's clock; otherwise 0
 * @param reason for REJECT and INVALID: the message sent to the client; otherwise null
 * @param retryAfterNanos for REJECT: the delay before a retry that the client is advised of; 0 for no advice
 */
public record AdmissionDecision(
        Kind kind, AdmissionPermit permit, long recheckByNanos, String reason, long retryAfterNanos) {

    /** The kinds of decision. */
    public enum Kind {
        /** The request may be routed now. */
        ADMIT,
        /** The request holds its quota and waits until the migration of its tenant admits it. */
        QUEUE,
        /** The request has not run; a retry may succeed, at this or another router. */
        REJECT,
        /** The request has not run; a retry will fail again. */
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
