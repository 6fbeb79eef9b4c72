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
 * Runs lease servers and holders, each in its own process, with a relay between every two, under a fault script drawn
 * from the seed, and checks the acts that the shared resources recorded.
 */
public final class LeaseScenario {
    /** Faults that the scenario can inject. */
    public enum Fault {
        /** The holder is paused for one and a half times the lease duration. */
        PAUSE_HOLDER,
        /** The holder is killed, and restarted after one and a half times the lease duration. */
        KILL_HOLDER,
        /** The holder is killed, and restarted at once under the same name. */
        RESTART_HOLDER,
        /** A process waiting for the lease is killed, and restarted. */
        KILL_ASKED,
        /** The holder is killed while its renewal is unanswered. */
        KILL_RENEWING,
        /** The holder is killed after it released the lease in a handover. */
        KILL_RELEASED,
        /** The holder is partitioned from the lease servers, but not from the resources. */
        CUT_HOLDER,
        /** Responses of the lease servers to the holder are held back; its requests arrive. */
        MUTE_GRANTORS,
        /** The lease servers' leader is paused. */
        PAUSE_LEADER,
        /** The lease servers' leader is killed, and restarted. */
        KILL_LEADER,
        /** The lease servers' leader is partitioned from the other lease servers. */
        CUT_LEADER,
        /** Messages of the leader to the other lease servers are held back; theirs arrive. */
        MUTE_LEADER,
        /** All clocks deviate, each by at most the bound. */
        CLOCKS_WITHIN,
        /** The holder's clock is set back by two lease durations, which is beyond the bound. */
        CLOCK_BEYOND,
        /** An operator hands the task over to another process. */
        HAND_OVER,
        /** Messages are dropped, delayed, duplicated and reordered. */
        FOUL_WEATHER
    }

    private static final String TASK = "warm-up";
    private static final int LEASE_SERVERS = 3;
    private static final int HOLDERS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LEASE_MILLIS = 1_500;
    private static final long MAX_CLOCK_ERROR_MILLIS = 60;
    /** Once a fault is repaired, a holder must act within a lease, two clock bounds and two elections (6 s). */
    private static final long RECOVERY_TIMEOUT_MILLIS = LEASE_MILLIS + 2 * MAX_CLOCK_ERROR_MILLIS + 6_000;

    private static final long START_TIMEOUT_MILLIS = 30_000;
    /** A suspicion, its refutation and a round of probes, each with its longest period. */
    private static final long MEMBERSHIP_TIMEOUT_MILLIS = 40_000;

    private final long seed;
    private final SplittableRandom random;
    private final PrintWriter out;
    private final long unixOffsetNanos = System.currentTimeMillis() * NANOS_PER_MILLI - System.nanoTime();
    private final List<SharedStandIn> resources = new ArrayList<>();
    private final long[] resourceOffsetsNanos = new long[2];
    private final List<Program> leaseServers = new ArrayList<>();
    private final List<Program> holders = new ArrayList<>();
    private final List<InetSocketAddress> clientAddresses = new ArrayList<>();
    /** From each holder to each lease server and to each resource. */
    private final FaultRelay[][] toServers = new FaultRelay[HOLDERS][LEASE_SERVERS];

    private final FaultRelay[][] toResources = new FaultRelay[HOLDERS][2];
    /** From each lease server to each other one. */
    private final FaultRelay[][] betweenServers = new FaultRelay[LEASE_SERVERS][LEASE_SERVERS];
    /** From each process to each other one, lease servers first: datagrams of the membership protocol. */
    private final DatagramRelay[][] gossipRelays = new DatagramRelay[LEASE_SERVERS + HOLDERS][LEASE_SERVERS + HOLDERS];

    private final int[] gossipPorts = new int[LEASE_SERVERS + HOLDERS];
    private final List<String> violations = new ArrayList<>();
    private final Map<Fault, List<Long>> takeoverMillis = new TreeMap<>();
    private Path folder;
    private int allocatedPorts;
    private boolean clockBeyondBound;

