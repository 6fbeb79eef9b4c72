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

/** Injects the faults of the feed's scenario, and proposes changes while each lasts. */
final class FeedFaults {
    private static final int CHANGE_INTERVAL_MILLIS = 400;
    /** Time limit for a router without a relay to apply its stored version, after it tried each relay once. */
    private static final int ISOLATED_START_TIMEOUT_MILLIS = 25_000;
    /** Window after a partition in which polls are counted; without changes a router polls once a second. */
    private static final int RECOVERY_WINDOW_MILLIS = 3_000;

    private static final int MAX_POLLS_PER_ROUTER = 12;

    private final FeedFleet fleet;
    private final FeedWriter writer;
    private final Path folder;
    private final List<Outage> outages;
    private final List<String> violations;
    private final SplittableRandom random;
    private final FeedScenario.Size size;
    private final int faultMillis;

    FeedFaults(
            FeedFleet fleet,
            FeedWriter writer,
            Path folder,
            List<Outage> outages,
            List<String> violations,
            SplittableRandom random,
            FeedScenario.Size size) {
        this.fleet = fleet;
        this.writer = writer;
        this.folder = folder;
        this.outages = outages;
        this.violations = violations;
        this.random = random;
        this.size = size;
        this.faultMillis = size.faultMillis();
    }

    void inject(FeedFault fault) throws IOException, InterruptedException {
        String phase = FeedScenario.name(fault);
        int relay = random.nextInt(fleet.relays.size());
        int real = random.nextInt(FeedFleet.REAL);
        int leader = fleet.leader();
        int burst = size.burst();
        switch (fault) {
            case KILL_RELAY -> {
                proposeBurst(phase, burst / 2);
                fleet.relays.get(relay).kill();
                proposeBurst(phase, burst - burst / 2);
                proposeChanges(phase, faultMillis);
                fleet.relays.get(relay).start();
                proposeChanges(phase, faultMillis / 2);
            }
            case PAUSE_RELAY -> {
                fleet.relays.get(relay).signal("STOP");
                proposeChanges(phase, faultMillis);
                fleet.relays.get(relay).signal("CONT");
                proposeChanges(phase, faultMillis / 2);
            }
            case CUT_RELAY -> {
                fleet.links.setRelayCutFromLog(relay, true);
                proposeChanges(phase, faultMillis);
                fleet.links.setRelayCutFromLog(relay, false);
                proposeChanges(phase, faultMillis / 2);
            }
            case OLD_RELAY -> restartRelayWithOldState(phase, relay);
            case KILL_LEADER -> {
                proposeBurst(phase, burst / 4);
                Thread kill = StandInThreads.spawn(() -> {
                    StandInThreads.sleep(20);
                    fleet.leaseServers.get(leader).kill();
                });
                proposeBurst(phase, burst / 4);
                StandInThreads.join(kill, faultMillis);
                fleet.leaseServers.get(leader).start();
                proposeChanges(phase, faultMillis / 2);
            }
            case PAUSE_LEADER -> {
                fleet.leaseServers.get(leader).signal("STOP");
                proposeChanges(phase, faultMillis);
                fleet.leaseServers.get(leader).signal("CONT");
                proposeChanges(phase, faultMillis / 2);
            }
            case CUT_LEADER -> {
                fleet.links.setLeaseServerCut(leader, true);
                proposeChanges(phase, faultMillis);
                fleet.links.setLeaseServerCut(leader, false);
                proposeChanges(phase, faultMillis / 2);
            }
            case CUT_REGION -> partitionFirstRegion(phase);
            case RESTART_ROUTER -> restartRouter(phase, real);
            case RESTART_ALONE -> restartIsolatedRouter(phase, real);
            case REFUSAL -> rejectVersion(phase);
            default -> {
                fleet.links.setWeather(Weather.FOUL);
                proposeChanges(phase, faultMillis);
                fleet.links.setWeather(Weather.FAIR);
            }
        }
    }

