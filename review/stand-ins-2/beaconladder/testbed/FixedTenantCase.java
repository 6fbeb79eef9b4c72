package beaconladder.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A tenant is moved to another cell; later a new plan says that it does not move any more, and is read by SIGHUP. */
public final class FixedTenantCase extends CellCase {
    private static final int RELOAD_MILLIS = 5_000;

    public FixedTenantCase() {
        super("acme");
    }

    public static void main(String[] arguments) {
        main(new FixedTenantCase(), arguments);
    }

    @Override
    int play() throws Exception {
        setUp();
        try (Client client = new Client(port)) {
            writeAll(client, "acme", 1);
            move("acme", "south");
            writeAll(client, "acme", 2);
            int before = readAll(client, "acme");
            Files.writeString(plan, planText(trouble ? " (fixed)" : ""));
            Process check = start(
                    "java -jar target/beaconladder.jar check " + plan, null, folder.resolve("check.log"));
            say("the plan is replaced" + (trouble ? "; acme's line has (fixed) now" : " by the same")
                    + "; `beaconladder check` ends with " + check.waitFor());
            for (Process process : new Process[] {coordinator, router}) {
                new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
            }
            awaitReload(coordinatorLog);
            awaitReload(routerLog);
            Thread.sleep(500);
            int after = readAll(client, "acme");
            return before + after > 0 ? BROKEN : KEPT;
        }
    }

    private void awaitReload(Path log) throws IOException, InterruptedException {
        long untilMillis = System.currentTimeMillis() + RELOAD_MILLIS;
        while (true) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains("reloaded")) {
                    say(log.getFileName() + ": " + line);
                    return;
                }
            }
            if (System.currentTimeMillis() > untilMillis) {
                throw new IOException(log.getFileName() + " says nothing of a reload");
            }
            Thread.sleep(20);
        }
    }
}
