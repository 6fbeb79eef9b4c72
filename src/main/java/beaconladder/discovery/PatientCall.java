package beaconladder.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A call to discovery with a long timeout, on a thread and a connection of its own. The watch makes short calls
 * meanwhile: those find out soon that discovery has returned, and this one is answered by a discovery that is slow.
 */
final class PatientCall {
    private static final Logger LOG = LoggerFactory.getLogger(PatientCall.class);
    private static final int STACK_BYTES = 256 * 1024;

    private final HttpFetcher fetcher;
    private final String path;
    private final DiscoverySchedule.Call call;
    private final Consumer<PatientCall> onEnd;
    private final long startNanos = System.nanoTime();

    private volatile EndpointListReader.EndpointUpdate update;
    private volatile long elapsedNanos;
    private volatile boolean ended;

    private PatientCall(
            InetSocketAddress address, String path, DiscoverySchedule.Call call, Consumer<PatientCall> onEnd) {
        this.fetcher = new HttpFetcher(address);
        this.path = path;
        this.call = call;
        this.onEnd = onEnd;
    }

    /**
     * Starts a call; returns null if the operating system has no thread for it.
     *
     * @param onEnd called on the call's own thread after its end
     */
    static PatientCall start(
            InetSocketAddress address, String path, DiscoverySchedule.Call call, Consumer<PatientCall> onEnd) {
        PatientCall started = new PatientCall(address, path, call, onEnd);
        Thread thread = new Thread(null, started::run, "discovery-patient-call", STACK_BYTES);
        thread.setDaemon(true);
        try {
            thread.start();
            return started;
        } catch (OutOfMemoryError e) {
            LOG.warn("discovery: no thread for a call with a long timeout: {}", e.getMessage());
            return null;
        }
    }

    private void run() {
        try {
            EndpointListReader.EndpointUpdate received =
                    fetcher.get(path, call.timeoutMillis(), call.responseMillis(), EndpointListReader::read);
            elapsedNanos = System.nanoTime() - startNanos;
            update = received;
        } catch (IOException | JsonReader.ParseException e) {
            // The short calls meet the same fault and handle it.
            LOG.debug("discovery: a call with a long timeout failed: {}", e.toString());
        } catch (RuntimeException | Error e) {
            LOG.error("discovery: internal error in a call with a long timeout", e);
        } finally {
            fetcher.close();
            ended = true;
            onEnd.accept(this);
        }
    }

    /** The wait and the timeouts of this call. */
    DiscoverySchedule.Call call() {
        return call;
    }

    /** Whether the call has ended without a response. */
    boolean hasFailed() {
        return ended && update == null;
    }

    /** The response, or null as long as there is none. */
    EndpointListReader.EndpointUpdate update() {
        return update;
    }

    /** The time from the start of the call to the end of its response. */
    long elapsedNanos() {
        return elapsedNanos;
    }

    /** Ends the call; its response is of no use any more. May be called by any thread. */
    void cancel() {
        fetcher.close();
    }
}
