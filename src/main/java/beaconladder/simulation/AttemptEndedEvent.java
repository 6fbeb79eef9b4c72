package beaconladder.simulation;

/**
 * The end of an attempt.
 *
 * @param requestId of its request
 * @param attemptIndex of the attempt among those of the request
 * @param outcomeCode as on the wire
 * @param isSettled whether the client has its response
 * @param responsePosition role and position in the response, or 0 for none
 * @param loadReport the fields of the host's report
 */
record AttemptEndedEvent(
        long requestId,
        int attemptIndex,
        int outcomeCode,
        boolean isSettled,
        long responsePosition,
        float[] loadReport) {}
