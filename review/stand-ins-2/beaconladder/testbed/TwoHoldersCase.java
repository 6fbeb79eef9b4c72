package beaconladder.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A task is handed over and back some times; each release of its first holder comes twice, the second time late. */
public final class TwoHoldersCase extends ReviewCase {
    private static final int LENGTH_MILLIS = 2_000;
    private static final int CLOCK_MILLIS = 100;
    private static final int CYCLES = 8;
    private static final int COPY_AFTER_MILLIS = 9_000;
    private static final String[] HOLDERS = {"h1", "h2", "h3", "h4"};

    private Path plan;

    public static void main(String[] arguments) {
        main(new TwoHoldersCase(), arguments);
    }

    private record Act(long nanos, String holder, long token) {}

    @Override
    int play() throws Exception {
        plan = folder.resolve("router.plan");
        StringBuilder text = new StringBuilder("(cell north (groups 0))\n(leases (length " + LENGTH_MILLIS
                + "ms) (clock " + CLOCK_MILLIS + "ms) (disk 8MB))\n");
        int[] ports = new int[3];
        for (int i = 0; i < ports.length; i++) {
            ports[i] = freePort();
            text.append("(grantor k" + i + " (raft 127.0.0.1:" + freePort() + ") (at 127.0.0.1:" + ports[i]
                    + ") (store \"" + folder.resolve("k" + i) + "\"))\n");
        }
        Files.writeString(plan, text);
        for (int i = 0; i < ports.length; i++) {
            start(
                    "java -Xmx128m -cp 'target/beaconladder.jar:target/grantors/*' beaconladder.app.Main lease grant"
                            + " --plan " + plan + " --name k" + i,
                    null,
                    folder.resolve("k" + i + ".log"));
        }
        AskRelay[] relays = new AskRelay[ports.length];
        for (int i = 0; i < ports.length; i++) {
            relays[i] = new AskRelay(ports[i]);
            relays[i].copyAfterMillis = trouble ? COPY_AFTER_MILLIS : 0;
        }
        for (String holder : HOLDERS) {
            StringBuilder command = new StringBuilder("java -Xmx64m -cp 'target/review-2:target/beaconladder.jar:"
                    + "target/lib/*' beaconladder.testbed.HolderProcess " + holder + " warm-up " + LENGTH_MILLIS + " "
                    + CLOCK_MILLIS);
            for (int i = 0; i < ports.length; i++) {
                command.append(' ').append(holder.equals("h1") ? relays[i].port() : ports[i]);
            }
            start(command.toString(), null, folder.resolve(holder + ".log"));
        }
        say("three lease servers, and h1 to h4, which want the lease of the task warm-up");
        long untilMillis = System.currentTimeMillis() + 25_000;
        while (acts().isEmpty()) {
            if (System.currentTimeMillis() > untilMillis) {
                throw new IOException("nobody holds the lease");
            }
            Thread.sleep(100);
        }
        boolean broken = false;
        for (int cycle = 0; cycle < CYCLES && !broken; cycle++) {
            handOver("h1");
            Thread.sleep(3_800);
            handOver("h2");
            Thread.sleep(4_200);
            broken = findTwo();
            for (AskRelay relay : relays) {
                for (String event = relay.events.poll(); event != null; event = relay.events.poll()) {
                    say("h1's way to the lease servers: " + event);
                }
            }
        }
        return broken ? BROKEN : KEPT;
    }

    private void handOver(String heir) throws IOException, InterruptedException {
        Path log = folder.resolve("operator.log");
        Process process =
                start("java -jar target/beaconladder.jar lease hand-over warm-up " + heir + " --plan " + plan, null, log);
        process.waitFor(10, TimeUnit.SECONDS);
        List<String> lines = Files.readAllLines(log);
        say("an operator: lease hand-over warm-up " + heir + ": " + lines.get(lines.size() - 1));
    }

    /** Reads what all holders did, in the order of time. */
    private List<Act> acts() throws IOException {
        List<Act> acts = new ArrayList<>();
        for (String holder : HOLDERS) {
            Path log = folder.resolve(holder + ".log");
            for (String line : Files.exists(log) ? Files.readAllLines(log) : List.<String>of()) {
                String[] words = line.split(" ");
                if (words.length == 3 && words[0].equals("ACT")) {
                    acts.add(new Act(Long.parseLong(words[1]), holder, Long.parseLong(words[2])));
                }
            }
        }
        acts.sort(Comparator.comparingLong(Act::nanos));
        return acts;
    }

    /** Whether two processes acted in turn, each under one and the same token: both hold the lease. */
    private boolean findTwo() throws IOException {
        Map<String, List<Act>> actsByGrant = new LinkedHashMap<>();
        for (Act act : acts()) {
            actsByGrant
                    .computeIfAbsent(act.holder() + " under token " + act.token(), grant -> new ArrayList<>())
                    .add(act);
        }
        boolean found = false;
        for (Map.Entry<String, List<Act>> one : actsByGrant.entrySet()) {
            for (Map.Entry<String, List<Act>> other : actsByGrant.entrySet()) {
                Act end = one.getValue().get(one.getValue().size() - 1);
                Act begin = other.getValue().get(0);
                if (!end.holder().equals(begin.holder())
                        && one.getValue().get(0).nanos() < begin.nanos()
                        && begin.nanos() < end.nanos()) {
                    say(one.getKey() + " acted until " + (end.nanos() - begin.nanos()) / 1_000_000 + " ms after "
                            + other.getKey() + " had begun to act  <-- both hold the lease");
                    found = true;
                }
            }
        }
        return found;
    }
}
