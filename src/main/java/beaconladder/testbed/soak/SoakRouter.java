package beaconladder.testbed.soak;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.ChildProcesses;
import beaconladder.testbed.StandInThreads;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** One router, across all starts of its process. */
final class SoakRouter {
    /** The shortest time after which SIGKILL follows SIGTERM: the longest deadline, at most 3 s, and 0.7 s. */
    private static final int KILL_DELAY_MILLIS = Math.min(3_000, RequestKind.longestBudgetMillis()) + 700;

    private static final int SIGNAL_INTERVAL_MILLIS = 30;

    private static final int START_TIMEOUT_MILLIS = 30_000;
    /** The requirement is that nine in ten starts are ready within this time; the soak demands it of every start. */
    private static final int MAX_START_MILLIS = 10_000;

    private static final int START_POLL_MILLIS = 20;

    final int number;
    final int port;
    final FaultPlan faultPlan;
    private final ChildProcesses.Program program;
    private final List<String> violations;
    /** The times before and after each SIGKILL that may hit requests in flight, in nanoseconds. */
    private final List<Long> killTimesNanos = new CopyOnWriteArrayList<>();

    private volatile boolean ready;
    /** Whether a task has reserved the router for stopping or starting it. */
    private boolean reserved;

    SoakRouter(int number, int port, ChildProcesses.Program program, FaultPlan faultPlan, List<String> violations) {
        this.number = number;
        this.port = port;
        this.program = program;
        this.faultPlan = faultPlan;
        this.violations = violations;
    }

    /** Returns whether the router accepts clients. */
    boolean ready() {
        return ready;
    }

    /** Returns whether the router was killed between these two times, in nanoseconds. */
    boolean killedWithin(long startNanos, long endNanos) {
        return killTimesNanos.stream().anyMatch(killedAt -> killedAt >= startNanos && killedAt <= endNanos);
    }

    /** Reserves the router for stopping or starting it; returns false if it is reserved already or not ready. */
    synchronized boolean tryReserve() {
        boolean reservable = !reserved && ready;
        reserved |= reservable;
        return reservable;
    }

    /** Ends the reservation. */
    synchronized void release() {
        reserved = false;
    }

    /** Starts the process and waits until it answers an empty query; a failed or slow start is a violation. */
    void start() throws IOException {
        long beginNanos = System.nanoTime();
        program.start();
        while (System.nanoTime() - beginNanos < START_TIMEOUT_MILLIS * 1_000_000L) {
            if (answersEmptyQuery()) {
                ready = true;
                long startMillis = (System.nanoTime() - beginNanos) / 1_000_000;
                if (startMillis > MAX_START_MILLIS) {
                    violations.add("router " + number + " took " + startMillis + " ms to become ready");
                }
                return;
            }
            if (!program.alive()) {
                violations.add("router " + number + " exited during its start: " + program.exit());
                return;
            }
            StandInThreads.sleep(START_POLL_MILLIS);
        }
        violations.add("router " + number + " did not become ready in time");
    }

    private boolean answersEmptyQuery() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                TestClient client = new TestClient(socket)) {
            socket.setSoTimeout(1_000);
            MessageWriter.startup("app", "shop").append(MessageWriter.query("")).writeTo(client.out);
            client.answer();
            return client.answer().equals("I Z");
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Sends SIGTERM, and SIGKILL if the process has not exited in time. Unlike {@link #kill}, this does not excuse
     * unanswered requests.
     */
    void terminate() throws IOException, InterruptedException {
        terminateAfter();
    }

    /**
     * Does the same after a series of other signals. The time until SIGKILL runs from the first SIGTERM, and a second
     * one follows it.
     */
    void terminateAfter(String... signalsBefore) throws IOException, InterruptedException {
        ready = false;
        long beginNanos = 0;
        for (String signal : signalsBefore) {
            beginNanos = beginNanos == 0 && signal.equals("TERM") ? System.nanoTime() : beginNanos;
            program.signal(signal);
            StandInThreads.sleep(SIGNAL_INTERVAL_MILLIS);
        }
        beginNanos = beginNanos == 0 ? System.nanoTime() : beginNanos;
        program.signal("TERM");
        long remainingMillis = KILL_DELAY_MILLIS - (System.nanoTime() - beginNanos) / 1_000_000;
        if (!program.ended(Math.max(0, remainingMillis))) {
            program.kill();
        } else if (program.exit() != 0) {
            violations.add("router " + number + " exited with status " + program.exit() + " after SIGTERM");
        }
    }

    /** Sends SIGKILL. */
    void kill() {
        ready = false;
        killTimesNanos.add(System.nanoTime());
        program.kill();
        killTimesNanos.add(System.nanoTime());
    }

    void signal(String name) throws IOException, InterruptedException {
        program.signal(name);
    }

    /** Replaces the configuration file and makes the router reload it. */
    void reload(String config) throws IOException, InterruptedException {
        program.rewrite(config);
        program.signal("HUP");
    }

    /** Returns whether the process is running. */
    boolean alive() {
        return program.alive();
    }

    String log() {
        return program.log();
    }
}
