package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A host stand-in with data. The primary of a group appends each write to its log, replicas apply that log after a lag,
 * and a primary can copy one tenant's writes from a host of another group by a feed.
 */
final class ReplicatedHost extends HostStandIn {
    private static final Pattern KEY_AND_VALUE =
            Pattern.compile("(?:id = |VALUES \\()'([^']*)'(?:, '\\\\x([0-9a-f]*)')?.*", Pattern.DOTALL);
    private static final Pattern FEED_STATEMENT =
            Pattern.compile("SET beaconladder.feed = '(\\S+) (on|off|drop)(?: .*:(\\d+))?'");
    private static final Pattern COPIED_QUERY =
            Pattern.compile("SELECT copied FROM beaconladder_feeds WHERE tenant = '(\\S+)'");
    /** How often a replica fetches the primary's log, and a primary the logs of its feeds' sources. */
    private static final int REPLICATION_INTERVAL_MILLIS = 2;
    /** How many requests a host runs at the same time. */
    private static final int CORES = 8;
    /** How long a request occupies a core. */
    private static final int SERVICE_MILLIS = 2;
    /** How many requests a host has running or queued before it rejects more as full. */
    private static final int MAX_IN_PROGRESS = 200;

    private static final int HANG_POLL_MILLIS = 5;
    /** How long a write waits for a replica to receive it before it is answered regardless. */
    private static final int REPLICATION_WAIT_MILLIS = 100;

    /**
     * An entry of a log: a write (its key is set), the progress of a tenant's copy (a Unix time in milliseconds as
     * {@code copied}), or the removal of the tenant's data ({@link #DROPPED} as {@code copied}).
     */
    private record Entry(long position, String id, String tenant, String key, long version, long copied) {
        static final long DROPPED = -1;
    }

    /**
     * A part of the primary's log that a replica has received and applies when it is due.
     *
     * @param dueMillis when to apply it, in Unix milliseconds
     * @param length the length of the primary's log up to its end, in entries
     * @param asOfMillis the position that the replica has reached once it is applied, in Unix milliseconds
     */
    private record Received(long dueMillis, int length, long asOfMillis) {}

    final String id;
    private final HostFleet fleet;
    private final int group;
    private final int lagMillis;
    private final List<Entry> log = new ArrayList<>();
    private final Map<String, Entry> data = new HashMap<>();
    /** How far the copy of each tenant has come, in Unix milliseconds. */
    private final Map<String, Long> copiedUpToMillis = new HashMap<>();
    /** Writes by the ids of their requests, to recognize a repeated request that carries a token. */
    private final Map<String, Entry> writesById = new HashMap<>();

    private final ArrayDeque<Received> inTransit = new ArrayDeque<>();
    private final Map<String, Feed> feeds = new HashMap<>();
    private final Semaphore cores = new Semaphore(CORES);
    private final AtomicInteger inProgress = new AtomicInteger();
    /** The position up to which this replica has applied the primary's log, in Unix milliseconds. */
    private long asOfMillis;

    private volatile boolean primary;
    private volatile boolean alive = true;
    /** Whether the host neither answers nor replicates for now; connections stay open. */
    volatile boolean hung;
    /** Whether the host receives nothing of the primary's log for now. */
    volatile boolean deaf;
    /** The number of writes still to come that run but whose connection closes without an answer. */
    final AtomicInteger loseAnswers = new AtomicInteger();

    /** When the request that this thread handles arrived, in Unix milliseconds. */
    private final ThreadLocal<Long> arrivedAtMillis = new ThreadLocal<>();

    /** The copying of one tenant from a host of another group. */
    private static final class Feed {
        private final int sourcePort;
        /** The length of the source's log that has been copied, in entries. */
        private int copiedLength;

        Feed(int sourcePort) {
            this.sourcePort = sourcePort;
        }
    }

