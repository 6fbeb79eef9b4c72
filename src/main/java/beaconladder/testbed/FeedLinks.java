package beaconladder.testbed;

import beaconladder.testbed.FaultRelay.Weather;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The links between the processes of the feed's scenario, with a fault relay on each that a fault may interrupt.
 * Routers outside the first region connect to relays outside of it directly, as no fault interrupts these links.
 */
final class FeedLinks implements AutoCloseable {
    static final int REGIONS = 4;

    private final SplittableRandom random;
    private final List<InetSocketAddress> relays;
    /** From the first region's routers to each relay; from all others to the first region's relays. */
    private final FaultRelay[] fromFirstRegion;

    private final FaultRelay[] toFirstRegion;
    /** From each real router to each relay. */
    private final FaultRelay[][] fromRealRouters;
    /** From each relay to each lease server. */
    private final FaultRelay[][] toServers;
    /** From each lease server to each other one. */
    private final FaultRelay[][] betweenServers;

    FeedLinks(
            List<InetSocketAddress> relays,
            List<InetSocketAddress> leaseServers,
            int[] raftPorts,
            int realRouters,
            long seed)
            throws IOException {
        this.relays = relays;
        random = new SplittableRandom(seed);
        fromFirstRegion = new FaultRelay[relays.size()];
        toFirstRegion = new FaultRelay[relays.size()];
        fromRealRouters = new FaultRelay[realRouters][relays.size()];
        toServers = new FaultRelay[relays.size()][leaseServers.size()];
        betweenServers = new FaultRelay[leaseServers.size()][leaseServers.size()];
        for (int j = 0; j < relays.size(); j++) {
            fromFirstRegion[j] = startRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relays.get(j));
            if (inFirstRegion(j)) {
                toFirstRegion[j] =
                        startRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relays.get(j));
            }
            for (int i = 0; i < realRouters; i++) {
                fromRealRouters[i][j] =
                        startRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), relays.get(j));
            }
            for (int k = 0; k < leaseServers.size(); k++) {
                toServers[j][k] = FaultRelay.toServer(leaseServers.get(k), random.nextLong());
            }
        }
        for (int i = 0; i < leaseServers.size(); i++) {
            for (int j = 0; j < leaseServers.size(); j++) {
                if (i != j) {
                    betweenServers[i][j] = startRelay(
                            new InetSocketAddress(raftHost(seed, i, j), raftPorts[j]),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), raftPorts[j]));
                }
            }
        }
    }

    private FaultRelay startRelay(InetSocketAddress at, InetSocketAddress to) throws IOException {
        return new FaultRelay(at, to, false, random.nextLong());
    }

    /** Returns the address at which one lease server reaches another. */
    static String raftHost(long seed, int from, int to) {
        return from == to
                ? "127.0.0.1"
                : "127." + (100 + Math.floorMod(seed, 100L)) + "." + (from + 1) + "." + (to + 1);
    }

    static boolean inFirstRegion(int relay) {
        return relay % REGIONS == 0;
    }

    /** Returns the address of each relay as the routers of a region reach it. */
    List<InetSocketAddress> relaysFrom(int region) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int j = 0; j < relays.size(); j++) {
            all.add(region == 0 ? fromFirstRegion[j].at() : inFirstRegion(j) ? toFirstRegion[j].at() : relays.get(j));
        }
        return all;
    }

    List<InetSocketAddress> relaysFromReal(int router) {
        return java.util.Arrays.stream(fromRealRouters[router])
                .map(FaultRelay::at)
                .toList();
    }

    List<InetSocketAddress> serversFrom(int relay) {
        return java.util.Arrays.stream(toServers[relay]).map(FaultRelay::at).toList();
    }

    /** Partitions a relay from the log, or ends the partition. */
    void setRelayCutFromLog(int relay, boolean cut) {
        setCut(toServers[relay], cut);
    }

    void setRealRouterCut(int router, boolean cut) {
        setCut(fromRealRouters[router], cut);
    }

    /** Partitions the first region, or ends the partition; its routers and relays still reach each other. */
    void setFirstRegionCut(boolean cut) {
        for (int j = 0; j < relays.size(); j++) {
            if (inFirstRegion(j)) {
                toFirstRegion[j].hold(cut, cut);
                setCut(toServers[j], cut);
            } else {
                fromFirstRegion[j].hold(cut, cut);
            }
        }
    }

    /** Partitions a lease server from the others, or ends the partition; clients still reach it. */
    void setLeaseServerCut(int server, boolean cut) {
        for (int other = 0; other < betweenServers.length; other++) {
            if (other != server) {
                betweenServers[server][other].hold(cut, cut);
                betweenServers[other][server].hold(cut, cut);
            }
        }
    }

    void setWeather(Weather next) {
        for (FaultRelay[] row : toServers) {
            for (FaultRelay each : row) {
                each.weather(next);
            }
        }
    }

    private static void setCut(FaultRelay[] row, boolean cut) {
        for (FaultRelay each : row) {
            each.hold(cut, cut);
        }
    }

    @Override
    public void close() throws IOException {
        List<FaultRelay[]> rows = new ArrayList<>(List.of(fromRealRouters));
        rows.addAll(List.of(toServers));
        rows.addAll(List.of(betweenServers));
        rows.add(fromFirstRegion);
        rows.add(toFirstRegion);
        for (FaultRelay[] row : rows) {
            for (FaultRelay each : row) {
                if (each != null) {
                    each.close();
                }
            }
        }
    }
}
