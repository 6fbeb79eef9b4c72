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

/** One router over all its lives. */
final class SoakRouter {
    /** SIGKILL comes this long after SIGTERM at the earliest. */
    private static final int KILL_MILLIS = 3_700;

    private static final int READY_MILLIS = 30_000;
    /** Nine in ten are to be ready within this; here all are. */
    private static final int SOON_MILLIS = 10_000;

    private static final int LOOK_MILLIS = 20;

    final int number;
    final int port;
    final FaultPlan faultPlan;
    private final ChildProcesses.Program program;
    private final List<String> broken;
    /** When it was killed with requests in flight, on System.nanoTime. */
    private final List<Long> kills = new CopyOnWriteArrayList<>();

    private volatile boolean ready;
    /** Whether a task has reserved the router for stopping or starting it. */
    private boolean reserved;

    SoakRouter(int number, int port, ChildProcesses.Program program, FaultPlan faultPlan, List<String> broken) {
        this.number = number;
        this.port = port;
        this.program = program;
        this.faultPlan = faultPlan;
        this.broken = broken;
    }

    boolean ready() {
        return ready;
    }

    /** Whether it was killed between these two. */
    boolean killedWithin(long from, long to) {
        return kills.stream().anyMatch(at -> at >= from && at <= to);
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

    void start() throws IOException {
        long from = System.nanoTime();
        program.start();
        while (System.nanoTime() - from < READY_MILLIS * 1_000_000L) {
            if (answers()) {
                ready = true;
                long took = (System.nanoTime() - from) / 1_000_000;
                if (took > SOON_MILLIS) {
                    broken.add("router " + number + " was ready after " + took + " ms");
                }
                return;
            }
            if (!program.alive()) {
                broken.add("router " + number + " ended while it started: " + program.exit());
                return;
            }
            StandInThreads.sleep(LOOK_MILLIS);
        }
        broken.add("router " + number + " was not ready in time");
    }

    private boolean answers() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                TestClient caller = new TestClient(socket)) {
            socket.setSoTimeout(1_000);
            MessageWriter.startup("app", "shop").append(MessageWriter.query("")).writeTo(caller.out);
            caller.answer();
            return caller.answer().equals("I Z");
        } catch (IOException e) {
            return false;
        }
    }

    /** SIGTERM, and SIGKILL where it has not ended by then; no excuse for what is unanswered. */
    void terminate() throws IOException, InterruptedException {
        ready = false;
        long from = System.nanoTime();
        program.signal("TERM");
        long left = KILL_MILLIS - (System.nanoTime() - from) / 1_000_000;
        if (!program.ended(Math.max(0, left))) {
            program.kill();
        } else if (program.exit() != 0) {
            broken.add("router " + number + " ended with " + program.exit() + " after SIGTERM");
        }
    }

    void kill() {
        ready = false;
        kills.add(System.nanoTime());
        program.kill();
        kills.add(System.nanoTime());
    }

    void signal(String name) throws IOException, InterruptedException {
        program.signal(name);
    }

    void reload(String config) throws IOException, InterruptedException {
        program.rewrite(config);
        program.signal("HUP");
    }

    /** Whether it runs, as it should. */
    boolean alive() {
        return program.alive();
    }

    String log() {
        return program.log();
    }
}