    ReplicatedHost(HostFleet fleet, int group, String id, boolean primary, int lagMillis) throws IOException {
        super(primary ? "leader" : "follower");
        this.fleet = fleet;
        this.group = group;
        this.id = id;
        this.primary = primary;
        this.lagMillis = lagMillis;
        StandInThreads.spawn(() -> {
            while (true) {
                StandInThreads.sleep(REPLICATION_INTERVAL_MILLIS);
                if (alive && !hung) {
                    replicate();
                }
            }
        });
    }

    String endpointEntry(String state) {
        return entry(id, group, state);
    }

    boolean alive() {
        return alive;
    }

    /** Returns how many entries of the log the host has, applied or waiting out the lag. */
    synchronized long receivedLength() {
        return inTransit.isEmpty() ? log.size() : inTransit.peekLast().length();
    }

    // ---- The log

    private void replicate() {
        ReplicatedHost currentPrimary = fleet.primary(group);
        if (currentPrimary == null) {
            return;
        }
        if (currentPrimary != this) {
            replicateFrom(currentPrimary);
        } else {
            for (Map.Entry<String, Feed> feed : feeds().entrySet()) {
                copyTenant(feed.getKey(), feed.getValue());
            }
        }
    }

    private synchronized Map<String, Feed> feeds() {
        return feeds.isEmpty() ? Map.of() : Map.copyOf(feeds);
    }

    private void replicateFrom(ReplicatedHost currentPrimary) {
        int length = 0;
        long readAtMillis = 0;
        if (currentPrimary.alive && !currentPrimary.hung && !deaf) {
            synchronized (currentPrimary) {
                length = currentPrimary.log.size();
                // A write that commits later in the current millisecond is not in the log yet.
                readAtMillis = System.currentTimeMillis() - 1;
            }
        }
        synchronized (this) {
            long now = System.currentTimeMillis();
            // Discards what was read from a primary that has been replaced in the meantime.
            if (readAtMillis > 0 && !primary && fleet.primary(group) == currentPrimary) {
                inTransit.add(new Received(now + lagMillis, length, readAtMillis));
            }
            while (!inTransit.isEmpty() && inTransit.peek().dueMillis() <= now) {
                Received next = inTransit.poll();
                applyUpTo(currentPrimary, next.length());
                asOfMillis = Math.max(asOfMillis, next.asOfMillis());
            }
        }
    }

    /** Applies the source's log up to this length; only the source appends to it, and entries never change. */
    private void applyUpTo(ReplicatedHost source, int length) {
        while (log.size() < length) {
            Entry entry;
            synchronized (source.log) {
                if (log.size() >= source.log.size()) {
                    return;
                }
                entry = source.log.get(log.size());
            }
            apply(entry);
        }
    }

    private void apply(Entry entry) {
        synchronized (log) {
            log.add(entry);
        }
        if (entry.key() != null) {
            data.put(entry.tenant() + "/" + entry.key(), entry);
            writesById.put(entry.id(), entry);
        } else if (entry.copied() == Entry.DROPPED) {
            data.keySet().removeIf(key -> key.startsWith(entry.tenant() + "/"));
            copiedUpToMillis.remove(entry.tenant());
        } else {
            copiedUpToMillis.put(entry.tenant(), entry.copied());
        }
    }

    private synchronized Entry append(String requestId, String tenant, String key, long version, long copied) {
        long lastPosition = log.isEmpty() ? 0 : log.get(log.size() - 1).position();
        Entry entry =
                new Entry(Math.max(lastPosition, System.currentTimeMillis()), requestId, tenant, key, version, copied);
        apply(entry);
        return entry;
    }

    /** Makes this host a replica and ends its feeds. */
    synchronized void becomeReplica() {
        primary = false;
        feeds.clear();
        role("follower");
    }

    /** Makes this host the primary, after applying all that it has received from the old one. */
    void becomePrimary(ReplicatedHost oldPrimary) {
        synchronized (this) {
            for (Received next : inTransit) {
                applyUpTo(oldPrimary, next.length());
            }
            inTransit.clear();
            primary = true;
            role("leader");
        }
    }

