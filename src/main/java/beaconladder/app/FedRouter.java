package beaconladder.app;

import beaconladder.discovery.EndpointWatch;
import beaconladder.feed.Applier;
import beaconladder.feed.FeedJson;
import beaconladder.feed.Proposal;
import beaconladder.feed.Subscriber;
import beaconladder.feed.VersionedState;
import beaconladder.server.RouterServer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router whose file and plan are the operators', overlaid by what the feed tells: the document {@code router.json}
 * has the place of the parts of the file that it names, {@code plan} that of the plan. Both are laid over copies; a
 * reload tells which parts count at once and which wait for a restart.
 */
final class FedRouter implements Applier {
    private static final Logger LOG = LoggerFactory.getLogger(FedRouter.class);
    /** What may come from the feed; name, address and seed are each router's own. */
    private static final Set<String> PARTS = Set.of("discovery", "limits", "settings");
    /** A very first start waits so long for a first version, and goes on without. */
    private static final long FIRST_MILLIS = 3_000;
    /** As a router's tasks have it. */
    private static final long STACK = 256 * 1024;

    private final Path file;
    private final Path plan;
    private final Path folder;
    private final Path journal;
    private final String name;
    private final long life = System.currentTimeMillis();
    private final Subscriber subscriber;
    private VersionedState inForce = VersionedState.empty();
    private RouterServer router;

    /** Reads what is on its disk; the router does not exist before it is asked for. */
    FedRouter(Path file, Path plan, List<String> relays, Path folder, Path journal) throws IOException {
        this.file = file;
        this.plan = plan;
        this.folder = folder;
        this.journal = journal;
        Files.createDirectories(folder);
        name = object(file).path("name").asText();
        if (!Proposal.isValidName(name)) {
            throw new IOException("'" + name + "' is no name by which relays could know this router");
        }
        subscriber = new Subscriber(name, life, addresses(relays), folder.resolve("state"), this);
    }

    static Map<String, InetSocketAddress> addresses(List<String> relays) throws IOException {
        Map<String, InetSocketAddress> all = new TreeMap<>();
        for (String each : relays) {
            int equals = each.indexOf('=');
            InetSocketAddress address = EndpointWatch.parseAddress(each.substring(equals + 1));
            if (equals < 1
                    || !Proposal.isValidName(each.substring(0, equals))
                    || address == null
                    || all.put(each.substring(0, equals), address) != null) {
                throw new IOException("'" + each + "' is no NAME=ADDRESS:PORT of a relay, or there twice");
            }
        }
        return all;
    }

    /** The router, from what was in force when it ended, or what the feed tells first. */
    synchronized RouterServer router() throws IOException, InterruptedException {
        VersionedState kept = subscriber.storedState();
        overlay(kept, "router");
        Thread thread = new Thread(null, subscriber, "subscriber", STACK);
        thread.setDaemon(true);
        thread.start();
        for (long until = System.nanoTime() + FIRST_MILLIS * 1_000_000;
                kept.version() == 0 && inForce.version() == 0 && System.nanoTime() < until; ) {
            wait(20);
        }
        router = new RouterServer(folder.resolve("router.json"), plan == null ? null : folder.resolve("router.plan"));
        return router;
    }

    /** The operators' file has changed: the feed's parts stay over it. */
    synchronized void reload() {
        try {
            overlay(inForce.version() == 0 ? subscriber.storedState() : inForce, "router");
            router.reload();
        } catch (IOException e) {
            LOG.warn("not reloaded, all stays as it was: {}", e.toString());
        }
    }

    @Override
    public synchronized void validate(VersionedState next) throws IOException {
        overlay(next, "next");
        RouterServer.check(folder.resolve("next.json"), plan == null ? null : folder.resolve("next.plan"));
    }

    @Override
    public synchronized void apply(VersionedState next) throws IOException {
        overlay(next, "router");
        if (router != null && !router.reload()) {
            overlay(inForce.version() == 0 ? subscriber.storedState() : inForce, "router");
            throw new IOException("it can't be in force here; the line before says why");
        }
        inForce = next;
        notifyAll();
        LOG.info("fed: version {}, digest {}, is in force", next.version(), next.digest());
        if (journal != null) {
            Instant now = Instant.now();
            Files.writeString(
                    journal,
                    "A " + (now.getEpochSecond() * 1_000_000_000L + now.getNano()) + ' ' + name + ' ' + life + ' '
                            + next.version() + ' ' + next.computeDigest() + '\n',
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        }
    }

    /** Lays a state over copies of the operators' file and plan. */
    private void overlay(VersionedState state, String as) throws IOException {
        ObjectNode stated = object(file);
        String over = state.entries().get("router.json");
        if (over != null) {
            ObjectNode parts = FeedJson.read(over, ObjectNode.class);
            for (Map.Entry<String, JsonNode> part : parts.properties()) {
                if (!PARTS.contains(part.getKey())) {
                    throw new IOException("router.json names '" + part.getKey() + "', which is not the feed's");
                }
                stated.set(part.getKey(), part.getValue());
            }
        }
        write(FeedJson.text(stated), as + ".json");
        if (plan != null) {
            String text = state.entries().get("plan");
            write(text == null ? Files.readString(plan) : text, as + ".plan");
        }
    }

    private static ObjectNode object(Path file) throws IOException {
        return FeedJson.read(Files.readString(file), ObjectNode.class);
    }

    private void write(String text, String name) throws IOException {
        Path beside = folder.resolve(name + ".part");
        Files.writeString(beside, text);
        Files.move(beside, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
