package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import beaconladder.lease.FencingGuard;
import beaconladder.testbed.ChildProcesses.Program;
import beaconladder.testbed.FaultRelay.Weather;
import beaconladder.testbed.SharedStandIn.Act;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The scenario of leases: grantors and holders, each a process of its own, with a relay between every two, under a
 * fault script drawn from the seed; judged by what the shared resources saw.
 */
public final class LeaseScenario {
    /** What may happen. */
    public enum Fault {
        /** The holder is stopped for one and a half times its lease, and goes on. */
        PAUSE_HOLDER,
        /** The holder is killed, and comes back a lease later. */
        KILL_HOLDER,
        /** The holder is killed and comes back at once under the same name. */
        RESTART_HOLDER,
        /** One that has asked and waits is killed, and comes back. */
        KILL_ASKED,
        /** The holder is killed while it has asked for more time and has no answer. */
        KILL_RENEWING,
        /** The holder is killed once it has given the task up for an heir. */
        KILL_RELEASED,
        /** The holder reaches no grantor, nor the other way, but the resources. */
        CUT_HOLDER,
        /** What grantors answer to the holder is held; what it asks comes. */
        MUTE_GRANTORS,
        /** The grantors' leader is stopped. */
        PAUSE_LEADER,
        /** The grantors' leader is killed, and comes back. */
        KILL_LEADER,
        /** The grantors' leader is cut off from the other grantors. */
        CUT_LEADER,
        /** What the leader says to the other grantors is held; what they say comes. */
        MUTE_LEADER,
        /** All clocks are off, by the bound at the most. */
        CLOCKS_WITHIN,
        /** The holder's clock is set back by two leases. */
        CLOCK_BEYOND,
        /** An operator hands the task over. */
        HAND_OVER,
        /** Messages are dropped, delayed, sent twice and overtake each other. */
        FOUL_WEATHER
    }

    private static final String TASK = "warm-up";
    private static final int GRANTORS = 3;
    private static final int HOLDERS = 3;
    private static final long MS = 1_000_000;
    private static final long LENGTH_MILLIS = 1_500;
    private static final long BOUND_MILLIS = 60;
    /** Within a lease, two bounds and two elections somebody must act again once all is mended. */
    private static final long AGAIN_MILLIS = LENGTH_MILLIS + 2 * BOUND_MILLIS + 6_000;

    private static final long READY_MILLIS = 30_000;
    /** A suspicion, its refutation and a round of probes, with all periods at their longest. */
    private static final long TOGETHER_MILLIS = 40_000;

    private final long seed;
    private final SplittableRandom chance;
    private final PrintWriter out;
    private final long unixZero = System.currentTimeMillis() * MS - System.nanoTime();
    private final List<SharedStandIn> resources = new ArrayList<>();
    private final long[] resourceOffsets = new long[2];
    private final List<Program> grantors = new ArrayList<>();
    private final List<Program> holders = new ArrayList<>();
    private final List<InetSocketAddress> doors = new ArrayList<>();
    /** From each holder to each grantor's door and to each resource. */
    private final FaultRelay[][] toServers = new FaultRelay[HOLDERS][GRANTORS];

    private final FaultRelay[][] toResources = new FaultRelay[HOLDERS][2];
    /** From each grantor to each other one. */
    private final FaultRelay[][] between = new FaultRelay[GRANTORS][GRANTORS];
    /** From each process to each other one, grantors first: datagrams of the fleet's membership. */
    private final DatagramRelay[][] gossip = new DatagramRelay[GRANTORS + HOLDERS][GRANTORS + HOLDERS];

    private final int[] gossipPorts = new int[GRANTORS + HOLDERS];
    private final List<String> broken = new ArrayList<>();
    private final Map<Fault, List<Long>> takeovers = new TreeMap<>();
    private Path folder;
    private int ports;
    private boolean beyond;

    public LeaseScenario(long seed, PrintWriter out) {
        this.seed = seed;
        this.chance = new SplittableRandom(seed);
        this.out = out;
    }

