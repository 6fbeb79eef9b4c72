package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import beaconladder.discovery.JsonReader;
import beaconladder.testbed.ChildProcesses.Program;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Hosts, discovery, a keeper and routers, started and ready to be asked. */
final class TestDeployment implements AutoCloseable, ClientLoad.Routers {
    private static final String REQUEST_CLASS = """
                {"name":"%s","effect":"%s","goal_time_us":500000,"give_up_us":1000000,"late_share":0.5,\
                "key_ttl_us":5000000,"points":%s}""";
    static final int LEASE_MILLIS = 800;
    static final int FENCE_MILLIS = 4_000;
    private static final int READY_MILLIS = 30_000;

    final HostFleet ground;
    final ChildProcesses programs;
    final Program keeper;
    final List<Program> routers = new ArrayList<>();
    final List<Relay> relays = new ArrayList<>();
    final Path plan;
    private final int keeperPort = ChildProcesses.freePort();
    private final List<Integer> ports = new ArrayList<>();
    private final AtomicLongArray impairedSince;
    private final AtomicLongArray stopped;

    /**
     * Starts all and waits until they serve.
     *
     * @param tenants lines of the plan beside cells and keeper
     * @param membersEach hosts in each group
     */
    TestDeployment(
            Path folder, int cells, int groupsEach, int membersEach, int routerCount, int lagMillis, String tenants)
            throws IOException, InterruptedException {
        ground = new HostFleet(cells * groupsEach, membersEach, lagMillis);
        programs = new ChildProcesses(folder);
        impairedSince = new AtomicLongArray(routerCount);
        stopped = new AtomicLongArray(routerCount);
        StringBuilder text = new StringBuilder();
        for (int cell = 0; cell < cells; cell++) {
            text.append("(cell c").append(cell).append(" (groups");
            for (int slot = 0; slot < groupsEach; slot++) {
                text.append(' ').append(cell * groupsEach + slot);
            }
            text.append("))\n");
        }
        text.append(tenants);
        plan = folder.resolve("keeper.plan");
        Files.writeString(plan, text + keeperAt(keeperPort, folder));
        keeper = programs.program("keeper", null, "cells", "keep", "--plan", plan.toString());
        keeper.start();
        for (int i = 0; i < routerCount; i++) {
            Relay relay = new Relay(keeperPort);
            relays.add(relay);
            Path own = folder.resolve("router" + i + ".plan");
            Files.writeString(own, text + keeperAt(relay.port(), folder));
            int port = ChildProcesses.freePort();
            ports.add(port);
            Program router = programs.program("n" + i, config("n" + i, port), "serve", "--plan", own.toString());
            routers.add(router);
            router.start();
        }
        for (int i = 0; i < routerCount; i++) {
            ready(i);
            impairedSince.set(i, 0);
        }
    }

    private String keeperAt(int port, Path folder) {
        return "(keeper (at 127.0.0.1:" + port + ") (discovery 127.0.0.1:"
                + ground.discovery.port()
                + ") (store \"" + folder.resolve("records") + "\") (lease " + LEASE_MILLIS + "ms) (expiry "
                + ClientLoad.BUDGET_MILLIS + "ms) (copy 8s) (fence " + FENCE_MILLIS + "ms))\n";
    }

    private String config(String name, int port) {
        String types = Stream.of("any", "fresh", "own", "write", "token")
                .map(type -> REQUEST_CLASS.formatted(
                        type,
                        type.equals("write") ? "side_effect" : type.equals("token") ? "token" : "pure",
                        type.equals("write") ? "3" : "1"))
                .collect(Collectors.joining(","));
        String file = """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1f",
                 "limits":{"sockets":1024,"memory_mb":192},"known":{"version":0,"full":true,"servers":[]},
                 "settings":{"family_info":{"freshness":["loose","recent","own_writes","update","update"],
                  "oldest_data_us":[0,%d,0,0,0],"session_marks":"client"},"fees":{"probe":0.069},
                  "limits":{"max_attempts":10,"second_copies":true,"cancel":true,"probes":true,
                   "dial_timeout_us":250000,"conn_idle_us":3000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"parties":[{"name":"t0"}],
                  "round_us":5000,"replicas_of_me":1,"zones":["east"],"request_classes":[%s]}}""";
        return file.formatted(name, port, ground.discovery.port(), ClientLoad.BOUND_MILLIS * 1_000, types);
    }

    /** Waits until a router answers an empty query. */
    void ready(int router) throws InterruptedException {
        long until = System.currentTimeMillis() + READY_MILLIS;
        while (System.currentTimeMillis() < until) {
            try (ClientLoad.Line line = new ClientLoad.Line(ports.get(router), router)) {
                line.send("");
                if (line.answer()) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IllegalStateException(
                "router " + router + " is not ready: " + routers.get(router).log());
    }

    /** A router is in impairedSince from now on until the end of it. */
    void setImpaired(int router, boolean on) {
        stopped.set(router, on ? 1 : 0);
        impairedSince.set(router, System.currentTimeMillis());
    }

    @Override
    public int count() {
        return ports.size();
    }

    @Override
    public int port(int router) {
        return ports.get(router);
    }

    @Override
    public long impairedSinceMillis(int router) {
        return stopped.get(router) == 1 ? Long.MAX_VALUE : impairedSince.get(router);
    }

    /** What the keeper answers to an operator; a refusal is the message of the exception. */
    Map<?, ?> keeper(String path) throws IOException {
        try {
            if (JsonReader.parse(new HttpFetcher(new InetSocketAddress("127.0.0.1", keeperPort), true).get(path, 2_000))
                    instanceof Map<?, ?> answer) {
                if (answer.get("error") != null) {
                    throw new IllegalStateException(String.valueOf(answer.get("error")));
                }
                return answer;
            }
        } catch (JsonReader.ParseException e) {
            throw new IOException(e.getMessage());
        }
        throw new IOException("no answer that can be read");
    }

    /** The state of a tenant's move: of the one under way, or how the last one ended, or none. */
    String state(String tenant) throws IOException {
        Map<?, ?> all = keeper("/v1/cells");
        for (Object each : (List<?>) all.get("moves")) {
            if (((Map<?, ?>) each).get("tenant").equals(tenant)) {
                return String.valueOf(((Map<?, ?>) each).get("state"));
            }
        }
        return ended(all, tenant, "state");
    }

    /** A field of the last move of this tenant that has ended. */
    static String ended(Map<?, ?> all, String tenant, String field) {
        String found = "none";
        for (Object each : (List<?>) all.get("ended")) {
            if (((Map<?, ?>) each).get("tenant").equals(tenant)) {
                found = String.valueOf(((Map<?, ?>) each).get(field));
            }
        }
        return found;
    }

    String cellOf(String tenant) throws IOException {
        return String.valueOf(((Map<?, ?>) keeper("/v1/cells").get("seats")).get(tenant));
    }

    @Override
    public void close() throws IOException {
        programs.close();
        for (Relay relay : relays) {
            relay.close();
        }
        ground.close();
    }
}
