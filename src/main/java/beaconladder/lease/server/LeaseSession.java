package beaconladder.lease.server;

import beaconladder.lease.LeaseHolderState;
import beaconladder.lease.LeaseResponse;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A process's hold on a task: a thread that asks for it, holds it and gives it up, as {@link LeaseHolderState} says.
 */
public final class LeaseSession implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseSession.class);
    /** So long at the most between two looks at the clock. */
    private static final long LOOK_MILLIS = 20;

    private final LeaseClient doors;
    private final LongSupplier clock;
    private LeaseHolderState tenure;
    private volatile boolean closed;

    /** What an act carries: the token, and until when it may be sent, in Unix nanoseconds. */
    public record Permit(long token, long until) {}

    public LeaseSession(LeaseHolderState tenure, LeaseClient doors, LongSupplier clock) {
        this.doors = doors;
        this.clock = clock;
        this.tenure = tenure.want(clock.getAsLong());
    }

    /** Leave to act now, or null. To be asked before each act. */
    public synchronized Permit permit() {
        return tenure.mayAct(clock.getAsLong()) ? new Permit(tenure.token(), tenure.until()) : null;
    }

    public synchronized LeaseHolderState tenure() {
        return tenure;
    }

    @Override
    public void run() {
        while (!closed) {
            LeaseHolderState.Step step = take(tenure().at(clock.getAsLong()));
            if (step.ask() != null) {
                LeaseResponse answer = doors.ask(step.ask());
                if (answer != null && !closed) {
                    // A release that an answer asks for is sent once; its answer brings nothing.
                    LeaseHolderState.Step heard = take(tenure().heard(answer, clock.getAsLong()));
                    if (heard.ask() != null) {
                        doors.ask(heard.ask());
                    }
                }
            }
            try {
                Thread.sleep(LOOK_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized LeaseHolderState.Step take(LeaseHolderState.Step step) {
        if (step.next().state() != tenure.state()) {
            LOG.info(
                    "{} of {} is {}, token {}",
                    step.next().holder(),
                    step.next().task(),
                    step.next().state().name().toLowerCase(java.util.Locale.ROOT),
                    step.next().token());
        }
        tenure = step.next();
        return step;
    }

    /** Gives it up, so that another need not wait for its end. */
    @Override
    public void close() {
        closed = true;
        LeaseHolderState.Step step = take(tenure().release(clock.getAsLong()));
        if (step.ask() != null) {
            doors.ask(step.ask());
        }
        doors.close();
    }
}