    /** Truncates the log to what it has in common with the new primary's; records the writes that are lost by it. */
    void truncateTo(ReplicatedHost newPrimary) {
        List<Entry> primaryLog;
        synchronized (newPrimary.log) {
            primaryLog = List.copyOf(newPrimary.log);
        }
        synchronized (this) {
            inTransit.clear();
            int commonLength = 0;
            while (commonLength < Math.min(log.size(), primaryLog.size())
                    && log.get(commonLength).equals(primaryLog.get(commonLength))) {
                commonLength++;
            }
            if (commonLength < log.size()) {
                List<Entry> kept = List.copyOf(log.subList(0, commonLength));
                log.subList(commonLength, log.size()).forEach(entry -> {
                    if (entry.id() != null) {
                        fleet.dropped.add(entry.id());
                    }
                });
                synchronized (log) {
                    log.clear();
                }
                data.clear();
                copiedUpToMillis.clear();
                writesById.clear();
                kept.forEach(this::apply);
                asOfMillis = kept.isEmpty() ? 0 : kept.get(kept.size() - 1).position();
            }
        }
    }

    @Override
    public void crash() throws IOException {
        alive = false;
        super.crash();
    }

    @Override
    public void restart() throws IOException {
        synchronized (this) {
            inTransit.clear();
        }
        hung = false;
        super.restart();
        alive = true;
    }

    // ---- The feed from cell to cell

    /** Copies the tenant's entries that the source has gained since the last call, then records the progress. */
    private void copyTenant(String tenant, Feed feed) {
        ReplicatedHost source = fleet.at(feed.sourcePort);
        if (source == null || !source.alive || source.hung) {
            return;
        }
        List<Entry> entries;
        long readAtMillis;
        synchronized (source) {
            entries = new ArrayList<>(
                    source.log.subList(Math.min(feed.copiedLength, source.log.size()), source.log.size()));
            feed.copiedLength = source.log.size();
            readAtMillis = System.currentTimeMillis() - 1;
        }
        synchronized (this) {
            if (!primary || feeds.get(tenant) != feed) {
                return;
            }
            for (Entry entry : entries) {
                if (tenant.equals(entry.tenant()) && (entry.key() != null || entry.copied() == Entry.DROPPED)) {
                    append(entry.id(), tenant, entry.key(), entry.version(), entry.copied());
                }
            }
            append(null, tenant, null, 0, readAtMillis);
        }
    }

    @Override
    protected MessageWriter controlStatement(String text) {
        Matcher feed = FEED_STATEMENT.matcher(text);
        if (feed.matches()) {
            synchronized (this) {
                String tenant = feed.group(1);
                if (feed.group(2).equals("on") && primary) {
                    append(null, tenant, null, 0, Entry.DROPPED);
                    feeds.put(tenant, new Feed(Integer.parseInt(feed.group(3))));
                } else {
                    feeds.remove(tenant);
                    if (feed.group(2).equals("drop") && primary) {
                        append(null, tenant, null, 0, Entry.DROPPED);
                    }
                }
            }
            return new MessageWriter().commandComplete("SET").readyForQuery();
        }
        Matcher copied = COPIED_QUERY.matcher(text);
        if (copied.matches()) {
            Long progressMillis;
            synchronized (this) {
                progressMillis = copiedUpToMillis.get(copied.group(1));
            }
            return new MessageWriter()
                    .singleColumnResult(
                            "copied",
                            (progressMillis == null ? "" : String.valueOf(progressMillis))
                                    .getBytes(StandardCharsets.US_ASCII))
                    .commandComplete("SELECT 1")
                    .readyForQuery();
        }
        return null;
    }

    // ---- Requests

    @Override
    protected void halt() {
        while (hung && alive) {
            StandInThreads.sleep(HANG_POLL_MILLIS);
        }
    }

    @Override
    protected int holds() {
        return inProgress.get();
    }

    @Override
    protected void saw(String text) {
        arrivedAtMillis.set(System.currentTimeMillis());
        fleet.reached.add(new HostFleet.Reached(id, Statement.parse(text).parameter("id"), arrivedAtMillis.get()));
    }

