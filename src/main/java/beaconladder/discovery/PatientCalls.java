package beaconladder.discovery;

import java.net.InetSocketAddress;

/**
 * The patient calls of one watch, one at a time: the call in flight, or the response that the watch has not processed.
 */
final class PatientCalls {
    private final Runnable onResponse;
    /** The call in flight or with a response that is not processed yet, or null; written under the monitor. */
    private volatile PatientCall current;

    /**
     * Creates an object without a call.
     *
     * @param onResponse called on a call's own thread when its response is there; it must not wait for the watch
     */
    PatientCalls(Runnable onResponse) {
        this.onResponse = onResponse;
    }

    /**
     * Starts a call unless one is in flight or has a response that is not processed yet.
     *
     * @param call the call, or null if none is to be started
     */
    synchronized void startIfNone(InetSocketAddress address, String path, DiscoverySchedule.Call call) {
        if (current != null && current.hasFailed()) {
            current = null;
        }
        if (current == null && call != null) {
            current = PatientCall.start(address, path, call, this::onEnd);
        }
    }

    private synchronized void onEnd(PatientCall ended) {
        if (ended == current && ended.update() != null) {
            onResponse.run();
        }
    }

    /** Whether there is a response to process. */
    boolean hasResponse() {
        PatientCall call = current;
        return call != null && call.update() != null;
    }

    /** Removes and returns the call that has been answered. */
    synchronized PatientCall take() {
        PatientCall taken = current;
        current = null;
        return taken;
    }

    /** Ends the call in flight and drops its response. */
    synchronized void cancel() {
        if (current != null) {
            current.cancel();
            current = null;
        }
    }
}