    private void proposeBurst(String phase, int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            writer.change(phase);
        }
    }

    private void proposeChanges(String phase, long millis) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < untilNanos) {
            writer.change(phase);
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
    }

    private void restartRelayWithOldState(String phase, int relay) throws IOException, InterruptedException {
        Program process = fleet.relays.get(relay);
        Path store = folder.resolve("relay" + relay);
        process.kill();
        Path copy = folder.resolve("old" + System.nanoTime());
        copy(store, copy);
        process.start();
        proposeChanges(phase, faultMillis / 2);
        process.kill();
        copy(copy, store);
        fleet.links.setRelayCutFromLog(relay, true);
        process.start();
        proposeChanges(phase, faultMillis);
        fleet.links.setRelayCutFromLog(relay, false);
        proposeChanges(phase, faultMillis / 2);
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private void partitionFirstRegion(String phase) throws IOException, InterruptedException {
        long fromNanos = FeedRouters.unix();
        fleet.links.setFirstRegionCut(true);
        proposeChanges(phase, 2 * faultMillis);
        long ageMillis = lastMinAgeMillis(fromNanos);
        long toNanos = FeedRouters.unix();
        fleet.links.setFirstRegionCut(false);
        outages.add(new Outage(fleet::inFirstRegion, fromNanos, toNanos));
        long before = totalAnswers();
        proposeChanges(phase, RECOVERY_WINDOW_MILLIS);
        long polls = totalAnswers() - before;
        if (ageMillis < (toNanos - fromNanos) / 1_000_000 - 2_500) {
            violations.add("a region was partitioned for " + (toNanos - fromNanos) / 1_000_000
                    + " ms, but one of its routers reports the age of its state as " + ageMillis + " ms");
        }
        if (polls > (long) MAX_POLLS_PER_ROUTER * fleet.routerNames().size()) {
            violations.add("too many polls: " + polls + " polls of "
                    + fleet.routerNames().size() + " routers in " + RECOVERY_WINDOW_MILLIS
                    + " ms after a partition ended");
        }
    }

    /** Returns the newest record of the lowest age of a state in the first region, in milliseconds. */
    private long lastMinAgeMillis(long sinceNanos) throws IOException {
        return fleet.journal().stream()
                .map(line -> line.split(" "))
                .filter(words -> words.length == 5
                        && words[0].equals("G")
                        && words[2].equals("n0")
                        && Long.parseLong(words[1]) > sinceNanos)
                .reduce((first, second) -> second)
                .map(words -> Long.parseLong(words[3]))
                .orElse(0L);
    }

    private long totalAnswers() {
        return fleet.statuses().stream().mapToLong(Relay.Status::answers).sum();
    }

    private void restartRouter(String phase, int real) throws IOException, InterruptedException {
        long fromNanos = FeedRouters.unix();
        fleet.real.get(real).kill();
        writer.change(phase);
        fleet.real.get(real).start();
        awaitVersion(real, fromNanos, writer.log().size(), faultMillis * 2);
        outages.add(new Outage(("m" + real)::equals, fromNanos, FeedRouters.unix()));
        proposeChanges(phase, faultMillis / 4);
    }

    private void restartIsolatedRouter(String phase, int real) throws IOException, InterruptedException {
        writer.change(phase);
        awaitVersion(real, 0, writer.log().size(), faultMillis * 2);
        long fromNanos = FeedRouters.unix();
        fleet.links.setRealRouterCut(real, true);
        fleet.real.get(real).kill();
        int before = writer.log().size();
        fleet.real.get(real).start();
        awaitVersion(real, fromNanos, before, ISOLATED_START_TIMEOUT_MILLIS);
        writer.change(phase);
        fleet.links.setRealRouterCut(real, false);
        outages.add(new Outage(("m" + real)::equals, fromNanos, FeedRouters.unix()));
        proposeChanges(phase, faultMillis / 2);
    }

    /** Waits until a real router has applied this version or a newer one at or after {@code sinceNanos}. */
    private void awaitVersion(int real, long sinceNanos, long version, long millis)
            throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (Files.readAllLines(folder.resolve("m" + real + ".journal")).stream()
                .map(Applied::parse)
                .filter(Objects::nonNull)
                .noneMatch(each -> each.atNanos() >= sinceNanos && each.version() >= version)) {
            if (System.nanoTime() > untilNanos) {
                violations.add("router m" + real + " has not applied version " + version + " in time");
                return;
            }
            Thread.sleep(20);
        }
    }

    /** Has one router reject a version, and waits until the counts report the rejection. */
    private void rejectVersion(String phase) throws IOException, InterruptedException {
        writer.change(phase);
        writer.proposeRejectedBy("n0", phase);
        long version = writer.log().size();
        long untilNanos = System.nanoTime() + 2 * faultMillis * 1_000_000L;
        long fromNanos = FeedRouters.unix();
        while (writer.logClient().status().counts().stream()
                .noneMatch(each -> each.version() == version && each.rejected() == 1)) {
            if (System.nanoTime() > untilNanos) {
                violations.add("the counts do not report one rejection of version " + version + ": "
                        + writer.logClient().status());
                break;
            }
            Thread.sleep(50);
        }
        writer.proposeRejectedBy(null, phase);
        outages.add(new Outage("n0"::equals, fromNanos - 1_000_000_000L, FeedRouters.unix()));
    }
}
