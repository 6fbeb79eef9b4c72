package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A host stand-in that can gain and lose the primary's role; a write at a replica is a miss, as the protocol says. */
final class MemberHost extends HostStandIn {
    /** A request as it arrived, at a Unix time in milliseconds, and what became of it. */
    record Arrival(long atMillis, String text, String outcome) {}

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    /** When the request that this thread handles arrived: its work begins later. */
    private final ThreadLocal<Long> arrivedAtMillis = new ThreadLocal<>();
    /** Whether answers hold a load report, or only those to probes. */
    volatile boolean reportsInline = true;
    private volatile boolean leader;

    MemberHost(boolean leader) throws IOException {
        super(leader ? "leader" : "follower");
        this.leader = leader;
    }

    void setLeader(boolean leads) {
        leader = leads;
        role(leads ? "leader" : "follower");
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    @Override
    protected void saw(String text) {
        arrivedAtMillis.set(System.currentTimeMillis());
        super.saw(text);
    }

    @Override
    protected MessageWriter said() {
        return reportsInline
                ? super.said()
                : new MessageWriter()
                        .parameterStatus("node_role", leader ? "leader" : "follower")
                        .parameterStatus("replay_position", String.valueOf(position()));
    }

    @Override
    protected MessageWriter run(String text) {
        boolean miss = text.startsWith("INSERT") && !leader;
        arrivals.add(new Arrival(arrivedAtMillis.get(), text, miss ? "turned away untouched" : "RUN"));
        return miss
                ? said().error("ERROR", "25006", "this is no primary", null)
                : super.run(text);
    }
}
