package beaconladder.testbed.soak;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A database host of the soak, behind a proxy of its own; it notes each request that arrives. */
final class SoakHost extends HostStandIn {
    /** How it takes requests. */
    enum Behavior {
        WELL,
        ERROR,
        FULL,
        LOSES_ANSWERS,
        ANSWERS_TWICE
    }

    private static final int LAG_MILLIS = 20;
    private static final int HANG_LOOK_MILLIS = 5;

    final int number;
    final int group;
    private final Map<String, Request> requests;
    private final FaultProxy proxy;
    /** When the request that this thread serves had arrived, and how it is taken. */
    private final ThreadLocal<Long> arrivedAt = ThreadLocal.withInitial(System::nanoTime);

    private final ThreadLocal<Behavior> taken = ThreadLocal.withInitial(() -> Behavior.WELL);
    /** Whether this host may not take the request that this thread serves; judged when it arrives. */
    private final ThreadLocal<Boolean> missed = ThreadLocal.withInitial(() -> false);

    private long newestPosition;
    volatile Behavior behavior = Behavior.WELL;
    volatile boolean hangs;
    volatile int lagMillis = LAG_MILLIS;
    /** When it was listed as leaving, or 0. */
    volatile long leavingSince;

    private volatile boolean leader;
    private volatile String state = "Ready";
    private volatile long startedMillis;

    SoakHost(int number, int group, boolean leader, Map<String, Request> requests) throws IOException {
        super(leader ? "leader" : "follower");
        this.number = number;
        this.group = group;
        this.leader = leader;
        this.requests = requests;
        this.proxy = new FaultProxy(port());
        delayMillis = 5;
    }

    FaultProxy proxy() {
        return proxy;
    }

    boolean leader() {
        return leader;
    }

    /** It is the primary from now on, or no longer. */
    void lead(boolean now) {
        leader = now;
        role(now ? "leader" : "follower");
    }

    String state() {
        return state;
    }

    /** How discovery is to list it from now on. */
    void state(String next) {
        state = next;
        leavingSince = next.equals("Ready") ? 0 : System.nanoTime();
    }

    /** It has just started. */
    void started() {
        startedMillis = System.currentTimeMillis();
    }

    /** Discovery's entry. */
    String entry() {
        return """
                {"id":"s-%d","addr":"127.0.0.1:%d","zone":"%s","kind":"m2","cell":%d,"state":"%s",\
                "weight":1.0,"started_ms":%d,"role":"%s"}""".formatted(
                        number,
                        proxy.port(),
                        number % 2 == 0 ? "east" : "west",
                        group,
                        state,
                        startedMillis,
                        leader ? "leader" : "follower");
    }

    @Override
    protected void halt() {
        arrivedAt.set(System.nanoTime());
        while (hangs) {
            StandInThreads.sleep(HANG_LOOK_MILLIS);
        }
    }

    @Override
    protected void saw(String text) {
        Request request = requests.get(Statements.value(text, "id"));
        Behavior now = behavior;
        taken.set(now);
        if (request == null) {
            return;
        }
        boolean misses = misses(request, text);
        missed.set(misses);
        request.addArrival(new Request.Arrival(
                number,
                group,
                arrivedAt.get(),
                now != Behavior.FULL && !misses,
                leavingSince,
                position(),
                System.currentTimeMillis(),
                Long.parseLong(Statements.value(text, "d"))));
    }

    private boolean misses(Request request, String text) {
        String after = Statements.value(text, "after");
        return request.kind.writes() && !leader || after != null && position() < Long.parseLong(after);
    }

    @Override
    protected MessageWriter run(String text) {
        Request request = requests.get(Statements.value(text, "id"));
        switch (taken.get()) {
            case ERROR -> {
                return said().error("ERROR", "XX000", "broken", null);
            }
            case FULL -> {
                return said().error("ERROR", "53300", "full", null);
            }
            case LOSES_ANSWERS -> {
                return null;
            }
            default -> {
                if (request != null && missed.get()) {
                    return said().error("ERROR", request.kind.writes() ? "25006" : "72000", "not here", null);
                }
                byte[] row = Statements.value(text, "id").getBytes(StandardCharsets.US_ASCII);
                String tag = text.startsWith("INSERT") ? "INSERT 0 1" : "SELECT 1";
                MessageWriter answer = said().singleColumnResult("doc", row).commandComplete(tag);
                return taken.get() == Behavior.ANSWERS_TWICE
                        ? answer.readyForQuery()
                                .append(said().singleColumnResult("doc", row).commandComplete(tag))
                        : answer;
            }
        }
    }

    /** The position does not advance while the lag grows, and never decreases. */
    @Override
    protected synchronized long position() {
        newestPosition = Math.max(newestPosition, System.currentTimeMillis() - (leader ? 0 : lagMillis));
        return newestPosition;
    }

    @Override
    public void close() throws IOException {
        proxy.close();
        super.close();
    }
}
