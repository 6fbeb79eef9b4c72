package beaconladder.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Plays the simulator's wire: reads batches, hands each event to its instance, writes one reply a batch. */
public final class SimulatorSession {

    /** An entry of a numbered list of hosts. */
    record Entry(boolean leader, int host, int zone, int group, int state, long launchedMicros) {}

    private static final int ENTRY_BYTES = 25;

    private final BatchReader in;
    private final OutputStream out;
    private final BatchWriter reply = new BatchWriter();
    private final List<List<Entry>> lists = new ArrayList<>();
    private final TreeMap<Long, SimulatedRouter> instances = new TreeMap<>();
    private final List<SimulatedRouter> touched = new ArrayList<>();

    public SimulatorSession(InputStream in, OutputStream out) {
        this.in = new BatchReader(in);
        this.out = out;
        for (int i = 0; i < 16; i++) {
            lists.add(List.of());
        }
    }

    /** Runs until the clean end of the input. */
    public void run() throws IOException, WireException {
        while (in.next()) {
            long clock = in.clock();
            SimulatedRouter instance = null;
            for (long i = 0; i < in.records(); i++) {
                long position = in.position();
                int code = in.u16();
                if (code == 1110) {
                    long number = in.u32();
                    instance = instances.computeIfAbsent(number, n -> new SimulatedRouter(n, reply));
                    touch(instance);
                } else if (code == 1100) {
                    readList(position);
                } else if (instance == null) {
                    throw new WireException(position, "record " + code + " before any instance was named");
                } else {
                    event(position, code, instance, clock);
                }
            }
            if (in.left() > 0) {
                throw new WireException(
                        in.position(), in.left() + " bytes after the last of " + in.records() + " records");
            }
            for (SimulatedRouter each : touched) {
                each.touched = false;
                reply.at(each.number);
                each.settle(clock);
            }
            touched.clear();
            reply.send(out);
        }
    }

    private void touch(SimulatedRouter instance) {
        if (!instance.touched) {
            instance.touched = true;
            touched.add(instance);
        }
        reply.at(instance.number);
    }

    private void readList(long position) throws WireException {
        int number = in.u8();
        if (number >= lists.size()) {
            throw new WireException(position, "a list numbered " + number);
        }
        int n = in.count(in.u32(), ENTRY_BYTES);
        List<Entry> entries = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            boolean leader = in.f32() == 1f;
            int host = (int) in.u32();
            int zone = in.u8();
            in.u8();
            int group = in.u16();
            int state = in.u8();
            in.f32();
            entries.add(new Entry(leader, host, zone, group, state, in.u64()));
        }
        lists.set(number, entries);
    }

    private void event(long position, int code, SimulatedRouter to, long clock) throws WireException {
        switch (code) {
            case 1000 -> {
                long seed = in.u64();
                to.start(seed, in.text(in.u32()), clock);
            }
            case 1010 -> {
                int scope = in.u8();
                int list = in.u8();
                in.u64();
                if (scope > 3 || scope != 3 && list >= lists.size()) {
                    throw new WireException(position, "a view of kind " + scope + " of list " + list);
                }
                if (scope != 3) {
                    to.view(scope != 0, lists.get(list), clock);
                } else {
                    to.viewFailed();
                }
            }
            case 1020 -> {
                long call = in.u64();
                int type = in.u8();
                in.u32();
                long session = in.u64();
                float sinceWriteMillis = in.f32();
                int tenant = (int) in.u32();
                int group = (int) in.f32();
                long budget = in.u32();
                int bits = in.u8();
                to.request(call, type, session, sinceWriteMillis, tenant, group, budget, (bits & 2) != 0, clock);
            }
            case 1030 -> {
                in.u64();
                in.u8();
                in.u32();
                in.u32();
            }
            case 1040 -> {
                long call = in.u64();
                int copy = in.u8();
                in.u32();
                int reason = in.u16();
                in.u32();
                boolean settled = in.u8() != 0;
                long note = in.u32();
                to.done(call, copy, reason, settled, note, floats(), clock);
            }
            case 1050 -> to.left(in.u64(), clock);
            case 1060 -> to.timer(in.u64());
            case 1070 -> {
                int host = (int) in.u32();
                in.u32();
                int reason = in.u16();
                to.sampled(host, reason, floats(), clock);
            }
            case 1080 -> {
                in.u16();
                in.text(in.u16());
            }
            case 1090 -> to.shutdown();
            default -> throw new WireException(position, "unknown record code " + code);
        }
    }

    private float[] floats() throws WireException {
        int n = in.count(in.u8(), 4);
        float[] values = new float[n];
        for (int i = 0; i < n; i++) {
            values[i] = in.f32();
        }
        return values;
    }
}