    /**
     * Plays it.
     *
     * @param from the faults from which the script is drawn
     * @param count how many of them
     * @return whether every rule held
     */
    public boolean play(List<Fault> from, int count) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("leases");
        long started = System.nanoTime();
        List<Fault> script = Stream.generate(() -> from.get(chance.nextInt(from.size())))
                .limit(count)
                .toList();
        try (ChildProcesses programs = new ChildProcesses(folder)) {
            set(programs);
            try {
                if (!acted(System.nanoTime(), READY_MILLIS, 0)) {
                    broken.add("nobody acts after the start");
                }
                for (Fault fault : script) {
                    if (broken.isEmpty()) {
                        play(fault);
                    }
                }
                if (broken.isEmpty()) {
                    together();
                }
            } finally {
                for (Program holder : holders) {
                    holder.signal("CONT");
                }
                for (FaultRelay[] row : Stream.of(toServers, toResources, between)
                        .flatMap(Stream::of)
                        .toList()) {
                    for (FaultRelay relay : row) {
                        if (relay != null) {
                            relay.close();
                        }
                    }
                }
                for (DatagramRelay[] row : gossip) {
                    for (DatagramRelay relay : row) {
                        if (relay != null) {
                            relay.close();
                        }
                    }
                }
            }
        } finally {
            resources.forEach(SharedStandIn::close);
        }
        List<Act> acts = acts();
        broken.addAll(LeaseChecker.broken(acts, unixZero, BOUND_MILLIS * MS, !beyond));
        broken.forEach(line -> out.println("BROKEN " + line));
        if (!broken.isEmpty()) {
            out.println("logs are in " + folder);
        }
        out.println(figures(script, acts, (System.nanoTime() - started) / MS));
        out.flush();
        return broken.isEmpty();
    }

    private ObjectNode figures(List<Fault> script, List<Act> acts, long millis) {
        ObjectNode all = new ObjectMapper().createObjectNode();
        all.put("rehearsal", "lease")
                .put("seed", seed)
                .put("script", script.stream().map(LeaseScenario::name).collect(Collectors.joining(",")));
        all.put(
                "acts",
                acts.stream()
                        .filter(act -> act.verdict() == FencingGuard.Decision.ADMITTED)
                        .count());
        all.put(
                "refused_lower",
                acts.stream()
                        .filter(act -> act.verdict() == FencingGuard.Decision.STALE_TOKEN)
                        .count());
        all.put(
                "refused_over",
                acts.stream()
                        .filter(act -> act.verdict() == FencingGuard.Decision.EXPIRED)
                        .count());
        all.put("tokens", acts.stream().mapToLong(Act::token).distinct().count());
        ObjectNode times = all.putObject("takeover_ms");
        takeovers.forEach((fault, each) ->
                times.put(name(fault), each.stream().map(String::valueOf).collect(Collectors.joining(","))));
        long sent = 0;
        long bytes = 0;
        for (FaultRelay[] row :
                Stream.of(toServers, between).flatMap(Stream::of).toList()) {
            for (FaultRelay relay : row) {
                sent += relay == null ? 0 : relay.sent.get();
                bytes += relay == null ? 0 : relay.bytes.get();
            }
        }
        all.put("messages_s_process", Math.round(1_000.0 * sent / millis / (GRANTORS + HOLDERS)));
        all.put("bytes_s_process", Math.round(1_000.0 * bytes / millis / (GRANTORS + HOLDERS)));
        all.put("beyond_the_bound", beyond)
                .put("broken", broken.size())
                .put("held", broken.isEmpty())
                .put("seconds", millis / 1_000);
        return all;
    }

    private static String name(Fault fault) {
        return fault.name().toLowerCase(Locale.ROOT);
    }

    // ---- The installation ---------------------------------------------------------------------------------

    /** Below those that the system hands out, so that nobody takes one while its process is down. */
    private int port() {
        return 20_000 + (int) Math.floorMod(seed, 100L) * 100 + ports++;
    }

    private void set(ChildProcesses programs) throws IOException {
        for (int i = 0; i < resourceOffsets.length; i++) {
            int number = i;
            LongSupplier clock = () -> {
                synchronized (resourceOffsets) {
                    return System.nanoTime() + unixZero + resourceOffsets[number];
                }
            };
            resources.add(new SharedStandIn(number, clock));
        }
        for (int i = 0; i < gossipPorts.length; i++) {
            gossipPorts[i] = port();
        }
        int[] raft = new int[GRANTORS];
        for (int i = 0; i < GRANTORS; i++) {
            raft[i] = port();
            doors.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()));
        }
        for (int i = 0; i < GRANTORS; i++) {
            StringBuilder names = names(i);
            for (int j = 0; j < GRANTORS; j++) {
                String at = i == j ? "127.0.0.1" : "127." + (100 + seed % 100) + "." + (i + 1) + "." + (j + 1);
                names.append(at).append(" k").append(j).append('\n');
                between[i][j] = i == j
                        ? null
                        : new FaultRelay(
                                new InetSocketAddress(at, raft[j]),
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), raft[j]),
                                false,
                                chance.nextLong());
            }
            Path hosts = folder.resolve("hosts" + i);
            Files.writeString(hosts, names);
            offset("k" + i, 0);
            grantors.add(programs.program(
                    "k" + i,
                    null,
                    List.of("-Djdk.net.hosts.file=" + hosts),
                    "lease",
                    "grant",
                    "--plan",
                    plan("k" + i, raft, doors),
                    "--name",
                    "k" + i,
                    "--clock",
                    clockFile("k" + i).toString()));
        }
        for (int i = 0; i < HOLDERS; i++) {
            List<InetSocketAddress> mine = new ArrayList<>();
            for (int j = 0; j < GRANTORS; j++) {
                toServers[i][j] = FaultRelay.toServer(doors.get(j), chance.nextLong());
                mine.add(toServers[i][j].at());
            }
            List<String> to = new ArrayList<>();
            for (int j = 0; j < resources.size(); j++) {
                toResources[i][j] = FaultRelay.toServer(resources.get(j).at(), chance.nextLong());
                to.add("127.0.0.1:" + toResources[i][j].at().getPort());
            }
            offset("h" + i, 0);
            Path hosts = folder.resolve("hosts" + (GRANTORS + i));
            Files.writeString(hosts, names(GRANTORS + i));
            holders.add(programs.program(
                    "h" + i,
                    null,
                    List.of("-Djdk.net.hosts.file=" + hosts),
                    "lab",
                    "holder",
                    "--plan",
                    plan("h" + i, raft, mine),
                    "--name",
                    "h" + i,
                    "--task",
                    TASK,
                    "--resources",
                    String.join(",", to),
                    "--clock",
                    clockFile("h" + i).toString(),
                    "--gossip",
                    "g" + (GRANTORS + i) + ":" + gossipPorts[GRANTORS + i]));
        }
        for (Program each : Stream.concat(grantors.stream(), holders.stream()).toList()) {
            each.start();
        }
    }

    /** Each process finds the others under the same names, but at relays of its own. */
    private StringBuilder names(int process) throws IOException {
        StringBuilder names = new StringBuilder(
                "127.0.0.1 localhost\n127.0.0.1 " + InetAddress.getLocalHost().getHostName() + "\n");
        for (int j = 0; j < gossipPorts.length; j++) {
            String at =
                    j == process ? "127.0.0.1" : "127." + (100 + seed % 100) + "." + (100 + process) + "." + (j + 1);
            names.append(at).append(" g").append(j).append('\n');
            gossip[process][j] = j == process
                    ? null
                    : new DatagramRelay(
                            new InetSocketAddress(at, gossipPorts[j]),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), gossipPorts[j]),
                            chance.nextLong());
        }
        return names;
    }

    private String plan(String name, int[] raft, List<InetSocketAddress> at) throws IOException {
        StringBuilder text = new StringBuilder(
                "(leases (length " + LENGTH_MILLIS + "ms) (clock " + BOUND_MILLIS + "ms) (disk 8MB))\n");
        for (int j = 0; j < GRANTORS; j++) {
            text.append("(grantor k")
                    .append(j)
                    .append(" (raft k")
                    .append(j)
                    .append(':')
                    .append(raft[j])
                    .append(") (at 127.0.0.1:")
                    .append(at.get(j).getPort())
                    .append(") (store \"")
                    .append(folder.resolve("log" + j))
                    .append("\") (gossip g")
                    .append(j)
                    .append(':')
                    .append(gossipPorts[j])
                    .append("))\n");
        }
        Path file = folder.resolve(name + ".plan");
        Files.writeString(file, text);
        return file.toString();
    }

    private Path clockFile(String name) {
        return folder.resolve(name + ".clock");
    }

    private void offset(String name, long millis) throws IOException {
        Path beside = folder.resolve(name + ".clock.part");
        Files.writeString(beside, String.valueOf(millis));
        Files.move(beside, clockFile(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    // ---- The script ---------------------------------------------------------------------------------------

    private void play(Fault fault) throws IOException, InterruptedException {
        Act newest = newest();
        int holder = newest == null ? 0 : newest.holder().charAt(1) - '0';
        int leader = leader();
        long from = System.nanoTime();
        long hold = LENGTH_MILLIS * 3 / 2;
        out.printf("%8.3f %s, holder h%d, leader k%d%n", (from + unixZero) / 1e9 % 1_000, name(fault), holder, leader);
        out.flush();
        boolean passesOn = true;
        switch (fault) {
            case PAUSE_HOLDER ->
                during(
                        hold,
                        () -> holders.get(holder).signal("STOP"),
                        () -> holders.get(holder).signal("CONT"));
            case KILL_HOLDER ->
                during(
                        hold,
                        () -> holders.get(holder).kill(),
                        () -> holders.get(holder).start());
            case RESTART_HOLDER -> {
                holders.get(holder).kill();
                holders.get(holder).start();
            }
            case KILL_ASKED -> {
                passesOn = false;
                int other = (holder + 1) % HOLDERS;
                during(
                        hold,
                        () -> holders.get(other).kill(),
                        () -> holders.get(other).start());
            }
            case KILL_RENEWING -> {
                hold(toServers[holder], false, true);
                during(hold, () -> killIn(holder, "renewing"), () -> {
                    hold(toServers[holder], false, false);
                    holders.get(holder).start();
                });
            }
            case KILL_RELEASED -> {
                handOver((holder + 1) % HOLDERS);
                during(
                        hold,
                        () -> killIn(holder, "released"),
                        () -> holders.get(holder).start());
            }
            case CUT_HOLDER ->
                during(hold, () -> hold(toServers[holder], true, true), () -> hold(toServers[holder], false, false));
            case MUTE_GRANTORS -> {
                // What it asked before it stopped may have moved its time on past the end of this.
                passesOn = false;
                during(hold, () -> hold(toServers[holder], false, true), () -> hold(toServers[holder], false, false));
            }
            case PAUSE_LEADER -> {
                passesOn = false;
                during(
                        hold,
                        () -> grantors.get(leader).signal("STOP"),
                        () -> grantors.get(leader).signal("CONT"));
            }
            case KILL_LEADER -> {
                passesOn = false;
                during(
                        hold,
                        () -> grantors.get(leader).kill(),
                        () -> grantors.get(leader).start());
            }
            case CUT_LEADER, MUTE_LEADER -> {
                passesOn = false;
                boolean both = fault == Fault.CUT_LEADER;
                during(hold, () -> part(leader, true, both), () -> part(leader, false, false));
            }
            case CLOCKS_WITHIN -> {
                passesOn = false;
                during(2 * hold, () -> clocks(BOUND_MILLIS), () -> clocks(0));
            }
            case CLOCK_BEYOND -> {
                passesOn = false;
                beyond = true;
                during(hold, () -> offset("h" + holder, -2 * LENGTH_MILLIS), () -> offset("h" + holder, 0));
            }
            case HAND_OVER -> handOver((holder + 1) % HOLDERS);
            default -> {
                passesOn = false;
                during(2 * hold, () -> weather(Weather.FOUL), () -> weather(Weather.FAIR));
            }
        }
        long mended = System.nanoTime();
        if (!acted(
                passesOn ? from : mended,
                AGAIN_MILLIS + (mended - from) / MS,
                passesOn && newest != null ? newest.token() + 1 : 0)) {
            broken.add("nobody acts after " + name(fault));
            return;
        }
        long token = newest == null ? 0 : newest.token();
        acts().stream()
                .filter(act -> act.token() > token && act.verdict() == FencingGuard.Decision.ADMITTED)
                .mapToLong(Act::at)
                .min()
                .ifPresent(at ->
                        takeovers.computeIfAbsent(fault, f -> new ArrayList<>()).add((at - from) / MS));
    }

    /** What may throw. */
    private interface Deed {
        void run() throws IOException, InterruptedException;
    }

    private static void during(long millis, Deed begin, Deed end) throws IOException, InterruptedException {
        begin.run();
        Thread.sleep(millis);
        end.run();
    }

    private static void hold(FaultRelay[] relays, boolean there, boolean back) {
        for (FaultRelay relay : relays) {
            relay.hold(there, back);
        }
    }

    /** Holds what a grantor says to the others, and, if both ways, what they say to it. */
    private void part(int grantor, boolean on, boolean both) {
        for (int other = 0; other < GRANTORS; other++) {
            if (other != grantor) {
                between[grantor][other].hold(on, on && both);
                between[other][grantor].hold(on && both, on);
            }
        }
    }

    private void clocks(long most) throws IOException {
        for (int i = 0; i < GRANTORS; i++) {
            offset("k" + i, draw(most));
        }
        for (int i = 0; i < HOLDERS; i++) {
            offset("h" + i, draw(most));
        }
        synchronized (resourceOffsets) {
            for (int i = 0; i < resourceOffsets.length; i++) {
                resourceOffsets[i] = draw(most) * MS;
            }
        }
    }

    private long draw(long most) {
        return most == 0 ? 0 : chance.nextLong(2 * most + 1) - most;
    }

    private void weather(Weather next) {
        for (FaultRelay[] row :
                Stream.of(toServers, toResources).flatMap(Stream::of).toList()) {
            for (FaultRelay relay : row) {
                relay.weather(next);
            }
        }
        for (DatagramRelay[] row : gossip) {
            for (DatagramRelay relay : row) {
                if (relay != null) {
                    relay.weather(next);
                }
            }
        }
    }

    /** Kills a holder as soon as its log says that it is in this state; a lease later in any case. */
    private void killIn(int holder, String state) throws InterruptedException {
        long until = System.nanoTime() + LENGTH_MILLIS * MS;
        String last = "";
        while (!last.contains(" is " + state) && System.nanoTime() < until) {
            Thread.sleep(2);
            String[] lines = holders.get(holder).log().split("\n");
            last = lines[lines.length - 1];
        }
        holders.get(holder).kill();
    }

    /** Once all is mended, each grantor has to find all processes in the fleet again. */
    private void together() throws IOException, InterruptedException {
        long until = System.nanoTime() + TOGETHER_MILLIS * MS;
        for (InetSocketAddress door : doors) {
            String view = "";
            for (int there = 0; there < gossipPorts.length; ) {
                if (System.nanoTime() > until) {
                    broken.add("not all are in the fleet again: " + view);
                    return;
                }
                Thread.sleep(50);
                HttpFetcher http = new HttpFetcher(door);
                try {
                    view = http.get("/v1/members", 2_000);
                    there = view.split("\"name\"").length - 1;
                } catch (IOException e) {
                    // It has just been started again.
                    view = e.toString();
                } finally {
                    http.close();
                }
            }
        }
    }

    private void handOver(int to) throws IOException {
        String ask = "{\"kind\":\"HAND_OVER\",\"task\":\"" + TASK
                + "\",\"holder\":\"\",\"number\":0,\"token\":0,"
                + "\"length\":" + LENGTH_MILLIS * MS + ",\"heir\":\"h" + to + "\"}";
        get("/v1/lease?ask=" + java.net.URLEncoder.encode(ask, java.nio.charset.StandardCharsets.UTF_8));
    }

    /** What a grantor answers to the laboratory itself, past all relays. */
    private String get(String path) throws IOException {
        IOException last = new IOException("no grantor");
        for (InetSocketAddress door : doors) {
            HttpFetcher http = new HttpFetcher(door);
            try {
                return http.get(path, 2_000);
            } catch (IOException e) {
                last = e;
            } finally {
                http.close();
            }
        }
        throw last;
    }

    private int leader() throws IOException {
        String text = get("/v1/leader").replaceAll(".*\"k?([0-9]*)\"}", "$1");
        return text.isEmpty() ? 0 : Integer.parseInt(text);
    }

    private List<Act> acts() {
        return resources.stream().flatMap(each -> each.acts().stream()).toList();
    }

    private Act newest() {
        return acts().stream()
                .filter(act -> act.verdict() == FencingGuard.Decision.ADMITTED)
                .max((a, b) -> Long.compare(a.token(), b.token()))
                .orElse(null);
    }

    /** Waits until an act is done, since then and under this token or a higher one. */
    private boolean acted(long since, long millis, long token) throws InterruptedException {
        long until = since + millis * MS;
        while (System.nanoTime() < until) {
            if (acts().stream()
                    .anyMatch(act -> act.verdict() == FencingGuard.Decision.ADMITTED
                            && act.at() >= since
                            && act.token() >= token)) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }
}
