package beaconladder.testbed.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * What a hollow fleet of this size does in a script: rest, six deaths, a ninth at once, pauses.
 *
 * @param messages a second a member, at rest
 * @param bytes a second a member, at rest
 * @param cost microseconds a second a member spent in its own class, at rest
 * @param known milliseconds from a death to its being known, for each of the others
 * @param zone the same, of a ninth that died at once
 * @param zoneBytes a second a member, while that ninth is found
 * @param buried living ones that some other one held for dead, of a twentieth that was paused together
 * @param paused how many were
 * @param buriedFew the same of a few alone
 */
record FleetMeasurement(
        int size,
        double messages,
        double bytes,
        double cost,
        Histogram known,
        Histogram zone,
        double zoneBytes,
        int buried,
        int paused,
        int buriedFew) {
    private static final long SECOND = 1_000 * SimulatedFleet.MS;
    private static final long STEP = 100 * SimulatedFleet.MS;
    private static final int ZONES = 9;
    private static final int DEATHS = 6;
    /** A pause of a JVM on a full machine. */
    private static final long SHORTEST = 2 * SECOND;

    private static final long LONGEST = 6 * SECOND;
    /** One in so many is paused. */
    private static final int PAUSED = 20;
    /** Some two dozen machines fail a day: two at once are many. */
    private static final int FEW = 2;

    private static final long PATIENCE = 180 * SECOND;

    static FleetMeasurement of(int size, SplittableRandom chance) {
        SimulatedFleet fleet = new SimulatedFleet(size, chance.split());
        fleet.run(3 * SECOND);
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        long inside = fleet.inside();
        long rest = 6 * SECOND;
        fleet.run(rest);
        double member = size * (rest / (double) SECOND);
        double messagesRest = (fleet.messages() - messages) / member;
        double bytesRest = (fleet.bytes() - bytes) / member;
        double cost = (fleet.inside() - inside) / 1e3 / member;
        Histogram known = die(
                fleet,
                chance.ints(DEATHS * 4, 0, size)
                        .distinct()
                        .limit(DEATHS)
                        .boxed()
                        .toList());
        int buriedFew = pause(fleet, size / FEW, chance);
        int buried = pause(fleet, PAUSED, chance);
        bytes = fleet.bytes();
        long from = fleet.now();
        Histogram zone = die(
                fleet,
                IntStream.range(0, size)
                        .filter(i -> i % ZONES == 0 && !fleet.dead(i))
                        .boxed()
                        .toList());
        double zoneSeconds = Math.max(1, (fleet.now() - from) / (double) SECOND);
        return new FleetMeasurement(
                size,
                messagesRest,
                bytesRest,
                cost,
                known,
                zone,
                (fleet.bytes() - bytes) / zoneSeconds / size,
                buried,
                size / PAUSED,
                buriedFew);
    }

    /** Pauses one in so many for some seconds; how many living ones somebody holds for dead behind it. */
    private static int pause(SimulatedFleet fleet, int every, SplittableRandom chance) {
        for (int member = 1; member < fleet.size(); member += every) {
            if (!fleet.dead(member)) {
                fleet.pause(member, chance.nextLong(SHORTEST, LONGEST));
            }
        }
        fleet.run(LONGEST + 4 * SECOND);
        int buried = buried(fleet);
        fleet.run(20 * SECOND);
        return buried;
    }

    /** Kills these and waits until all others know it. */
    private static Histogram die(SimulatedFleet fleet, List<Integer> members) {
        members.forEach(fleet::kill);
        long from = fleet.now();
        Histogram known = new Histogram(3);
        boolean[][] seen = new boolean[members.size()][fleet.size()];
        long left = (long) members.size()
                * IntStream.range(0, fleet.size()).filter(i -> !fleet.dead(i)).count();
        while (left > 0 && fleet.now() - from < PATIENCE) {
            fleet.run(STEP);
            for (int i = 0; i < members.size(); i++) {
                for (int observer = 0; observer < fleet.size(); observer++) {
                    if (!seen[i][observer] && !fleet.dead(observer) && fleet.buries(observer, members.get(i))) {
                        seen[i][observer] = true;
                        known.recordValue((fleet.now() - from) / SimulatedFleet.MS);
                        left--;
                    }
                }
            }
        }
        // Who has not heard of it counts as long as was waited.
        if (left > 0) {
            known.recordValueWithCount(PATIENCE / SimulatedFleet.MS, left);
        }
        return known;
    }

    /** How many living ones some other living one holds for dead. */
    private static int buried(SimulatedFleet fleet) {
        boolean[] held = new boolean[fleet.size()];
        List<Integer> living = new ArrayList<>();
        for (int i = 0; i < fleet.size(); i++) {
            if (!fleet.dead(i)) {
                living.add(i);
            }
        }
        for (int observer : living) {
            for (int member : living) {
                held[member] |= observer != member && fleet.buries(observer, member);
            }
        }
        return (int) IntStream.range(0, held.length).filter(i -> held[i]).count();
    }

    @Override
    public String toString() {
        return Arrays.toString(new double[] {size, messages, bytes, cost});
    }
}
