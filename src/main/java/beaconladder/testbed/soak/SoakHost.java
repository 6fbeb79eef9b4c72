package beaconladder.testbed.soak;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A database host of the soak, behind its own proxy; it records each request that arrives. */
final class SoakHost extends HostStandIn {
    /** How a host handles requests. */
    enum Behavior {
        /** Runs the request and answers it. */
        NORMAL,
        /** Runs the request and answers it with an error. */
        ERROR,
        /** Rejects the request as full (SQLSTATE 53300) without running it. */
        FULL,
        /** Runs the request and closes the connection without an answer. */
        DROP_ANSWER,
        /** Runs the request and sends the answer twice. */
        ANSWER_TWICE
    }

    private static final int DEFAULT_LAG_MILLIS = 20;
    private static final int DEFAULT_DELAY_MILLIS = 5;
    private static final int HANG_POLL_MILLIS = 5;

    final int number;
    final int group;
    private final Map<String, Request> requests;
    private final FaultProxy proxy;
    /** When the request that this thread handles arrived, in nanoseconds. */
    private final ThreadLocal<Long> arrivedAtNanos = ThreadLocal.withInitial(System::nanoTime);

    /** The behavior at the arrival of the request that this thread handles. */
    private final ThreadLocal<Behavior> requestBehavior = ThreadLocal.withInitial(() -> Behavior.NORMAL);
    /** Whether this host must reject the request that this thread handles, decided at its arrival. */
    private final ThreadLocal<Boolean> rejectsRequest = ThreadLocal.withInitial(() -> false);

    private long newestPositionMillis;
    volatile Behavior behavior = Behavior.NORMAL;
    volatile boolean hanging;
    volatile int lagMillis = DEFAULT_LAG_MILLIS;
    /** When discovery began to list the host as leaving, in nanoseconds, or 0 if it does not. */
    volatile long leavingSinceNanos;

    private volatile boolean primary;
    private volatile String state = "Ready";
    private volatile long startedMillis;

    SoakHost(int number, int group, boolean primary, Map<String, Request> requests) throws IOException {
        super(primary ? "leader" : "follower");
        this.number = number;
        this.group = group;
        this.primary = primary;
        this.requests = requests;
        this.proxy = new FaultProxy(port());
        delayMillis = DEFAULT_DELAY_MILLIS;
    }

    FaultProxy proxy() {
        return proxy;
    }

    boolean isPrimary() {
        return primary;
    }

    /** Makes this host the primary of its group, or a replica. */
    void setPrimary(boolean nowPrimary) {
        primary = nowPrimary;
        role(nowPrimary ? "leader" : "follower");
    }

    String state() {
        return state;
    }

    /** Sets the state in the host's entry in discovery. */
    void setState(String newState) {
        state = newState;
        leavingSinceNanos = newState.equals("Ready") ? 0 : System.nanoTime();
    }

    /** Records now as the time at which the host's process started. */
    void markStarted() {
        startedMillis = System.currentTimeMillis();
    }

    /** Returns the host's entry in the endpoint list. */
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
                        primary ? "leader" : "follower");
    }

    @Override
    protected void halt() {
        arrivedAtNanos.set(System.nanoTime());
        while (hanging) {
            StandInThreads.sleep(HANG_POLL_MILLIS);
        }
    }

    @Override
    protected void saw(String text) {
        Request request = requests.get(Statements.value(text, "id"));
        Behavior currentBehavior = behavior;
        requestBehavior.set(currentBehavior);
        if (request == null) {
            return;
        }
        boolean rejected = mustReject(request, text);
        rejectsRequest.set(rejected);
        request.addArrival(new Request.Arrival(
                number,
                group,
                arrivedAtNanos.get(),
                currentBehavior != Behavior.FULL && !rejected,
                leavingSinceNanos,
                position(),
                System.currentTimeMillis(),
                Long.parseLong(Statements.value(text, "d"))));
    }

    private boolean mustReject(Request request, String text) {
        String after = Statements.value(text, "after");
        return request.kind.writes() && !primary || after != null && position() < Long.parseLong(after);
    }

    @Override
    protected MessageWriter run(String text) {
        Request request = requests.get(Statements.value(text, "id"));
        switch (requestBehavior.get()) {
            case ERROR -> {
                return said().error("ERROR", "XX000", "broken", null);
            }
            case FULL -> {
                return said().error("ERROR", "53300", "full", null);
            }
            case DROP_ANSWER -> {
                return null;
            }
            default -> {
                if (request != null && rejectsRequest.get()) {
                    return said().error("ERROR", request.kind.writes() ? "25006" : "72000", "not here", null);
                }
                byte[] row = Statements.value(text, "id").getBytes(StandardCharsets.US_ASCII);
                String tag = text.startsWith("INSERT") ? "INSERT 0 1" : "SELECT 1";
                MessageWriter answer = said().singleColumnResult("doc", row).commandComplete(tag);
                return requestBehavior.get() == Behavior.ANSWER_TWICE
                        ? answer.readyForQuery()
                                .append(said().singleColumnResult("doc", row).commandComplete(tag))
                        : answer;
            }
        }
    }

    /** Returns the applied position in Unix milliseconds. It stands still while the lag grows, and never decreases. */
    @Override
    protected synchronized long position() {
        newestPositionMillis = Math.max(newestPositionMillis, System.currentTimeMillis() - (primary ? 0 : lagMillis));
        return newestPositionMillis;
    }

    @Override
    public void close() throws IOException {
        proxy.close();
        super.close();
    }
}