    public LeaseScenario(long seed, PrintWriter out) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.out = out;
    }

    /**
     * Runs the scenario and prints the violations and figures.
     *
     * @param faults the faults from which the script is drawn
     * @param count the number of faults in the script
     * @return whether there was no violation
     */
    public boolean run(List<Fault> faults, int count) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("leases");
        long startedNanos = System.nanoTime();
        List<Fault> script = Stream.generate(() -> faults.get(random.nextInt(faults.size())))
                .limit(count)
                .toList();
        try (ChildProcesses programs = new ChildProcesses(folder)) {
            createProcesses(programs);
            try {
                if (!awaitAct(System.nanoTime(), START_TIMEOUT_MILLIS, 0)) {
                    violations.add("no holder acts after the start");
                }
                for (Fault fault : script) {
                    if (violations.isEmpty()) {
                        inject(fault);
                    }
                }
                if (violations.isEmpty()) {
                    awaitFullMembership();
                }
            } finally {
                for (Program holder : holders) {
                    holder.signal("CONT");
                }
                for (FaultRelay[] row : Stream.of(toServers, toResources, betweenServers)
                        .flatMap(Stream::of)
                        .toList()) {
                    for (FaultRelay relay : row) {
                        if (relay != null) {
                            relay.close();
                        }
                    }
                }
                for (DatagramRelay[] row : gossipRelays) {
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
        violations.addAll(LeaseChecker.findViolations(
                acts, unixOffsetNanos, MAX_CLOCK_ERROR_MILLIS * NANOS_PER_MILLI, !clockBeyondBound));
        violations.forEach(line -> out.println("BROKEN " + line));
        if (!violations.isEmpty()) {
            out.println("logs are in " + folder);
        }
        out.println(figures(script, acts, (System.nanoTime() - startedNanos) / NANOS_PER_MILLI));
        out.flush();
        return violations.isEmpty();
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
        takeoverMillis.forEach((fault, each) ->
                times.put(name(fault), each.stream().map(String::valueOf).collect(Collectors.joining(","))));
        long sent = 0;
        long bytes = 0;
        for (FaultRelay[] row :
                Stream.of(toServers, betweenServers).flatMap(Stream::of).toList()) {
            for (FaultRelay relay : row) {
                sent += relay == null ? 0 : relay.sent.get();
                bytes += relay == null ? 0 : relay.bytes.get();
            }
        }
        all.put("messages_s_process", Math.round(1_000.0 * sent / millis / (LEASE_SERVERS + HOLDERS)));
        all.put("bytes_s_process", Math.round(1_000.0 * bytes / millis / (LEASE_SERVERS + HOLDERS)));
        all.put("beyond_the_bound", clockBeyondBound)
                .put("broken", violations.size())
                .put("held", violations.isEmpty())
                .put("seconds", millis / 1_000);
        return all;
    }

    private static String name(Fault fault) {
        return fault.name().toLowerCase(Locale.ROOT);
    }

    // ---- The processes ------------------------------------------------------------------------------------

    /** Returns a port below the ephemeral range, so that none is taken while its process is down. */
    private int allocatePort() {
        return 20_000 + (int) Math.floorMod(seed, 100L) * 100 + allocatedPorts++;
    }

    private void createProcesses(ChildProcesses programs) throws IOException {
        for (int i = 0; i < resourceOffsetsNanos.length; i++) {
            int number = i;
            LongSupplier clock = () -> {
                synchronized (resourceOffsetsNanos) {
                    return System.nanoTime() + unixOffsetNanos + resourceOffsetsNanos[number];
                }
            };
            resources.add(new SharedStandIn(number, clock));
        }
        for (int i = 0; i < gossipPorts.length; i++) {
            gossipPorts[i] = allocatePort();
        }
        int[] raft = new int[LEASE_SERVERS];
        for (int i = 0; i < LEASE_SERVERS; i++) {
            raft[i] = allocatePort();
            clientAddresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), allocatePort()));
        }
        for (int i = 0; i < LEASE_SERVERS; i++) {
            StringBuilder names = hostsFile(i);
            for (int j = 0; j < LEASE_SERVERS; j++) {
                String at = i == j ? "127.0.0.1" : "127." + (100 + seed % 100) + "." + (i + 1) + "." + (j + 1);
                names.append(at).append(" k").append(j).append('\n');
                betweenServers[i][j] = i == j
                        ? null
                        : new FaultRelay(
                                new InetSocketAddress(at, raft[j]),
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), raft[j]),
                                false,
                                random.nextLong());
            }
            Path hosts = folder.resolve("hosts" + i);
            Files.writeString(hosts, names);
            writeClockOffset("k" + i, 0);
            leaseServers.add(programs.program(
                    "k" + i,
                    null,
                    List.of("-Djdk.net.hosts.file=" + hosts),
                    "lease",
                    "grant",
                    "--plan",
                    writePlan("k" + i, raft, clientAddresses),
                    "--name",
                    "k" + i,
                    "--clock",
                    clockFile("k" + i).toString()));
        }
        for (int i = 0; i < HOLDERS; i++) {
            List<InetSocketAddress> relayAddresses = new ArrayList<>();
            for (int j = 0; j < LEASE_SERVERS; j++) {
                toServers[i][j] = FaultRelay.toServer(clientAddresses.get(j), random.nextLong());
                relayAddresses.add(toServers[i][j].at());
            }
            List<String> resourceAddresses = new ArrayList<>();
            for (int j = 0; j < resources.size(); j++) {
                toResources[i][j] = FaultRelay.toServer(resources.get(j).at(), random.nextLong());
                resourceAddresses.add("127.0.0.1:" + toResources[i][j].at().getPort());
            }
            writeClockOffset("h" + i, 0);
            Path hosts = folder.resolve("hosts" + (LEASE_SERVERS + i));
            Files.writeString(hosts, hostsFile(LEASE_SERVERS + i));
            holders.add(programs.program(
                    "h" + i,
                    null,
                    List.of("-Djdk.net.hosts.file=" + hosts),
                    "lab",
                    "holder",
                    "--plan",
                    writePlan("h" + i, raft, relayAddresses),
                    "--name",
                    "h" + i,
                    "--task",
                    TASK,
                    "--resources",
                    String.join(",", resourceAddresses),
                    "--clock",
                    clockFile("h" + i).toString(),
                    "--gossip",
                    "g" + (LEASE_SERVERS + i) + ":" + gossipPorts[LEASE_SERVERS + i]));
        }
        for (Program each :
                Stream.concat(leaseServers.stream(), holders.stream()).toList()) {
            each.start();
        }
    }

    /** Starts the gossip relays of a process and returns its hosts file, which maps the other names to them. */
    private StringBuilder hostsFile(int process) throws IOException {
        StringBuilder names = new StringBuilder(
                "127.0.0.1 localhost\n127.0.0.1 " + InetAddress.getLocalHost().getHostName() + "\n");
        for (int j = 0; j < gossipPorts.length; j++) {
            String at =
                    j == process ? "127.0.0.1" : "127." + (100 + seed % 100) + "." + (100 + process) + "." + (j + 1);
            names.append(at).append(" g").append(j).append('\n');
            gossipRelays[process][j] = j == process
                    ? null
                    : new DatagramRelay(
                            new InetSocketAddress(at, gossipPorts[j]),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), gossipPorts[j]),
                            random.nextLong());
        }
        return names;
    }

    private String writePlan(String name, int[] raft, List<InetSocketAddress> addresses) throws IOException {
        StringBuilder text = new StringBuilder(
                "(leases (length " + LEASE_MILLIS + "ms) (clock " + MAX_CLOCK_ERROR_MILLIS + "ms) (disk 8MB))\n");
        for (int j = 0; j < LEASE_SERVERS; j++) {
            text.append("(grantor k")
                    .append(j)
                    .append(" (raft k")
                    .append(j)
                    .append(':')
                    .append(raft[j])
                    .append(") (at 127.0.0.1:")
                    .append(addresses.get(j).getPort())
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

    private void writeClockOffset(String name, long millis) throws IOException {
        Path temporary = folder.resolve(name + ".clock.part");
        Files.writeString(temporary, String.valueOf(millis));
        Files.move(temporary, clockFile(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    // ---- The script ---------------------------------------------------------------------------------------

    private void inject(Fault fault) throws IOException, InterruptedException {
        Act newestAct = newestAct();
        int holder = newestAct == null ? 0 : newestAct.holder().charAt(1) - '0';
        int leader = leader();
        long startNanos = System.nanoTime();
        long holdMillis = LEASE_MILLIS * 3 / 2;
        out.printf(
                "%8.3f %s, holder h%d, leader k%d%n",
                (startNanos + unixOffsetNanos) / 1e9 % 1_000, name(fault), holder, leader);
        out.flush();
        boolean expectsNewToken = true;
        switch (fault) {
            case PAUSE_HOLDER ->
                during(
                        holdMillis,
                        () -> holders.get(holder).signal("STOP"),
                        () -> holders.get(holder).signal("CONT"));
            case KILL_HOLDER ->
                during(
                        holdMillis,
                        () -> holders.get(holder).kill(),
                        () -> holders.get(holder).start());
            case RESTART_HOLDER -> {
                holders.get(holder).kill();
                holders.get(holder).start();
            }
            case KILL_ASKED -> {
                expectsNewToken = false;
                int other = (holder + 1) % HOLDERS;
                during(
                        holdMillis,
                        () -> holders.get(other).kill(),
                        () -> holders.get(other).start());
            }
            case KILL_RENEWING -> {
                hold(toServers[holder], false, true);
                during(holdMillis, () -> killInState(holder, "renewing"), () -> {
                    hold(toServers[holder], false, false);
                    holders.get(holder).start();
                });
            }
            case KILL_RELEASED -> {
                handOver((holder + 1) % HOLDERS);
                during(
                        holdMillis,
                        () -> killInState(holder, "released"),
                        () -> holders.get(holder).start());
            }
            case CUT_HOLDER ->
                during(
                        holdMillis,
                        () -> hold(toServers[holder], true, true),
                        () -> hold(toServers[holder], false, false));
            case MUTE_GRANTORS -> {
                // A renewal sent before the fault may have extended the lease beyond its end.
                expectsNewToken = false;
                during(
                        holdMillis,
                        () -> hold(toServers[holder], false, true),
                        () -> hold(toServers[holder], false, false));
            }
            case PAUSE_LEADER -> {
                expectsNewToken = false;
                during(
                        holdMillis,
                        () -> leaseServers.get(leader).signal("STOP"),
                        () -> leaseServers.get(leader).signal("CONT"));
            }
            case KILL_LEADER -> {
                expectsNewToken = false;
                during(
                        holdMillis,
                        () -> leaseServers.get(leader).kill(),
                        () -> leaseServers.get(leader).start());
            }
            case CUT_LEADER, MUTE_LEADER -> {
                expectsNewToken = false;
                boolean both = fault == Fault.CUT_LEADER;
                during(holdMillis, () -> partition(leader, true, both), () -> partition(leader, false, false));
            }
            case CLOCKS_WITHIN -> {
                expectsNewToken = false;
                during(2 * holdMillis, () -> setClockOffsets(MAX_CLOCK_ERROR_MILLIS), () -> setClockOffsets(0));
            }
            case CLOCK_BEYOND -> {
                expectsNewToken = false;
                clockBeyondBound = true;
                during(
                        holdMillis,
                        () -> writeClockOffset("h" + holder, -2 * LEASE_MILLIS),
                        () -> writeClockOffset("h" + holder, 0));
            }
            case HAND_OVER -> handOver((holder + 1) % HOLDERS);
            default -> {
                expectsNewToken = false;
                during(2 * holdMillis, () -> setWeather(Weather.FOUL), () -> setWeather(Weather.FAIR));
            }
        }
        long repairedNanos = System.nanoTime();
        if (!awaitAct(
                expectsNewToken ? startNanos : repairedNanos,
                RECOVERY_TIMEOUT_MILLIS + (repairedNanos - startNanos) / NANOS_PER_MILLI,
                expectsNewToken && newestAct != null ? newestAct.token() + 1 : 0)) {
            violations.add("no holder acts after " + name(fault));
            return;
        }
        long token = newestAct == null ? 0 : newestAct.token();
        acts().stream()
                .filter(act -> act.token() > token && act.verdict() == FencingGuard.Decision.ADMITTED)
                .mapToLong(Act::at)
                .min()
                .ifPresent(atNanos -> takeoverMillis
                        .computeIfAbsent(fault, f -> new ArrayList<>())
                        .add((atNanos - startNanos) / NANOS_PER_MILLI));
    }

    /** An action that may throw. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private static void during(long millis, Action begin, Action end) throws IOException, InterruptedException {
        begin.run();
        Thread.sleep(millis);
        end.run();
    }

    private static void hold(FaultRelay[] relays, boolean there, boolean back) {
        for (FaultRelay relay : relays) {
            relay.hold(there, back);
        }
    }

    /** Holds back messages from a lease server to the others and, if {@code both}, those from the others to it. */
    private void partition(int server, boolean on, boolean both) {
        for (int other = 0; other < LEASE_SERVERS; other++) {
            if (other != server) {
                betweenServers[server][other].hold(on, on && both);
                betweenServers[other][server].hold(on && both, on);
            }
        }
    }

    private void setClockOffsets(long maxMillis) throws IOException {
        for (int i = 0; i < LEASE_SERVERS; i++) {
            writeClockOffset("k" + i, randomOffsetMillis(maxMillis));
        }
        for (int i = 0; i < HOLDERS; i++) {
            writeClockOffset("h" + i, randomOffsetMillis(maxMillis));
        }
        synchronized (resourceOffsetsNanos) {
            for (int i = 0; i < resourceOffsetsNanos.length; i++) {
                resourceOffsetsNanos[i] = randomOffsetMillis(maxMillis) * NANOS_PER_MILLI;
            }
        }
    }

    private long randomOffsetMillis(long maxMillis) {
        return maxMillis == 0 ? 0 : random.nextLong(2 * maxMillis + 1) - maxMillis;
    }

    private void setWeather(Weather next) {
        for (FaultRelay[] row :
                Stream.of(toServers, toResources).flatMap(Stream::of).toList()) {
            for (FaultRelay relay : row) {
                relay.weather(next);
            }
        }
        for (DatagramRelay[] row : gossipRelays) {
            for (DatagramRelay relay : row) {
                if (relay != null) {
                    relay.weather(next);
                }
            }
        }
    }

    /** Kills a holder once the last line of its log shows this state, or after a lease duration in any case. */
    private void killInState(int holder, String state) throws InterruptedException {
        long untilNanos = System.nanoTime() + LEASE_MILLIS * NANOS_PER_MILLI;
        String last = "";
        while (!last.contains(" is " + state) && System.nanoTime() < untilNanos) {
            Thread.sleep(2);
            String[] lines = holders.get(holder).log().split("\n");
            last = lines[lines.length - 1];
        }
        holders.get(holder).kill();
    }

    /** Waits until each lease server lists all processes as members again. */
    private void awaitFullMembership() throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + MEMBERSHIP_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        for (InetSocketAddress address : clientAddresses) {
            String view = "";
            for (int memberCount = 0; memberCount < gossipPorts.length; ) {
                if (System.nanoTime() > untilNanos) {
                    violations.add("a membership view is incomplete after the faults: " + view);
                    return;
                }
                Thread.sleep(50);
                HttpFetcher http = new HttpFetcher(address);
                try {
                    view = http.get("/v1/members", 2_000);
                    memberCount = view.split("\"name\"").length - 1;
                } catch (IOException e) {
                    // The lease server may still be starting.
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
                + "\"length\":" + LEASE_MILLIS * NANOS_PER_MILLI + ",\"heir\":\"h" + to + "\"}";
        get("/v1/lease?ask=" + java.net.URLEncoder.encode(ask, java.nio.charset.StandardCharsets.UTF_8));
    }

    /** Returns the response of the first lease server that answers, bypassing all relays. */
    private String get(String path) throws IOException {
        IOException last = new IOException("no lease server");
        for (InetSocketAddress address : clientAddresses) {
            HttpFetcher http = new HttpFetcher(address);
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

    private Act newestAct() {
        return acts().stream()
                .filter(act -> act.verdict() == FencingGuard.Decision.ADMITTED)
                .max((a, b) -> Long.compare(a.token(), b.token()))
                .orElse(null);
    }

    /** Waits until an act is admitted at or after {@code sinceNanos} with at least this token. */
    private boolean awaitAct(long sinceNanos, long millis, long token) throws InterruptedException {
        long untilNanos = sinceNanos + millis * NANOS_PER_MILLI;
        while (System.nanoTime() < untilNanos) {
            if (acts().stream()
                    .anyMatch(act -> act.verdict() == FencingGuard.Decision.ADMITTED
                            && act.at() >= sinceNanos
                            && act.token() >= token)) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }
}
