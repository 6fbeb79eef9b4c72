package beaconladder.testbed.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures a simulated fleet of one size in a fixed scenario: an idle phase, six deaths, pauses, and the death of a
 * ninth of the members at once.
 *
 * @param messagesPerSecond messages per second and member while idle
 * @param bytesPerSecond bytes per second and member while idle
 * @param protocolMicros microseconds per second and member spent in the protocol while idle
 * @param detectionMillis milliseconds from a death until each of the others considers the member dead
 * @param zoneDetectionMillis the same for a ninth that died at once
 * @param zoneBytesPerSecond bytes per second and member while the death of that ninth is detected
 * @param falseDeaths live members that some other member considered dead after a twentieth was paused together
 * @param pausedCount how many members that twentieth has
 * @param falseDeathsOfTwo live members that were considered dead after two were paused
 */
record FleetMeasurement(
        int size,
        double messagesPerSecond,
        double bytesPerSecond,
        double protocolMicros,
        Histogram detectionMillis,
        Histogram zoneDetectionMillis,
        double zoneBytesPerSecond,
        int falseDeaths,
        int pausedCount,
        int falseDeathsOfTwo) {
    private static final long SECOND_NANOS = 1_000 * SimulatedFleet.NANOS_PER_MILLI;
    private static final long STEP_NANOS = 100 * SimulatedFleet.NANOS_PER_MILLI;
    private static final int ZONE_COUNT = 9;
    private static final int DEATHS = 6;
    /** The length of a JVM pause on an overloaded machine. */
    private static final long MIN_PAUSE_NANOS = 2 * SECOND_NANOS;

    private static final long MAX_PAUSE_NANOS = 6 * SECOND_NANOS;
    /** One in this many members is paused in the large pause. */
    private static final int PAUSED_DIVISOR = 20;
    /**
     * The divisor that yields two paused members. About two dozen machines fail per day, so two at once are already
     * many.
     */
    private static final int TWO_PAUSED = 2;

    private static final long TIMEOUT_NANOS = 180 * SECOND_NANOS;

    static FleetMeasurement of(int size, SplittableRandom random) {
        SimulatedFleet fleet = new SimulatedFleet(size, random.split());
        fleet.run(3 * SECOND_NANOS);
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        long protocolNanos = fleet.protocolNanos();
        long idleNanos = 6 * SECOND_NANOS;
        fleet.run(idleNanos);
        double memberSeconds = size * (idleNanos / (double) SECOND_NANOS);
        double idleMessages = (fleet.messages() - messages) / memberSeconds;
        double idleBytes = (fleet.bytes() - bytes) / memberSeconds;
        double protocolMicros = (fleet.protocolNanos() - protocolNanos) / 1e3 / memberSeconds;
        Histogram detectionMillis = killAndMeasure(
                fleet,
                random.ints(DEATHS * 4, 0, size)
                        .distinct()
                        .limit(DEATHS)
                        .boxed()
                        .toList());
        int falseDeathsOfTwo = pause(fleet, size / TWO_PAUSED, random);
        int falseDeaths = pause(fleet, PAUSED_DIVISOR, random);
        bytes = fleet.bytes();
        long startNanos = fleet.now();
        Histogram zoneDetectionMillis = killAndMeasure(
                fleet,
                IntStream.range(0, size)
                        .filter(i -> i % ZONE_COUNT == 0 && !fleet.dead(i))
                        .boxed()
                        .toList());
        double zoneSeconds = Math.max(1, (fleet.now() - startNanos) / (double) SECOND_NANOS);
        return new FleetMeasurement(
                size,
                idleMessages,
                idleBytes,
                protocolMicros,
                detectionMillis,
                zoneDetectionMillis,
                (fleet.bytes() - bytes) / zoneSeconds / size,
                falseDeaths,
                size / PAUSED_DIVISOR,
                falseDeathsOfTwo);
    }

    /**
     * Pauses one in so many members for some seconds and returns how many live members are considered dead by another
     * afterwards.
     */
    private static int pause(SimulatedFleet fleet, int every, SplittableRandom random) {
        for (int member = 1; member < fleet.size(); member += every) {
            if (!fleet.dead(member)) {
                fleet.pause(member, random.nextLong(MIN_PAUSE_NANOS, MAX_PAUSE_NANOS));
            }
        }
        fleet.run(MAX_PAUSE_NANOS + 4 * SECOND_NANOS);
        int falseDeaths = countFalseDeaths(fleet);
        fleet.run(20 * SECOND_NANOS);
        return falseDeaths;
    }

    /** Kills these members and waits until all others consider them dead. */
    private static Histogram killAndMeasure(SimulatedFleet fleet, List<Integer> members) {
        members.forEach(fleet::kill);
        long startNanos = fleet.now();
        Histogram detectionMillis = new Histogram(3);
        boolean[][] seen = new boolean[members.size()][fleet.size()];
        long unnoticed = (long) members.size()
                * IntStream.range(0, fleet.size()).filter(i -> !fleet.dead(i)).count();
        while (unnoticed > 0 && fleet.now() - startNanos < TIMEOUT_NANOS) {
            fleet.run(STEP_NANOS);
            for (int i = 0; i < members.size(); i++) {
                for (int observer = 0; observer < fleet.size(); observer++) {
                    if (!seen[i][observer] && !fleet.dead(observer) && fleet.considersDead(observer, members.get(i))) {
                        seen[i][observer] = true;
                        detectionMillis.recordValue((fleet.now() - startNanos) / SimulatedFleet.NANOS_PER_MILLI);
                        unnoticed--;
                    }
                }
            }
        }
        // A death that was not noticed in time counts as the full timeout.
        if (unnoticed > 0) {
            detectionMillis.recordValueWithCount(TIMEOUT_NANOS / SimulatedFleet.NANOS_PER_MILLI, unnoticed);
        }
        return detectionMillis;
    }

    /** Returns how many live members are considered dead by another live member. */
    private static int countFalseDeaths(SimulatedFleet fleet) {
        boolean[] consideredDead = new boolean[fleet.size()];
        List<Integer> live = new ArrayList<>();
        for (int i = 0; i < fleet.size(); i++) {
            if (!fleet.dead(i)) {
                live.add(i);
            }
        }
        for (int observer : live) {
            for (int member : live) {
                consideredDead[member] |= observer != member && fleet.considersDead(observer, member);
            }
        }
        return (int) IntStream.range(0, consideredDead.length)
                .filter(i -> consideredDead[i])
                .count();
    }

    @Override
    public String toString() {
        return Arrays.toString(new double[] {size, messagesPerSecond, bytesPerSecond, protocolMicros});
    }
}