    @Override
    protected MessageWriter run(String text) {
        Statement statement = Statement.parse(text);
        Matcher keyAndValue = KEY_AND_VALUE.matcher(text.substring(text.indexOf('\'') - (statement.isWrite() ? 8 : 5)));
        if (statement.parseError() != null || !keyAndValue.matches()) {
            return new MessageWriter().error("ERROR", "08P01", "no statement of this form", null);
        }
        if (inProgress.incrementAndGet() > MAX_IN_PROGRESS) {
            inProgress.decrementAndGet();
            return said().error("ERROR", "53300", "full", null);
        }
        try {
            cores.acquireUninterruptibly();
            try {
                StandInThreads.sleep(SERVICE_MILLIS);
            } finally {
                cores.release();
            }
            if (System.currentTimeMillis() - arrivedAtMillis.get() > Long.parseLong(statement.parameter("d"))) {
                return said().error("ERROR", "53300", "the request is over", null);
            }
            return statement.isWrite()
                    ? write(statement, keyAndValue.group(1), keyAndValue.group(2))
                    : read(statement, keyAndValue.group(1));
        } finally {
            inProgress.decrementAndGet();
        }
    }

    private MessageWriter read(Statement statement, String key) {
        Entry entry;
        MessageWriter answer;
        synchronized (this) {
            entry = data.get(statement.parameter("t") + "/" + key);
            answer = said();
        }
        long version = entry == null ? 0 : entry.version();
        recordRun(statement, key, false, version);
        return answer.singleColumnResult(
                        "doc", ByteBuffer.allocate(8).putLong(version).array())
                .commandComplete("SELECT 1");
    }

    private MessageWriter write(Statement statement, String key, String hex) {
        long version = Long.parseUnsignedLong(hex.substring(0, 16), 16);
        Entry entry;
        int length;
        synchronized (this) {
            if (!primary) {
                return said().error("ERROR", "25006", "no primary", null);
            }
            Entry earlierWrite =
                    "token".equals(statement.parameter("c")) ? writesById.get(statement.parameter("id")) : null;
            entry = earlierWrite != null
                    ? earlierWrite
                    : append(statement.parameter("id"), statement.parameter("t"), key, version, 0);
            length = log.size();
            if (earlierWrite == null) {
                recordRun(statement, key, true, version);
            }
        }
        if (loseAnswers.get() > 0 && loseAnswers.decrementAndGet() >= 0) {
            return null;
        }
        // A write is answered once a replica has received it, so that a failover does not lose it.
        long waitUntilMillis = System.currentTimeMillis() + REPLICATION_WAIT_MILLIS;
        while (System.currentTimeMillis() < waitUntilMillis
                && alive
                && fleet.members(group).stream().noneMatch(m -> m != this && m.alive && m.receivedLength() >= length)) {
            StandInThreads.sleep(1);
        }
        if (!alive || !primary) {
            return null;
        }
        return new MessageWriter()
                .parameterStatus("node_role", "leader")
                .parameterStatus("replay_position", String.valueOf(entry.position()))
                .singleColumnResult("doc", HexFormat.of().parseHex(hex))
                .commandComplete("INSERT 0 1");
    }

    private void recordRun(Statement statement, String key, boolean write, long version) {
        fleet.ran.add(new HostFleet.Ran(
                statement.parameter("id"),
                statement.parameter("t"),
                key,
                write,
                version,
                group,
                id,
                System.currentTimeMillis()));
    }

    @Override
    protected long position() {
        synchronized (this) {
            return primary
                    ? Math.max(
                            System.currentTimeMillis(),
                            log.isEmpty() ? 0 : log.get(log.size() - 1).position())
                    : asOfMillis;
        }
    }

    /** Returns the version that the host has of a key, or 0 if it has none. */
    synchronized long version(String tenant, String key) {
        Entry entry = data.get(tenant + "/" + key);
        return entry == null ? 0 : entry.version();
    }
}
