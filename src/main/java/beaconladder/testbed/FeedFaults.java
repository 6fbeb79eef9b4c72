package beaconladder.testbed;

import beaconladder.feed.Relay;
import beaconladder.testbed.ChildProcesses.Program;
import beaconladder.testbed.FaultRelay.Weather;
import beaconladder.testbed.FeedChecker.Applied;
import beaconladder.testbed.FeedChecker.Outage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** How each fault of the feed's rehearsal is played, with changes while it lasts. */
final class FeedFaults {
    private static final int EVERY_MILLIS = 400;
    /** A router that is alone has to be in force from its own disk by then: one round at all relays. */
    private static final int ALONE_MILLIS = 25_000;
    /** After a cut has healed: at most so many polls a router in so long; at rest there is one a second. */
    private static final int HEALED_MILLIS = 3_000;

    private static final int MOST_POLLS = 12;

    private final FeedFleet fleet;
    private final FeedWriter writer;
    private final Path folder;
    private final List<Outage> outages;
    private final List<String> broken;
    private final SplittableRandom chance;
    private final FeedScenario.Size size;
    private final int lasts;

    FeedFaults(
            FeedFleet fleet,
            FeedWriter writer,
            Path folder,
            List<Outage> outages,
            List<String> broken,
            SplittableRandom chance,
            FeedScenario.Size size) {
        this.fleet = fleet;
        this.writer = writer;
        this.folder = folder;
        this.outages = outages;
        this.broken = broken;
        this.chance = chance;
        this.size = size;
        this.lasts = size.lastsMillis();
    }

    void play(FeedFault fault) throws IOException, InterruptedException {
        String phase = FeedScenario.name(fault);
        int relay = chance.nextInt(fleet.relays.size());
        int real = chance.nextInt(FeedFleet.REAL);
        int leader = fleet.leader();
        int burst = size.burst();
        switch (fault) {
            case KILL_RELAY -> {
                burst(phase, burst / 2);
                fleet.relays.get(relay).kill();
                burst(phase, burst - burst / 2);
                changes(phase, lasts);
                fleet.relays.get(relay).start();
                changes(phase, lasts / 2);
            }
            case PAUSE_RELAY -> {
                fleet.relays.get(relay).signal("STOP");
                changes(phase, lasts);
                fleet.relays.get(relay).signal("CONT");
                changes(phase, lasts / 2);
            }
            case CUT_RELAY -> {
                fleet.links.relayFromLog(relay, true);
                changes(phase, lasts);
                fleet.links.relayFromLog(relay, false);
                changes(phase, lasts / 2);
            }
            case OLD_RELAY -> old(phase, relay);
            case KILL_LEADER -> {
                burst(phase, burst / 4);
                Thread kill = StandInThreads.spawn(() -> {
                    StandInThreads.sleep(20);
                    fleet.grantors.get(leader).kill();
                });
                burst(phase, burst / 4);
                StandInThreads.join(kill, lasts);
                fleet.grantors.get(leader).start();
                changes(phase, lasts / 2);
            }
            case PAUSE_LEADER -> {
                fleet.grantors.get(leader).signal("STOP");
                changes(phase, lasts);
                fleet.grantors.get(leader).signal("CONT");
                changes(phase, lasts / 2);
            }
            case CUT_LEADER -> {
                fleet.links.grantor(leader, true);
                changes(phase, lasts);
                fleet.links.grantor(leader, false);
                changes(phase, lasts / 2);
            }
            case CUT_REGION -> region(phase);
            case RESTART_ROUTER -> restart(phase, real);
            case RESTART_ALONE -> alone(phase, real);
            case REFUSAL -> refusal(phase);
            default -> {
                fleet.links.weather(Weather.FOUL);
                changes(phase, lasts);
                fleet.links.weather(Weather.FAIR);
            }
        }
    }

