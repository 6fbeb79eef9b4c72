package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.SlotQuery;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantMigrations;
import beaconladder.cells.WriteActivity;
import beaconladder.discovery.EndpointWatch;
import beaconladder.plan.Plan;
import beaconladder.plan.PlanReader;
import beaconladder.storage.DurableRecords;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The keeper on sockets: grants leases to routers, carries moves out step by step, answers operators. All decisions are
 * {@link TenantMigrations}'; a step is on the disk before it is taken.
 */
public final class Coordinator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Coordinator.class);
    /** While a tenant is moved, hosts are asked so often. */
    private static final int LOOK_MILLIS = 20;

    private static final int LONGEST_WAIT_MILLIS = 30_000;

    private final Path file;
    private final DurableRecords records;
    private final TenantMigrations moves;
    private final HostQueries hosts = new HostQueries();
    private final EndpointWatch watch;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "keeper");
        thread.setDaemon(true);
        return thread;
    });
    private final Thread loop = new Thread(this::run, "moves");
    /** Ends of moves whose hosts are still to be told; for the loop. */
    private final List<MigrationStep> ends = new ArrayList<>();

    private volatile boolean closed;

    /**
     * A keeper that answers from now on.
     *
     * @throws IOException where its address is taken, its records are in use or damaged
     */
    public Coordinator(Path file, Plan plan) throws IOException {
        this.file = file;
        if (plan.coordinator() == null) {
            throw new IOException(file + " states no keeper");
        }
        records = DurableRecords.open(Path.of(plan.coordinator().recordsDirectory()));
        moves = new TenantMigrations(new StaticPlacement(plan));
        try {
            for (byte[] record : records.recovered()) {
                moves.apply(CoordinatorProtocol.read(record, MigrationStep.class));
            }
            moves.recoveredAt(now());
            server = HttpServer.create(plan.coordinator().address(), 512);
        } catch (IOException | RuntimeException e) {
            records.close();
            throw e instanceof IOException fault ? fault : new IOException("a record makes no sense: " + e, e);
        }
        LOG.info(
                "{} records, {} moves under way",
                records.recovered().size(),
                moves.statuses(now()).size());
        watch = new EndpointWatch(plan.coordinator().discoveryAddress(), hosts);
        server.setExecutor(threads);
        server.createContext("/v1/placement", exchange -> answer(exchange, this::placement));
        server.createContext("/v1/cells", exchange -> answer(exchange, this::cells));
        server.createContext("/v1/move", exchange -> answer(exchange, this::move));
        server.createContext("/v1/undo", exchange -> answer(exchange, this::undo));
        propose(plan);
        Thread watcher = new Thread(watch, "watch");
        watcher.setDaemon(true);
        watcher.start();
        loop.setDaemon(true);
        loop.start();
        server.start();
        LOG.info("the keeper answers at {}", plan.coordinator().address());
    }

    /** Unix time in nanoseconds, of the clock that all machines read. */
    private static long now() {
        java.time.Instant now = java.time.Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    /** Reads the plan again, whole or not at all. */
    public void reload() {
        PlanReader.Result read = PlanReader.read(file);
        if (read.plan() == null || read.plan().coordinator() == null) {
            read.errors().forEach(fault -> LOG.warn("{}", fault));
            LOG.warn("not reloaded, all stays as it was");
            return;
        }
        synchronized (this) {
            moves.replacePlan(new StaticPlacement(read.plan()));
        }
        propose(read.plan());
        LOG.info("reloaded {}", file);
    }

    /** Moves that the plan asks for and that were not made yet. */
    private synchronized void propose(Plan plan) {
        try {
            settle(now());
            for (Plan.Relocation move : plan.relocations()) {
                try {
                    write(moves.propose(move.tenant(), move.targetCell(), file.toString(), now()));
                } catch (IllegalArgumentException e) {
                    LOG.info("the plan's move of {} to {}: {}", move.tenant(), move.targetCell(), e.getMessage());
                }
            }
        } catch (IOException e) {
            LOG.error("moves stand still", e);
        }
    }

    // ---- The loop -----------------------------------------------------------------------------------------

    private void run() {
        while (!closed) {
            try {
                List<SlotQuery> errands;
                Map<SlotQuery, Boolean> over = new LinkedHashMap<>();
                synchronized (this) {
                    settle(now());
                    errands = moves.slotQueries();
                    for (MigrationStep end : ends) {
                        moves.slotQueries(end).forEach(errand -> over.put(errand, end.kind() == Kind.UNDONE));
                    }
                    ends.clear();
                }
                over.forEach(hosts::end);
                for (SlotQuery errand : errands) {
                    MigrationObservation sight = hosts.look(errand, now());
                    synchronized (this) {
                        moves.recordObservation(errand.tenant(), errand.slot(), sight);
                    }
                }
                synchronized (this) {
                    settle(now());
                }
                Thread.sleep(LOOK_MILLIS);
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.error("moves go on after a fault", e);
            }
        }
    }

    /** Takes all steps that are due, each once it is written. */
    private void settle(long now) throws IOException {
        for (MigrationStep step = moves.nextStep(now); step != null; step = moves.nextStep(now)) {
            write(step);
        }
        List<MigrationStep> snapshot = moves.snapshot(now);
        if (snapshot != null) {
            records.replace(snapshot.stream().map(Coordinator::bytes).toList());
        }
    }

    private void write(MigrationStep step) throws IOException {
        records.append(bytes(step));
        moves.apply(step);
        if (step.kind() == Kind.DONE || step.kind() == Kind.UNDONE) {
            ends.add(step);
        }
        if (step.kind() != Kind.LEASE && step.kind() != Kind.PLACED) {
            LOG.info(
                    "{} {}{}{}",
                    step.kind().name().toLowerCase(java.util.Locale.ROOT),
                    step.tenant(),
                    step.toCell() == null ? "" : " from " + step.fromCell() + " to " + step.toCell(),
                    step.detail() == null ? "" : ": " + step.detail());
        }
        notifyAll();
    }

    private static byte[] bytes(MigrationStep step) {
        return CoordinatorProtocol.text(step).getBytes(StandardCharsets.UTF_8);
    }

    // ---- Answers ------------------------------------------------------------------------------------------

    private interface Handler {
        String answer(Map<String, String> asked) throws IOException, InterruptedException;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        int status = 200;
        String body;
        try {
            Map<String, String> asked = new HashMap<>();
            String query = exchange.getRequestURI().getRawQuery();
            for (String pair : query == null ? new String[0] : query.split("&")) {
                int equals = pair.indexOf('=');
                asked.put(
                        pair.substring(0, Math.max(0, equals)),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            body = handler.answer(asked);
        } catch (IllegalArgumentException e) {
            status = 400;
            body = CoordinatorProtocol.text(CoordinatorProtocol.object().put("error", e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            status = 503;
            body = CoordinatorProtocol.text(CoordinatorProtocol.object().put("error", "the keeper ends"));
        } catch (IOException | RuntimeException e) {
            LOG.error("a call failed", e);
            status = 500;
            body = CoordinatorProtocol.text(CoordinatorProtocol.object().put("error", e.toString()));
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    /** A router's call: its word, then the placement once it is newer than what it acts on, or after its wait. */
    private synchronized String placement(Map<String, String> asked) throws IOException, InterruptedException {
        String router = need(asked, "router");
        String run = need(asked, "run");
        long acts = Long.parseLong(need(asked, "version"));
        long wait = Math.min(LONGEST_WAIT_MILLIS, Long.parseLong(asked.getOrDefault("wait", "0")));
        List<WriteActivity> busy = CoordinatorProtocol.busy(asked.getOrDefault("busy", ""));
        MigrationStep joins = moves.registration(router, run, now());
        if (joins != null) {
            write(joins);
        }
        moves.grantLease(router, acts, busy, now());
        long until = System.nanoTime() + wait * 1_000_000L;
        while (!closed && moves.version() <= acts && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        PlacementTable placement = moves.grantLease(router, acts, busy, now());
        return CoordinatorProtocol.text(placement, placement.version() != acts);
    }

    private static String need(Map<String, String> asked, String name) {
        String value = asked.get(name);
        if (value == null || !value.matches("[A-Za-z0-9_.-]{1,64}")) {
            throw new IllegalArgumentException("'" + name + "' is missing or is no name");
        }
        return value;
    }

    private synchronized String cells(Map<String, String> asked) {
        ObjectNode all = CoordinatorProtocol.object();
        all.put("version", moves.version());
        ObjectNode seats = all.putObject("seats");
        moves.placements().forEach((tenant, seat) -> seats.put(tenant, seat.cell()));
        ObjectNode routers = all.putObject("routers");
        moves.nanosSinceLastReport(now())
                .forEach((name, nanos) -> routers.put(name, nanos < 0 ? -1 : nanos / 1_000_000));
        ArrayNode under = all.putArray("moves");
        moves.statuses(now())
                .forEach(move -> under.addObject()
                        .put("tenant", move.tenant())
                        .put("from", move.from())
                        .put("to", move.to())
                        .put("state", move.state())
                        .put("waits_for", move.waitsFor())
                        .put("since_ms", move.since() / 1_000_000));
        ArrayNode ended = all.putArray("ended");
        moves.endedMigrations()
                .forEach(step -> ended.addObject()
                        .put("tenant", step.tenant())
                        .put("from", step.fromCell())
                        .put("to", step.toCell())
                        .put("state", step.kind().name().toLowerCase(java.util.Locale.ROOT))
                        .put("at_ms", step.atNanos() / 1_000_000)
                        .put("why", step.detail()));
        return CoordinatorProtocol.text(all);
    }

    private synchronized String move(Map<String, String> asked) throws IOException {
        write(moves.propose(need(asked, "tenant"), need(asked, "to"), "an operator", now()));
        return CoordinatorProtocol.text(CoordinatorProtocol.object().put("proposed", asked.get("tenant")));
    }

    private synchronized String undo(Map<String, String> asked) throws IOException {
        moves.requestUndo(need(asked, "tenant"), "an operator");
        settle(now());
        return CoordinatorProtocol.text(CoordinatorProtocol.object().put("undone", asked.get("tenant")));
    }

    @Override
    public void close() {
        closed = true;
        server.stop(0);
        loop.interrupt();
        watch.stop();
        hosts.close();
        threads.shutdownNow();
        records.close();
    }
}
