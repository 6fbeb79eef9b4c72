package beaconladder.testbed;

import beaconladder.testbed.FaultRelay.Weather;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The ways between the processes of the feed's scenario, each with a fault relay on it where a script may cut it.
 * Routers outside the first region go straight to relays outside of it: no script cuts these.
 */
final class FeedLinks implements AutoCloseable {
    static final int REGIONS = 4;

    private final SplittableRandom chance;
    private final List<InetSocketAddress> relays;
    /** From the first region's routers to each relay; from all others to the first region's relays. */
    private final FaultRelay[] fromFirst;

    private final FaultRelay[] intoFirst;
    /** From each real router to each relay. */
    private final FaultRelay[][] fromReal;
    /** From each relay to each grantor's door. */
    private final FaultRelay[][] toServers;
    /** From each grantor to each other one. */
    private final FaultRelay[][] between;

    FeedLinks(List<InetSocketAddress> relays, List<InetSocketAddress> doors, int[] raft, int real, long seed)
            throws IOException {
        this.relays = relays;
        chance = new SplittableRandom(seed);
        fromFirst = new FaultRelay[relays.size()];
        intoFirst = new FaultRelay[relays.size()];
        fromReal = new FaultRelay[real][relays.size()];
        toServers = new FaultRelay[relays.size()][doors.size()];
        between = new FaultRelay[doors.size()][doors.size()];
        for (int j = 0; j < relays.size(); j++) {
            fromFirst[j] = joined(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relays.get(j));
            if (inFirst(j)) {
                intoFirst[j] = joined(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relays.get(j));
            }
            for (int i = 0; i < real; i++) {
                fromReal[i][j] = joined(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relays.get(j));
            }
            for (int k = 0; k < doors.size(); k++) {
                toServers[j][k] = FaultRelay.toServer(doors.get(k), chance.nextLong());
            }
        }
        for (int i = 0; i < doors.size(); i++) {
            for (int j = 0; j < doors.size(); j++) {
                if (i != j) {
                    between[i][j] = joined(
                            new InetSocketAddress(raftHost(seed, i, j), raft[j]),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), raft[j]));
                }
            }
        }
    }

    private FaultRelay joined(InetSocketAddress at, InetSocketAddress to) throws IOException {
        return new FaultRelay(at, to, false, chance.nextLong());
    }

    /** Where one grantor finds another. */
    static String raftHost(long seed, int from, int to) {
        return from == to
                ? "127.0.0.1"
                : "127." + (100 + Math.floorMod(seed, 100L)) + "." + (from + 1) + "." + (to + 1);
    }

    static boolean inFirst(int relay) {
        return relay % REGIONS == 0;
    }

    /** Each relay as the routers of a region find it. */
    List<InetSocketAddress> relaysFrom(int region) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int j = 0; j < relays.size(); j++) {
            all.add(region == 0 ? fromFirst[j].at() : inFirst(j) ? intoFirst[j].at() : relays.get(j));
        }
        return all;
    }

    List<InetSocketAddress> relaysFromReal(int router) {
        return java.util.Arrays.stream(fromReal[router]).map(FaultRelay::at).toList();
    }

    List<InetSocketAddress> serversFrom(int relay) {
        return java.util.Arrays.stream(toServers[relay]).map(FaultRelay::at).toList();
    }

    /** Cuts a relay off from the log, or mends that. */
    void relayFromLog(int relay, boolean cut) {
        hold(toServers[relay], cut);
    }

    void realFromRelays(int router, boolean cut) {
        hold(fromReal[router], cut);
    }

    /** Cuts the first region off, or mends that: its routers and relays still reach each other. */
    void firstRegion(boolean cut) {
        for (int j = 0; j < relays.size(); j++) {
            if (inFirst(j)) {
                intoFirst[j].hold(cut, cut);
                hold(toServers[j], cut);
            } else {
                fromFirst[j].hold(cut, cut);
            }
        }
    }

    /** Cuts a grantor off from the others, or mends that; who asks still reaches it. */
    void grantor(int grantor, boolean cut) {
        for (int other = 0; other < between.length; other++) {
            if (other != grantor) {
                between[grantor][other].hold(cut, cut);
                between[other][grantor].hold(cut, cut);
            }
        }
    }

    void weather(Weather next) {
        for (FaultRelay[] row : toServers) {
            for (FaultRelay each : row) {
                each.weather(next);
            }
        }
    }

    private static void hold(FaultRelay[] row, boolean cut) {
        for (FaultRelay each : row) {
            each.hold(cut, cut);
        }
    }

    @Override
    public void close() throws IOException {
        List<FaultRelay[]> rows = new ArrayList<>(List.of(fromReal));
        rows.addAll(List.of(toServers));
        rows.addAll(List.of(between));
        rows.add(fromFirst);
        rows.add(intoFirst);
        for (FaultRelay[] row : rows) {
            for (FaultRelay each : row) {
                if (each != null) {
                    each.close();
                }
            }
        }
    }
}
