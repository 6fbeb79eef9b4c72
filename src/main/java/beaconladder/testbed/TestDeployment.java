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

/** Hosts, discovery, a coordinator and routers, started and ready for requests. */
final class TestDeployment implements AutoCloseable, ClientLoad.Routers {
    private static final String REQUEST_CLASS = """
                {"name":"%s","effect":"%s","goal_time_us":500000,"give_up_us":1000000,"late_share":0.5,\
                "key_ttl_us":5000000,"points":%s}""";
    static final int LEASE_MILLIS = 800;
    static final int FENCE_MILLIS = 4_000;
    private static final int READY_TIMEOUT_MILLIS = 30_000;
    private static final int READY_POLL_MILLIS = 20;
    private static final int COORDINATOR_TIMEOUT_MILLIS = 2_000;

    final HostFleet ground;
    final ChildProcesses programs;
    final Program keeper;
    final List<Program> routers = new ArrayList<>();
    final List<Relay> relays = new ArrayList<>();
    final Path plan;
    private final int coordinatorPort = ChildProcesses.freePort();
    private final List<Integer> ports = new ArrayList<>();
    /** When each router was last impaired or restored, in Unix milliseconds. */
    private final AtomicLongArray impairedSince;
    /** 1 for each router that is impaired now, otherwise 0. */
    private final AtomicLongArray impairedNow;

    /**
     * Starts all processes and waits until the routers answer.
     *
     * @param folder the folder for plans, logs, config files and the coordinator's records
     * @param hostsPerGroup the number of hosts in each group
     * @param lagMillis the lag of a group's first host, in milliseconds; each further host has 1 ms more
     * @param tenants the lines of the plan besides those of cells and coordinator
     */
    TestDeployment(
            Path folder,
            int cells,
            int groupsPerCell,
            int hostsPerGroup,
            int routerCount,
            int lagMillis,
            String tenants)
            throws IOException, InterruptedException {
        ground = new HostFleet(cells * groupsPerCell, hostsPerGroup, lagMillis);
        programs = new ChildProcesses(folder);
        impairedSince = new AtomicLongArray(routerCount);
        impairedNow = new AtomicLongArray(routerCount);
        StringBuilder planText = new StringBuilder();
        for (int cell = 0; cell < cells; cell++) {
            planText.append("(cell c").append(cell).append(" (groups");
            for (int slot = 0; slot < groupsPerCell; slot++) {
                planText.append(' ').append(cell * groupsPerCell + slot);
            }
            planText.append("))\n");
        }
        planText.append(tenants);
        plan = folder.resolve("keeper.plan");
        Files.writeString(plan, planText + coordinatorEntry(coordinatorPort, folder));
        keeper = programs.program("keeper", null, "cells", "keep", "--plan", plan.toString());
        keeper.start();
        for (int i = 0; i < routerCount; i++) {
            Relay relay = new Relay(coordinatorPort);
            relays.add(relay);
            Path routerPlan = folder.resolve("router" + i + ".plan");
            Files.writeString(routerPlan, planText + coordinatorEntry(relay.port(), folder));
            int port = ChildProcesses.freePort();
            ports.add(port);
            Program router = programs.program("n" + i, config("n" + i, port), "serve", "--plan", routerPlan.toString());
            routers.add(router);
            router.start();
        }
        for (int i = 0; i < routerCount; i++) {
            ready(i);
            impairedSince.set(i, 0);
        }
    }

    private String coordinatorEntry(int port, Path folder) {
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

    /** Waits until a router answers an empty query; fails with the router's log if it does not in time. */
    void ready(int router) throws InterruptedException {
        long waitUntilMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < waitUntilMillis) {
            try (ClientLoad.Line line = new ClientLoad.Line(ports.get(router), router)) {
                line.send("");
                if (line.answer()) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(READY_POLL_MILLIS);
            }
        }
        throw new IllegalStateException(
                "router " + router + " is not ready: " + routers.get(router).log());
    }

    /** Records that a router is impaired from now on, or no longer. */
    void setImpaired(int router, boolean impaired) {
        impairedNow.set(router, impaired ? 1 : 0);
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
        return impairedNow.get(router) == 1 ? Long.MAX_VALUE : impairedSince.get(router);
    }

    /**
     * Returns the coordinator's answer to an operator's request.
     *
     * @throws IllegalStateException if the coordinator refuses, with its reason as the message
     */
    Map<?, ?> keeper(String path) throws IOException {
        try {
            if (JsonReader.parse(new HttpFetcher(new InetSocketAddress("127.0.0.1", coordinatorPort), true)
                            .get(path, COORDINATOR_TIMEOUT_MILLIS))
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

    /** Returns the state of a tenant's migration: of the one under way, else of the last that ended, else "none". */
    String state(String tenant) throws IOException {
        Map<?, ?> cells = keeper("/v1/cells");
        for (Object migration : (List<?>) cells.get("moves")) {
            if (((Map<?, ?>) migration).get("tenant").equals(tenant)) {
                return String.valueOf(((Map<?, ?>) migration).get("state"));
            }
        }
        return ended(cells, tenant, "state");
    }

    /** Returns a field of the tenant's last migration that has ended, or "none". */
    static String ended(Map<?, ?> cells, String tenant, String field) {
        String value = "none";
        for (Object migration : (List<?>) cells.get("ended")) {
            if (((Map<?, ?>) migration).get("tenant").equals(tenant)) {
                value = String.valueOf(((Map<?, ?>) migration).get(field));
            }
        }
        return value;
    }

    /** Returns the cell in which the coordinator has placed a tenant. */
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
