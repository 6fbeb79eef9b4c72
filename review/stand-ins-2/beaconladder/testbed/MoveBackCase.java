package beaconladder.testbed;

import java.nio.file.Files;

/**
 * Tenants are moved to another cell, one after the other; the coordinator is killed as each of these moves ends, and started
 * again. Each tenant is moved back later.
 */
public final class MoveBackCase extends CellCase {
    private static final String[] TENANTS = {"acme", "beta", "corp", "delta", "echo", "fox"};
    private static final int DOWN_MILLIS = 500;

    public MoveBackCase() {
        super(TENANTS);
    }

    public static void main(String[] arguments) {
        main(new MoveBackCase(), arguments);
    }

    @Override
    int play() throws Exception {
        setUp();
        int missing = 0;
        try (Client client = new Client(port)) {
            for (String tenant : TENANTS) {
                writeAll(client, tenant, 1);
                move(tenant, "south");
                if (trouble) {
                    coordinator.destroyForcibly();
                    coordinator.onExit().join();
                    say("the coordinator is killed (SIGKILL)");
                    Thread.sleep(DOWN_MILLIS);
                    coordinator = startCoordinator();
                    say("the coordinator is started again");
                }
                writeAll(client, tenant, 2);
                missing += readAll(client, tenant);
                move(tenant, "north");
                Thread.sleep(500);
                missing += readAll(client, tenant);
                if (missing > 0) {
                    break;
                }
            }
        }
        Files.readAllLines(coordinatorLog).stream()
                .filter(line -> line.matches(".*(copying|switched|done|undone|recovered|feed).*"))
                .forEach(line -> say("coordinator's log: " + line));
        return missing > 0 ? BROKEN : KEPT;
    }
}