    private void burst(String phase, int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            writer.change(phase);
        }
    }

    private void changes(String phase, long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            writer.change(phase);
            Thread.sleep(EVERY_MILLIS);
        }
    }

    private void old(String phase, int relay) throws IOException, InterruptedException {
        Program process = fleet.relays.get(relay);
        Path store = folder.resolve("relay" + relay);
        process.kill();
        Path copy = folder.resolve("old" + System.nanoTime());
        copy(store, copy);
        process.start();
        changes(phase, lasts / 2);
        process.kill();
        copy(copy, store);
        fleet.links.relayFromLog(relay, true);
        process.start();
        changes(phase, lasts);
        fleet.links.relayFromLog(relay, false);
        changes(phase, lasts / 2);
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private void region(String phase) throws IOException, InterruptedException {
        long from = FeedRouters.unix();
        fleet.links.firstRegion(true);
        changes(phase, 2 * lasts);
        long age = ages(from);
        long to = FeedRouters.unix();
        fleet.links.firstRegion(false);
        outages.add(new Outage(fleet::inFirst, from, to));
        long before = answers();
        changes(phase, HEALED_MILLIS);
        long polls = answers() - before;
        if (age < (to - from) / 1_000_000 - 2_500) {
            broken.add("a region was cut off for " + (to - from) / 1_000_000
                    + " ms, and a router of it says that its version is " + age + " ms old");
        }
        if (polls > (long) MOST_POLLS * fleet.names().size()) {
            broken.add("a storm: " + polls + " polls of " + fleet.names().size() + " routers in " + HEALED_MILLIS
                    + " ms after a region healed");
        }
    }

    /** The least age that a router of the first region told of last. */
    private long ages(long since) throws IOException {
        return fleet.journal().stream()
                .map(line -> line.split(" "))
                .filter(words -> words.length == 5
                        && words[0].equals("G")
                        && words[2].equals("n0")
                        && Long.parseLong(words[1]) > since)
                .reduce((first, second) -> second)
                .map(words -> Long.parseLong(words[3]))
                .orElse(0L);
    }

    private long answers() {
        return fleet.statuses().stream().mapToLong(Relay.Status::answers).sum();
    }

    private void restart(String phase, int real) throws IOException, InterruptedException {
        long from = FeedRouters.unix();
        fleet.real.get(real).kill();
        writer.change(phase);
        fleet.real.get(real).start();
        await(real, from, writer.log().size(), lasts * 2);
        outages.add(new Outage(("m" + real)::equals, from, FeedRouters.unix()));
        changes(phase, lasts / 4);
    }

    private void alone(String phase, int real) throws IOException, InterruptedException {
        writer.change(phase);
        await(real, 0, writer.log().size(), lasts * 2);
        long from = FeedRouters.unix();
        fleet.links.realFromRelays(real, true);
        fleet.real.get(real).kill();
        int before = writer.log().size();
        fleet.real.get(real).start();
        await(real, from, before, ALONE_MILLIS);
        writer.change(phase);
        fleet.links.realFromRelays(real, false);
        outages.add(new Outage(("m" + real)::equals, from, FeedRouters.unix()));
        changes(phase, lasts / 2);
    }

    /** A real router has put this version or a newer one in force since then. */
    private void await(int real, long since, long version, long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (Files.readAllLines(folder.resolve("m" + real + ".journal")).stream()
                .map(Applied::parse)
                .filter(Objects::nonNull)
                .noneMatch(each -> each.atNanos() >= since && each.version() >= version)) {
            if (System.nanoTime() > until) {
                broken.add("router m" + real + " has not put version " + version + " in force since");
                return;
            }
            Thread.sleep(20);
        }
    }

    /** The router that refuses goes on with what it had; the sums say so. */
    private void refusal(String phase) throws IOException, InterruptedException {
        writer.change(phase);
        writer.proposeRejectedBy("n0", phase);
        long version = writer.log().size();
        long until = System.nanoTime() + 2 * lasts * 1_000_000L;
        long from = FeedRouters.unix();
        while (writer.logClient().status().counts().stream()
                .noneMatch(each -> each.version() == version && each.rejected() == 1)) {
            if (System.nanoTime() > until) {
                broken.add("no sum tells that version " + version + " was refused by one: "
                        + writer.logClient().status());
                break;
            }
            Thread.sleep(50);
        }
        writer.proposeRejectedBy(null, phase);
        outages.add(new Outage("n0"::equals, from - 1_000_000_000L, FeedRouters.unix()));
    }
}
