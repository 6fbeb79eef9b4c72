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
 * A host with data: a log of writes, a primary that appends to it, replicas that apply it a little later, and a feed by
 * which a primary copies one tenant's writes from a host of another group.
 */
final class ReplicatedHost extends HostStandIn {
    private static final Pattern KEY =
            Pattern.compile("(?:id = |VALUES \\()'([^']*)'(?:, '\\\\x([0-9a-f]*)')?.*", Pattern.DOTALL);
    private static final Pattern FEED =
            Pattern.compile("SET beaconladder.feed = '(\\S+) (on|off|drop)(?: .*:(\\d+))?'");
    private static final Pattern COPIED =
            Pattern.compile("SELECT copied FROM beaconladder_feeds WHERE tenant = '(\\S+)'");
    private static final int PULL_MILLIS = 2;
    private static final int CORES = 8;
    private static final int WORK_MILLIS = 2;
    private static final int MOST_HELD = 200;

    /** One entry of a log: a write, or how far a tenant's copy has come, or that it was dropped. */
    private record Entry(long position, String id, String tenant, String key, long version, long copied) {
        static final long DROPPED = -1;
    }

    /** What a replica has received and is to apply at a time. */
    private record Received(long due, int length, long asOf) {}

    final String id;
    private final HostFleet ground;
    private final int group;
    private final int lagMillis;
    private final List<Entry> log = new ArrayList<>();
    private final Map<String, Entry> data = new HashMap<>();
    private final Map<String, Long> copies = new HashMap<>();
    /** Writes by their ids: a repeat of a referenced txn is known by them. */
    private final Map<String, Entry> known = new HashMap<>();

    private final ArrayDeque<Received> pipe = new ArrayDeque<>();
    private final Map<String, Feed> feeds = new HashMap<>();
    private final Semaphore cores = new Semaphore(CORES);
    private final AtomicInteger held = new AtomicInteger();
    private long asOf;
    private volatile boolean primary;
    private volatile boolean alive = true;
    /** Says nothing for now. */
    volatile boolean hung;
    /** Receives nothing for now. */
    volatile boolean deaf;
    /** So many of the next writes run, and their answers are lost. */
    final AtomicInteger loseAnswers = new AtomicInteger();

    private final ThreadLocal<Long> arrived = new ThreadLocal<>();

    private static final class Feed {
        private final int source;
        private int taken;

        Feed(int source) {
            this.source = source;
        }
    }

    ReplicatedHost(HostFleet ground, int group, String id, boolean primary, int lagMillis) throws IOException {
        super(primary ? "leader" : "follower");
        this.ground = ground;
        this.group = group;
        this.id = id;
        this.primary = primary;
        this.lagMillis = lagMillis;
        StandInThreads.spawn(() -> {
            while (true) {
                StandInThreads.sleep(PULL_MILLIS);
                if (alive && !hung) {
                    work();
                }
            }
        });
    }

    String listed(String state) {
        return entry(id, group, state);
    }

    boolean alive() {
        return alive;
    }

    /** How much of the log it has, applied or on its way. */
    synchronized long received() {
        return pipe.isEmpty() ? log.size() : pipe.peekLast().length();
    }

    // ---- The log ------------------------------------------------------------------------------------------

    private void work() {
        ReplicatedHost leader = ground.primary(group);
        if (leader == null) {
            return;
        }
        if (leader != this) {
            pull(leader);
        } else {
            for (Map.Entry<String, Feed> feed : feeds().entrySet()) {
                copy(feed.getKey(), feed.getValue());
            }
        }
    }

    private synchronized Map<String, Feed> feeds() {
        return feeds.isEmpty() ? Map.of() : Map.copyOf(feeds);
    }

    private void pull(ReplicatedHost leader) {
        int length = 0;
        long at = 0;
        if (leader.alive && !leader.hung && !deaf) {
            synchronized (leader) {
                length = leader.log.size();
                // What commits in this very millisecond may not be in it.
                at = System.currentTimeMillis() - 1;
            }
        }
        synchronized (this) {
            long now = System.currentTimeMillis();
            // What was seen of a leader that has been replaced meanwhile is not waited for.
            if (at > 0 && !primary && ground.primary(group) == leader) {
                pipe.add(new Received(now + lagMillis, length, at));
            }
            while (!pipe.isEmpty() && pipe.peek().due() <= now) {
                Received next = pipe.poll();
                take(leader, next.length());
                asOf = Math.max(asOf, next.asOf());
            }
        }
    }

