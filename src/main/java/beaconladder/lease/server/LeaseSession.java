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
 * A process's lease of one task: a thread that runs this requests the lease, renews it, and releases it at
 * {@link #close}, as {@link LeaseHolderState} decides.
 */
public final class LeaseSession implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseSession.class);
    /** The longest time between two checks of the clock. */
    private static final long POLL_MILLIS = 20;

    private final LeaseClient client;
    private final LongSupplier clock;
    private LeaseHolderState state;
    private volatile boolean closed;

    /**
     * A session that wants the task from now on.
     *
     * @param client closed with the session
     * @param clock Unix time in nanoseconds
     */
    public LeaseSession(LeaseHolderState state, LeaseClient client, LongSupplier clock) {
        this.client = client;
        this.clock = clock;
        this.state = state.want(clock.getAsLong());
    }

    /** Permission to act now, or null. To be asked for before each act. */
    public synchronized LeasePermit permit() {
        return state.mayAct(clock.getAsLong()) ? state.permit() : null;
    }

    /** The newest state. */
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
                    // A release that a response causes is sent once; nothing depends on its own response.
                    LeaseHolderState.Step next = advance(state().onResponse(response, clock.getAsLong()));
                    if (next.request() != null) {
                        send(next.request());
                    }
                }
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The response, or null: without one the state machine sends the request again in its own time. */
    private LeaseResponse send(LeaseRequest request) {
        try {
            return client.send(request);
        } catch (LeaseRequestException e) {
            LOG.debug("no response to {}: {}", request, e.getMessage());
            return null;
        }
    }

    private synchronized LeaseHolderState.Step advance(LeaseHolderState.Step step) {
        LeaseHolderState next = step.next();
        if (next.phase() != state.phase()) {
            LOG.info(
                    "{} of {} is {}, token {}",
                    next.terms().holder(),
                    next.terms().task(),
                    next.phase().name().toLowerCase(Locale.ROOT),
                    next.permit().token());
        }
        state = next;
        return step;
    }

    /** Releases the lease, so that another process need not wait for its expiry, and closes the client. */
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
