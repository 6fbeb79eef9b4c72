package beaconladder.testbed;

import java.nio.file.Files;

/**
 * A tenant is moved to another cell, the coordinator is killed just after that move is done, and the tenant is moved back
 * later. The new cell has a former primary that hangs: another member has taken over, and it is listed as draining.
 */
public final class MoveBackCase extends CellCase {
    /** The site's detect_s is 1.1 to 3, its elect_s 1.3 to 3.8. */
    private static final int TAKEOVER_MILLIS = 4_000;
    /** How long after the line `done` the coordinator is killed, and how long it is down. */
    private static final int KILL_MILLIS = 100;

    private static final int DOWN_MILLIS = 500;

    public MoveBackCase() {
        super("acme");
    }

    public static void main(String[] arguments) {
        main(new MoveBackCase(), arguments);
    }

    @Override
    int play() throws Exception {
        setUp();
        try (Client client = new Client(port)) {
            writeAll(client, "acme", 1);
            ReplicatedHost former = fleet.primary(1);
            former.hung = true;
            long hangMillis = System.currentTimeMillis();
            say("the primary of south hangs: " + former.id);
            Thread.sleep(TAKEOVER_MILLIS);
            ReplicatedHost next = fleet.failOver(1);
            fleet.list(former.id, "Terminating");
            say(next.id + " is the primary of south; " + former.id + " is listed as draining, and still hangs");
            Thread.sleep(500);
            move("acme", "south");
            if (trouble) {
                Thread.sleep(KILL_MILLIS);
                coordinator.destroyForcibly();
                coordinator.onExit().join();
                say("the coordinator is killed (SIGKILL)");
                Thread.sleep(DOWN_MILLIS);
                coordinator = startCoordinator();
                say("the coordinator is started again");
            }
            Thread.sleep(2_500);
            former.hung = false;
            say(former.id + " hangs no more, after " + (System.currentTimeMillis() - hangMillis) + " ms");
            writeAll(client, "acme", 2);
            int missing = readAll(client, "acme");
            say("south's copy of acme is " + (copies(next) ? "still on" : "off"));
            missing += moveUnderLoad("acme", "north");
            Thread.sleep(1_000);
            missing += readAll(client, "acme");
            Files.readAllLines(coordinatorLog).stream()
                    .filter(line -> line.matches(".*(copying|fenced|sealed|switched|done|undone|recovered|feed).*"))
                    .forEach(line -> say("coordinator's log: " + line));
            return missing > 0 ? BROKEN : KEPT;
        }
    }

    /** Whether a host still copies acme: its progress, which it is asked for as the coordinator asks, goes on. */
    private static boolean copies(ReplicatedHost host) throws Exception {
        try (Client client = new Client(host.port())) {
            client.ask("SELECT copied FROM beaconladder_feeds WHERE tenant = 'acme'");
            String before = new String(client.value, java.nio.charset.StandardCharsets.US_ASCII);
            Thread.sleep(200);
            client.ask("SELECT copied FROM beaconladder_feeds WHERE tenant = 'acme'");
            return !before.equals(new String(client.value, java.nio.charset.StandardCharsets.US_ASCII));
        }
    }
}