    /** Applies the leader's log up to this length; only it appends, and entries don't change. */
    private void take(ReplicatedHost leader, int length) {
        while (log.size() < length) {
            Entry entry;
            synchronized (leader.log) {
                if (log.size() >= leader.log.size()) {
                    return;
                }
                entry = leader.log.get(log.size());
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
            known.put(entry.id(), entry);
        } else if (entry.copied() == Entry.DROPPED) {
            data.keySet().removeIf(key -> key.startsWith(entry.tenant() + "/"));
            copies.remove(entry.tenant());
        } else {
            copies.put(entry.tenant(), entry.copied());
        }
    }

    private synchronized Entry append(String txn, String tenant, String key, long version, long copied) {
        long last = log.isEmpty() ? 0 : log.get(log.size() - 1).position();
        Entry entry = new Entry(Math.max(last, System.currentTimeMillis()), txn, tenant, key, version, copied);
        apply(entry);
        return entry;
    }

    synchronized void follow() {
        primary = false;
        feeds.clear();
        role("follower");
    }

    /** Becomes primary with all that it has received from the old one. */
    void lead(ReplicatedHost old) {
        synchronized (this) {
            for (Received next : pipe) {
                take(old, next.length());
            }
            pipe.clear();
            primary = true;
            role("leader");
        }
    }

    /** Goes on from another primary's log: what goes beyond it is dropped. */
    void cutTo(ReplicatedHost leader) {
        List<Entry> theirs;
        synchronized (leader.log) {
            theirs = List.copyOf(leader.log);
        }
        synchronized (this) {
            pipe.clear();
            int same = 0;
            while (same < Math.min(log.size(), theirs.size()) && log.get(same).equals(theirs.get(same))) {
                same++;
            }
            if (same < log.size()) {
                List<Entry> kept = List.copyOf(log.subList(0, same));
                log.subList(same, log.size()).forEach(entry -> {
                    if (entry.id() != null) {
                        ground.dropped.add(entry.id());
                    }
                });
                synchronized (log) {
                    log.clear();
                }
                data.clear();
                copies.clear();
                known.clear();
                kept.forEach(this::apply);
                asOf = kept.isEmpty() ? 0 : kept.get(kept.size() - 1).position();
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
            pipe.clear();
        }
        hung = false;
        super.restart();
        alive = true;
    }

    // ---- The feed from cell to cell -----------------------------------------------------------------------

    /** Copies what the source has beyond what was taken, then says how far that is. */
    private void copy(String tenant, Feed feed) {
        ReplicatedHost source = ground.at(feed.source);
        if (source == null || !source.alive || source.hung) {
            return;
        }
        List<Entry> entries;
        long at;
        synchronized (source) {
            entries = new ArrayList<>(source.log.subList(Math.min(feed.taken, source.log.size()), source.log.size()));
            feed.taken = source.log.size();
            at = System.currentTimeMillis() - 1;
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
            append(null, tenant, null, 0, at);
        }
    }

    @Override
    protected MessageWriter controlStatement(String text) {
        Matcher feed = FEED.matcher(text);
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
        Matcher copied = COPIED.matcher(text);
        if (copied.matches()) {
            Long at;
            synchronized (this) {
                at = copies.get(copied.group(1));
            }
            return new MessageWriter()
                    .singleColumnResult(
                            "copied", (at == null ? "" : String.valueOf(at)).getBytes(StandardCharsets.US_ASCII))
                    .commandComplete("SELECT 1")
                    .readyForQuery();
        }
        return null;
    }

    // ---- Txns ---------------------------------------------------------------------------------------------

    @Override
    protected void halt() {
        while (hung && alive) {
            StandInThreads.sleep(5);
        }
    }

    @Override
    protected int holds() {
        return held.get();
    }

    @Override
    protected void saw(String text) {
        arrived.set(System.currentTimeMillis());
        ground.reached.add(new HostFleet.Reached(id, Statement.parse(text).parameter("id"), arrived.get()));
    }

    @Override
    protected MessageWriter run(String text) {
        Statement statement = Statement.parse(text);
        Matcher form = KEY.matcher(text.substring(text.indexOf('\'') - (statement.isWrite() ? 8 : 5)));
        if (statement.parseError() != null || !form.matches()) {
            return new MessageWriter().error("ERROR", "08P01", "no statement of this form", null);
        }
        if (held.incrementAndGet() > MOST_HELD) {
            held.decrementAndGet();
            return said().error("ERROR", "53300", "full", null);
        }
        try {
            cores.acquireUninterruptibly();
            try {
                StandInThreads.sleep(WORK_MILLIS);
            } finally {
                cores.release();
            }
            if (System.currentTimeMillis() - arrived.get() > Long.parseLong(statement.parameter("d"))) {
                return said().error("ERROR", "53300", "the request is over", null);
            }
            return statement.isWrite()
                    ? write(statement, form.group(1), form.group(2))
                    : read(statement, form.group(1));
        } finally {
            held.decrementAndGet();
        }
    }

    private MessageWriter read(Statement statement, String key) {
        Entry entry;
        MessageWriter said;
        synchronized (this) {
            entry = data.get(statement.parameter("t") + "/" + key);
            said = said();
        }
        long version = entry == null ? 0 : entry.version();
        ran(statement, key, false, version);
        return said.singleColumnResult(
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
            Entry before = "token".equals(statement.parameter("c")) ? known.get(statement.parameter("id")) : null;
            entry = before != null
                    ? before
                    : append(statement.parameter("id"), statement.parameter("t"), key, version, 0);
            length = log.size();
            if (before == null) {
                ran(statement, key, true, version);
            }
        }
        if (loseAnswers.get() > 0 && loseAnswers.decrementAndGet() >= 0) {
            return null;
        }
        // It is answered when a replica has it, too.
        long until = System.currentTimeMillis() + 100;
        while (System.currentTimeMillis() < until
                && alive
                && ground.members(group).stream().noneMatch(m -> m != this && m.alive && m.received() >= length)) {
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

    private void ran(Statement statement, String key, boolean write, long version) {
        ground.ran.add(new HostFleet.Ran(
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
                    : asOf;
        }
    }

    /** The version it has of a key. */
    synchronized long version(String tenant, String key) {
        Entry entry = data.get(tenant + "/" + key);
        return entry == null ? 0 : entry.version();
    }
}
