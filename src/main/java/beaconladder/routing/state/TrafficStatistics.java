package beaconladder.routing.state;

import beaconladder.routing.state.RequestClass.Read;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What this router is told at start, and what came here and ended lately. */
public final class TrafficStatistics {
    public static final long MS = 1_000_000L;
    public static final long NEVER = Long.MAX_VALUE;
    public static final long UNBOUND = Long.MIN_VALUE;

    public final Map<String, String> start;
    /** Those settings that are numbers, read once: they are asked for at every event. */
    private final Map<String, Double> numbers = new HashMap<>();

    public final List<RequestClass> types;
    public final double topValue;
    /** The tightest bound of a txn type; a second where none is stated. */
    public final long tightest;
    /** The types of the txns that came last. */
    public final RequestClassMix mix;
    /** Their value; less than 0 while it is to be added up anew. */
    private double asked = -1;
    /** Times of the last answers, each with what its host had said that it held when it was sent. */
    public final SampleWindow paces = new SampleWindow(48);
    /** How old the positions of replicas were when they last came with a probe. */
    public final SampleWindow stale = new SampleWindow(32);
    /** How long the last clients that left had waited, in thousandths of their SLA time. */
    public final SampleWindow patience = new SampleWindow(16);
    /** How the last submissions ended at hosts that had lately answered: 1 for no good answer. */
    public final SampleWindow mixed = new SampleWindow(48);
    /** How the last txns ended: 1 for a commit. */
    public final SampleWindow fates = new SampleWindow(32);

    public TrafficStatistics(Map<String, String> start) {
        this.start = start;
        this.types = RequestClass.read(start);
        this.mix = new RequestClassMix(256, types.size());
        this.tightest = types.stream()
                .filter(t -> t.read() == Read.BOUNDED)
                .mapToLong(RequestClass::bound)
                .min()
                .orElse(1_000 * MS);
        this.topValue = types.stream().mapToDouble(RequestClass::value).max().orElse(1);
    }

    /** Allowed unless the settings say no; there, members are trusted without one. */
    public boolean probesAllowed() {
        return !"false".equals(start.get("limits.probes"));
    }

    /** The value of the txns that came last. */
    public double asked() {
        if (asked < 0) {
            asked = types.stream()
                    .mapToDouble(type -> mix.count(type.place()) * type.value())
                    .sum();
        }
        return asked;
    }

    /** One more has come. */
    public void comes(RequestClass type) {
        mix.add(type.place());
        asked = -1;
    }

    /** The mean value of the txns that come here, in which prices are reckoned. */
    public double meanValue() {
        return mix.size() == 0 ? topValue : asked() / mix.size();
    }

    /** Whether this setting says yes. */
    public boolean says(String name) {
        return "true".equals(start.get(name));
    }

    /** The number that a setting gives, or the one to take without it. */
    public double number(String name, double without) {
        Double given =
                numbers.computeIfAbsent(name, key -> start.containsKey(key) ? Double.valueOf(start.get(key)) : null);
        return given == null ? without : given;
    }

    /** A time that is stated in microseconds, in nanoseconds; 0 without it. */
    public long micros(String name) {
        return Long.parseLong(start.getOrDefault(name, "0")) * 1_000;
    }

    /** A txn whose SLA time had not ended when it came has ended, in time or not. */
    public void served(Request txn, boolean inTime) {
        if (txn.arrived < txn.slaEnd) {
            txn.type.served().add(inTime ? 1 : 0, 0, txn.arrived);
        }
    }

    /** A txn has ended without a commit. */
    public void failed(Request txn, long now) {
        fates.add(0, 0, now);
        txn.group.borne.add(0, 0, now);
        txn.group.borneWarm.add(0, 0, now);
        txn.group.committedWarm.add(0, 0, now);
    }

    /**
     * A txn has been committed.
     *
     * @param members how many members were there to bear it
     * @param warmMembers how many of them were warm, if a warm one did, else 0
     */
    public void committed(Request txn, int members, int warmMembers, long now) {
        fates.add(1, 0, now);
        txn.group.borne.add(Group.WHOLE / Math.max(1, members), 0, now);
        txn.group.borneWarm.add(warmMembers == 0 ? 0 : Group.WHOLE / warmMembers, 0, now);
        txn.group.committedWarm.add(warmMembers == 0 ? 0 : 1, 0, now);
    }
}
