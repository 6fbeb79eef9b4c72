package beaconladder.lease.server;

import beaconladder.lease.LeaseHolderState;
import beaconladder.lease.LeasePermit;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a process's lease of one task: {@link #run}, on a thread of its own, acquires and renews the lease as
 * {@link LeaseHolderState} decides; {@link #close} releases it.
 */
public final class LeaseSession implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseSession.class);
    /** The time between two checks whether a request is due or the lease has expired. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    private final LeaseClient client;
    private final LongSupplier clock;
    private LeaseHolderState state;
    private volatile boolean closed;

    /**
     * Creates a session that contends for the lease as soon as it runs.
     *
     * @param client the client to send requests with; closed with the session
     * @param clock the Unix time in nanoseconds
     */
    public LeaseSession(LeaseHolderState state, LeaseClient client, LongSupplier clock) {
        this.client = client;
        this.clock = clock;
        this.state = state.want(clock.getAsLong());
    }

    /** Returns the permit for an operation that is sent now, or null for none; call it before each operation. */
    public synchronized LeasePermit permit() {
        return state.mayAct(clock.getAsLong()) ? state.permit() : null;
    }

    /** Returns the current state. */
    public synchronized LeaseHolderState state() {
        return state;
    }

    @Override
    public void run() {
        while (!closed) {
            LeaseHolderState.Step step = advance(state().onTime(clock.getAsLong()));
            if (step.request() != null) {
                LeaseResponse response = send(step.request());
                if (response != null && !closed) {
                    // A release after a hand-over is sent once, and its response is ignored.
                    LeaseHolderState.Step next = advance(state().onResponse(response, clock.getAsLong()));
                    if (next.request() != null) {
                        send(next.request());
                    }
                }
            }
            try {
                Thread.sleep(CHECK_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the response, or null for none; the state machine then repeats the request when it is due. */
    private LeaseResponse send(LeaseRequest request) {
        try {
            return client.send(request);
        } catch (LeaseRequestException e) {
            LOG.debug("no valid response to {}: {}", request, e.getMessage());
            return null;
        }
    }

    private synchronized LeaseHolderState.Step advance(LeaseHolderState.Step step) {
        LeaseHolderState next = step.next();
        if (next.phase() != state.phase()) {
            LOG.info(
                    "lease of task {} for {} is {}, token {}",
                    next.terms().task(),
                    next.terms().holder(),
                    next.phase().name().toLowerCase(Locale.ROOT),
                    next.permit().token());
        }
        state = next;
        return step;
    }

    /** Releases the lease, so that another process can acquire it before it expires, and closes the client. */
    @Override
    public void close() {
        closed = true;
        LeaseHolderState.Step step = advance(state().release(clock.getAsLong()));
        if (step.request() != null) {
            send(step.request());
        }
        client.close();
    }
}
