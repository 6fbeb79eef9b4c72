package beaconladder.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A session on the simulator's wire: reads batches, passes each event to its instance, writes one reply per batch. */
public final class SimulatorSession {
    private static final int ENDPOINT_LISTS = 16;
    private static final int ENTRY_BYTES = 25;
    /** Scopes of an endpoint view. */
    private static final int PARTIAL_VIEW = 0;

    private static final int FAILED_VIEW = 3;
    /** The bit of a request that the client repeats. */
    private static final int RETRY_FLAG = 2;

    private final BatchReader in;
    private final OutputStream out;
    private final BatchWriter reply = new BatchWriter();
    private final List<List<EndpointEntry>> endpointLists = new ArrayList<>();
    private final TreeMap<Long, SimulatedRouter> instances = new TreeMap<>();
    private final List<SimulatedRouter> instancesOfBatch = new ArrayList<>();

    /** A session between these streams; neither is closed. */
    public SimulatorSession(InputStream in, OutputStream out) {
        this.in = new BatchReader(in);
        this.out = out;
        for (int i = 0; i < ENDPOINT_LISTS; i++) {
            endpointLists.add(List.of());
        }
    }

    /**
     * Runs until the clean end of the input.
     *
     * @throws WireException where the input is malformed
     */
    public void run() throws IOException, WireException {
        while (in.next()) {
            readRecords();
            for (SimulatedRouter instance : instancesOfBatch) {
                instance.hasEvents = false;
                reply.forInstance(instance.number);
                instance.onBatchEnd(in.clockMicros());
            }
            instancesOfBatch.clear();
            reply.send(out);
        }
    }

    private void readRecords() throws WireException {
        SimulatedRouter instance = null;
        for (long i = 0; i < in.recordCount(); i++) {
            long position = in.position();
            int code = in.u16();
            if (code == RecordCode.INSTANCE) {
                instance = selectInstance(in.u32());
            } else if (code == RecordCode.ENDPOINT_LIST) {
                readEndpointList(position);
            } else if (instance == null) {
                throw new WireException(position, "record " + code + " before any instance was named");
            } else {
                readEvent(position, code, instance);
            }
        }
        if (in.remaining() > 0) {
            throw new WireException(
                    in.position(), in.remaining() + " bytes after the last of " + in.recordCount() + " records");
        }
    }

    private SimulatedRouter selectInstance(long number) {
        SimulatedRouter instance = instances.computeIfAbsent(number, n -> new SimulatedRouter(n, reply));
        if (!instance.hasEvents) {
            instance.hasEvents = true;
            instancesOfBatch.add(instance);
        }
        reply.forInstance(instance.number);
        return instance;
    }

    private void readEndpointList(long position) throws WireException {
        int number = in.u8();
        if (number >= endpointLists.size()) {
            throw new WireException(position, "a list numbered " + number);
        }
        int count = in.requireCount(in.u32(), ENTRY_BYTES);
        List<EndpointEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            boolean isPrimary = in.f32() == 1f;
            int host = (int) in.u32();
            int zone = in.u8();
            in.u8();
            int group = in.u16();
            int stateCode = in.u8();
            in.f32();
            entries.add(new EndpointEntry(isPrimary, host, zone, group, stateCode, in.u64()));
        }
        endpointLists.set(number, entries);
    }

    private void readEvent(long position, int code, SimulatedRouter instance) throws WireException {
        long clockMicros = in.clockMicros();
        switch (code) {
            case RecordCode.START -> {
                long seed = in.u64();
                instance.start(seed, in.text(in.u32()));
            }
            case RecordCode.ENDPOINT_VIEW -> readEndpointView(position, instance);
            case RecordCode.REQUEST -> instance.onRequest(readRequest(), clockMicros);
            case RecordCode.ATTEMPT_SENT -> skipAttemptSent();
            case RecordCode.ATTEMPT_ENDED -> instance.onAttemptEnded(readAttemptEnded(), clockMicros);
            case RecordCode.CLIENT_DISCONNECTED -> instance.onClientDisconnected(in.u64(), clockMicros);
            case RecordCode.TIMER -> instance.onTimer(in.u64());
            case RecordCode.HEALTH_CHECK_ENDED -> readHealthCheckEnded(instance);
            case RecordCode.MESSAGE -> skipMessage();
            case RecordCode.SHUTDOWN -> instance.shutdown();
            default -> throw new WireException(position, "unknown record code " + code);
        }
    }

    private void readEndpointView(long position, SimulatedRouter instance) throws WireException {
        int scope = in.u8();
        int list = in.u8();
        in.u64();
        if (scope > FAILED_VIEW || scope != FAILED_VIEW && list >= endpointLists.size()) {
            throw new WireException(position, "a view of kind " + scope + " of list " + list);
        }
        if (scope == FAILED_VIEW) {
            instance.onEndpointViewFailed();
        } else {
            instance.onEndpointView(scope != PARTIAL_VIEW, endpointLists.get(list), in.clockMicros());
        }
    }

    private RequestEvent readRequest() throws WireException {
        long id = in.u64();
        int requestClass = in.u8();
        in.u32();
        long session = in.u64();
        float sinceWriteMillis = in.f32();
        int tenant = (int) in.u32();
        int group = (int) in.f32();
        long budgetMicros = in.u32();
        boolean isRetry = (in.u8() & RETRY_FLAG) != 0;
        return new RequestEvent(id, requestClass, session, sinceWriteMillis, tenant, group, budgetMicros, isRetry);
    }

    private AttemptEndedEvent readAttemptEnded() throws WireException {
        long requestId = in.u64();
        int attemptIndex = in.u8();
        in.u32();
        int outcomeCode = in.u16();
        in.u32();
        boolean isSettled = in.u8() != 0;
        long responsePosition = in.u32();
        return new AttemptEndedEvent(requestId, attemptIndex, outcomeCode, isSettled, responsePosition, readFloats());
    }

    private void readHealthCheckEnded(SimulatedRouter instance) throws WireException {
        int host = (int) in.u32();
        in.u32();
        int outcomeCode = in.u16();
        instance.onHealthCheckEnded(host, outcomeCode, readFloats(), in.clockMicros());
    }

    private void skipAttemptSent() throws WireException {
        in.u64();
        in.u8();
        in.u32();
        in.u32();
    }

    private void skipMessage() throws WireException {
        in.u16();
        in.text(in.u16());
    }

    private float[] readFloats() throws WireException {
        int count = in.requireCount(in.u8(), Float.BYTES);
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = in.f32();
        }
        return values;
    }
}
