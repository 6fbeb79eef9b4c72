package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.SlotQuery;
import beaconladder.discovery.EndpointWatch;
import beaconladder.pg.Decimal;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks hosts for roles and positions, and has new cells' primaries copy; it decides nothing. */
final class HostQueries implements EndpointWatch.Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HostQueries.class);
    /** Hosts answer within milliseconds or are in trouble; a move then waits and asks again. */
    private static final int ASK_MILLIS = 400;

    private static final String REPORT = "SHOW server_load";

    private final Map<String, EndpointWatch.Entry> entries = new LinkedHashMap<>();
    private final Map<String, HostQuery> lines = new ConcurrentHashMap<>();
    private final Map<String, String> fed = new HashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "asks");
        thread.setDaemon(true);
        return thread;
    });

    @Override
    public synchronized void onEndpoints(boolean complete, List<EndpointWatch.Entry> news) {
        if (complete) {
            entries.clear();
        }
        for (EndpointWatch.Entry entry : news) {
            if (entry.state() == EndpointWatch.State.GONE) {
                entries.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
            }
        }
    }

    private synchronized List<EndpointWatch.Entry> members(int group) {
        return entries.values().stream().filter(entry -> entry.group() == group).toList();
    }

    /** What one host says: of itself, and, where asked, how far the tenant's copy has come there. */
    private record Said(EndpointWatch.Entry host, boolean primary, long position, long copied) {}

    /** Asks both groups of a slot; who does not answer is not in it. */
    MigrationObservation look(SlotQuery errand, long now) {
        List<EndpointWatch.Entry> targets = members(errand.targetGroup());
        List<Callable<Said>> questions = new ArrayList<>();
        for (EndpointWatch.Entry host : members(errand.sourceGroup())) {
            questions.add(() -> ask(host, null));
        }
        int sources = questions.size();
        for (EndpointWatch.Entry host : targets) {
            questions.add(() -> ask(host, errand.tenant()));
        }
        List<Said> said = all(questions);
        List<Said> source = said.subList(0, sources).stream()
                .filter(s -> s != null && s.primary())
                .toList();
        List<Said> answered = said.subList(sources, said.size());
        List<Said> target =
                answered.stream().filter(s -> s != null && s.primary()).toList();
        if (errand.copies() && source.size() == 1 && target.size() == 1) {
            feed(errand, source.get(0).host(), target.get(0).host());
        }
        List<Long> copied = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            // A member that is listed as ready may become primary: it has to show that it has the copy.
            if (targets.get(i).state() == EndpointWatch.State.READY) {
                copied.add(
                        answered.get(i) == null
                                ? Long.MIN_VALUE
                                : answered.get(i).copied());
            }
        }
        return new MigrationObservation(
                now,
                source.size() == 1 ? source.get(0).host().id() : null,
                source.size() == 1 ? source.get(0).position() : Long.MIN_VALUE,
                target.size() == 1 ? target.get(0).host().id() : null,
                target.size() == 1 ? target.get(0).position() : Long.MIN_VALUE,
                copied);
    }

    /** Tells the target's primary to copy from this source; again whenever one of the two is another. */
    private void feed(SlotQuery errand, EndpointWatch.Entry source, EndpointWatch.Entry target) {
        String key = errand.tenant() + "/" + errand.slot();
        String pair = source.id() + ">" + target.id();
        if (pair.equals(fed.get(key))) {
            return;
        }
        tell(
                target,
                errand.tenant() + " on " + source.address().getHostString() + ":"
                        + source.address().getPort(),
                () -> fed.put(key, pair));
    }

    /** Ends the copying of a move that has ended; what was copied is dropped where the tenant stays away. */
    void end(SlotQuery errand, boolean drop) {
        fed.remove(errand.tenant() + "/" + errand.slot());
        for (EndpointWatch.Entry host : members(errand.targetGroup())) {
            tell(host, errand.tenant() + (drop ? " drop" : " off"), () -> {});
        }
    }

    private void tell(EndpointWatch.Entry host, String what, Runnable done) {
        try {
            line(host).ask("SET beaconladder.feed = '" + what + "'", ASK_MILLIS);
            done.run();
        } catch (IOException e) {
            drop(host);
            LOG.warn("{} was not told of the feed '{}': {}", host.id(), what, e.toString());
        }
    }

    private Said ask(EndpointWatch.Entry host, String tenant) throws IOException {
        try {
            HostQuery line = line(host);
            HostQuery.Answer report = line.ask(REPORT, ASK_MILLIS);
            Map<String, String> fields = new HashMap<>();
            for (String pair : String.valueOf(report.cell()).split(",")) {
                int equals = pair.indexOf('=');
                fields.put(
                        pair.substring(0, Math.max(0, equals)).strip(),
                        pair.substring(equals + 1).strip());
            }
            long copied = tenant == null
                    ? Long.MIN_VALUE
                    : Decimal.parseScaled(
                            line.ask(
                                            "SELECT copied FROM beaconladder_feeds WHERE tenant = '" + tenant + "'",
                                            ASK_MILLIS)
                                    .cell(),
                            6);
            return new Said(host, "1".equals(fields.get("x1")), Decimal.parseScaled(fields.get("x0"), 9), copied);
        } catch (IOException e) {
            drop(host);
            throw e;
        }
    }

    private HostQuery line(EndpointWatch.Entry host) throws IOException {
        HostQuery line = lines.get(host.id());
        if (line == null) {
            line = new HostQuery(host.address(), ASK_MILLIS);
            HostQuery before = lines.put(host.id(), line);
            if (before != null) {
                before.close();
            }
        }
        return line;
    }

    private void drop(EndpointWatch.Entry host) {
        HostQuery line = lines.remove(host.id());
        if (line != null) {
            line.close();
        }
    }

    private List<Said> all(List<Callable<Said>> questions) {
        List<Said> said = new ArrayList<>();
        try {
            for (Future<Said> answer : threads.invokeAll(questions)) {
                try {
                    said.add(answer.get());
                } catch (ExecutionException e) {
                    said.add(null);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        while (said.size() < questions.size()) {
            said.add(null);
        }
        return said;
    }

    @Override
    public void close() {
        threads.shutdownNow();
        lines.values().forEach(HostQuery::close);
    }
}
