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
 * A router whose configuration file and plan are overlaid by the feed: the document {@code router.json} replaces the
 * sections of the file that it names, {@code plan} replaces the plan. Both are laid over copies in the feed's folder; a
 * reload then decides which sections take effect at once and which need a restart. Thread-safe.
 */
final class FeedConfiguredRouter implements Applier {
    private static final Logger LOG = LoggerFactory.getLogger(FeedConfiguredRouter.class);
    /** Sections that the feed may replace; name, address and seed are each router's own. */
    private static final Set<String> FEED_SECTIONS = Set.of("discovery", "limits", "settings");
    /** How long the first start waits for a first version before it continues without one. */
    private static final long FIRST_VERSION_TIMEOUT_MILLIS = 3_000;
    /** As for a router's threads. */
    private static final long STACK_BYTES = 256 * 1024;

    /** Base name of the copies that the router runs with. */
    private static final String ACTIVE = "router";
    /** Base name of the copies that are validated before they replace the active ones. */
    private static final String CANDIDATE = "next";

    private static final String CONFIG_SUFFIX = ".json";
    private static final String PLAN_SUFFIX = ".plan";

    private final Path configFile;
    private final Path planFile;
    private final Path folder;
    private final Path journal;
    private final String name;
    private final long incarnation = System.currentTimeMillis();
    private final Subscriber subscriber;
    private VersionedState applied = VersionedState.empty();
    private RouterServer router;

    /**
     * Opens the folder; the router itself is created by {@link #router}.
     *
     * @param configFile the operators' file
     * @param planFile the operators' plan, or null for none
     * @param relays each as {@code NAME=ADDRESS:PORT}
     * @param folder for the feed's state and the overlaid copies; created if missing
     * @param journal a file that each applied version is appended to, or null
     * @throws IOException if a file can't be read, the folder can't be used, or a name or relay is invalid
     */
    FeedConfiguredRouter(Path configFile, Path planFile, List<String> relays, Path folder, Path journal)
            throws IOException {
        this.configFile = configFile;
        this.planFile = planFile;
        this.folder = folder;
        this.journal = journal;
        Files.createDirectories(folder);
        name = readObject(configFile).path("name").asText();
        if (!Proposal.isValidName(name)) {
            throw new IOException("'" + name + "' is no name by which relays could know this router");
        }
        subscriber = new Subscriber(name, incarnation, addresses(relays), folder.resolve("state"), this);
    }

    private static Map<String, InetSocketAddress> addresses(List<String> relays) throws IOException {
        Map<String, InetSocketAddress> addresses = new TreeMap<>();
        for (String relay : relays) {
            int equals = relay.indexOf('=');
            InetSocketAddress address = EndpointWatch.parseAddress(relay.substring(equals + 1));
            if (equals < 1
                    || !Proposal.isValidName(relay.substring(0, equals))
                    || address == null
                    || addresses.put(relay.substring(0, equals), address) != null) {
                throw new IOException("'" + relay + "' is no NAME=ADDRESS:PORT of a relay, or there twice");
            }
        }
        return addresses;
    }

    /** Creates the router with the version that was in force when it ended, or else the first from the feed, if any. */
    synchronized RouterServer router() throws IOException, InterruptedException {
        VersionedState stored = subscriber.storedState();
        overlay(stored, ACTIVE);
        Thread thread = new Thread(null, subscriber, "subscriber", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        for (long deadlineNanos = System.nanoTime() + FIRST_VERSION_TIMEOUT_MILLIS * 1_000_000;
                stored.version() == 0 && applied.version() == 0 && System.nanoTime() < deadlineNanos; ) {
            wait(20);
        }
        router = new RouterServer(config(ACTIVE), plan(ACTIVE));
        return router;
    }

    /** Reloads the operators' file; the feed's sections still overlay it. */
    synchronized void reload() {
        try {
            overlay(latest(), ACTIVE);
            router.reload();
        } catch (IOException e) {
            LOG.warn("not reloaded, all stays as it was: {}", e.toString());
        }
    }

    /** The version in force, or the stored one before any was applied. */
    private VersionedState latest() {
        return applied.version() == 0 ? subscriber.storedState() : applied;
    }

    private Path config(String baseName) {
        return folder.resolve(baseName + CONFIG_SUFFIX);
    }

    private Path plan(String baseName) {
        return planFile == null ? null : folder.resolve(baseName + PLAN_SUFFIX);
    }

    @Override
    public synchronized void validate(VersionedState next) throws IOException {
        overlay(next, CANDIDATE);
        RouterServer.check(config(CANDIDATE), plan(CANDIDATE));
    }

    @Override
    public synchronized void apply(VersionedState next) throws IOException {
        overlay(next, ACTIVE);
        if (router != null && !router.reload()) {
            overlay(latest(), ACTIVE);
            throw new IOException("it can't be in force here; the line before says why");
        }
        applied = next;
        notifyAll();
        LOG.info("fed: version {}, digest {}, is in force", next.version(), next.digest());
        appendToJournal(next);
    }

    private void appendToJournal(VersionedState state) throws IOException {
        if (journal != null) {
            Instant now = Instant.now();
            Files.writeString(
                    journal,
                    "A " + (now.getEpochSecond() * 1_000_000_000L + now.getNano()) + ' ' + name + ' ' + incarnation
                            + ' ' + state.version() + ' ' + state.computeDigest() + '\n',
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        }
    }

    /** Writes copies of the operators' file and plan, overlaid by a state, under a base name. */
    private void overlay(VersionedState state, String baseName) throws IOException {
        ObjectNode config = readObject(configFile);
        String overlay = state.entries().get("router.json");
        if (overlay != null) {
            ObjectNode sections = FeedJson.read(overlay, ObjectNode.class);
            for (Map.Entry<String, JsonNode> section : sections.properties()) {
                if (!FEED_SECTIONS.contains(section.getKey())) {
                    throw new IOException("router.json names '" + section.getKey() + "', which is not the feed's");
                }
                config.set(section.getKey(), section.getValue());
            }
        }
        write(FeedJson.text(config), baseName + CONFIG_SUFFIX);
        if (planFile != null) {
            String text = state.entries().get("plan");
            write(text == null ? Files.readString(planFile) : text, baseName + PLAN_SUFFIX);
        }
    }

    private static ObjectNode readObject(Path file) throws IOException {
        return FeedJson.read(Files.readString(file), ObjectNode.class);
    }

    private void write(String text, String fileName) throws IOException {
        Path partial = folder.resolve(fileName + ".part");
        Files.writeString(partial, text);
        Files.move(
                partial, folder.resolve(fileName), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
