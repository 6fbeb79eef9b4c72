package review;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.testbed.HostStandIn;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A group of database hosts that behave soundly: the primary has all commits, a replica has all up to its position,
 * which is some milliseconds behind; a write is answered when the replicas have it. The primary can copy one tenant's
 * data from another group, as docs/cells.md asks of hosts: `on` begins a new copy, `off` ends it, `drop` also drops the
 * data.
 */
final class HostGroup {
    private static final Pattern KEY_AND_VALUE =
            Pattern.compile("(?:id = |VALUES \\()'([^']*)'(?:, '\\\\x([0-9a-f]*)')?.*", Pattern.DOTALL);
    private static final Pattern FEED =
            Pattern.compile("SET beaconladder.feed = '(\\S+) (on|off|drop)(?: .*:(\\d+))?'");
    private static final Pattern COPIED =
            Pattern.compile("SELECT copied FROM beaconladder_feeds WHERE tenant = '(\\S+)'");
    private static final int LAG_MILLIS = 5;

    /** A commit; a key of null drops the tenant's data. */
    record Commit(long position, String tenant, String key, long version) {}

    /** A copy of a tenant's data: everything up to {@code readyAt} counts as copied only from then on. */
    private static final class Feed {
        private HostGroup source;
        private long readyAt;
        private int taken;
        private boolean on;
        /** What was copied up to when, in the order in which it was noted: {noted at, copied up to}. */
        private final List<long[]> progress = new ArrayList<>();
    }

    final Rig rig;
    final int number;
    final List<Member> members = new ArrayList<>();
    private final List<Commit> log = new ArrayList<>();
    private final Map<String, Feed> feeds = new HashMap<>();
    private final SplittableRandom random;
    /** How long the first copy of a tenant takes. */
    volatile int copyMillis;
    /** The mean of a write's work, drawn from an exponential distribution; 0 for 3 ms each. */
    volatile int meanWriteMillis;

    HostGroup(Rig rig, int number, int size, long seed) throws IOException {
        this.rig = rig;
        this.number = number;
        random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            members.add(new Member(this, "h" + number + "-" + i, i == 0));
        }
        Thread copier = new Thread(() -> {
            while (true) {
                Rig.sleep(2);
                copy();
            }
        });
        copier.setDaemon(true);
        copier.start();
    }

    private synchronized Commit commit(String tenant, String key, long version) {
        long last = log.isEmpty() ? 0 : log.get(log.size() - 1).position();
        Commit commit = new Commit(Math.max(last, System.currentTimeMillis()), tenant, key, version);
        log.add(commit);
        return commit;
    }

    /** Returns the version of a key at a position; 0 for none. */
    synchronized long version(String tenant, String key, long position) {
        long version = 0;
        for (Commit commit : log) {
            if (commit.position() <= position
                    && commit.tenant().equals(tenant)
                    && (commit.key() == null || commit.key().equals(key))) {
                version = commit.key() == null ? 0 : commit.version();
            }
        }
        return version;
    }

    private synchronized List<Commit> commits() {
        return List.copyOf(log);
    }

    /** Copies what the sources of the feeds have gained. */
    private void copy() {
        Map<String, Feed> current;
        synchronized (this) {
            current = Map.copyOf(feeds);
        }
        current.forEach((tenant, feed) -> {
            // A commit later in the current millisecond is not in the list yet.
            long upTo = System.currentTimeMillis() - 1;
            List<Commit> source = feed.source.commits();
            synchronized (this) {
                if (!feed.on || System.currentTimeMillis() < feed.readyAt) {
                    return;
                }
                for (Commit commit : source.subList(feed.taken, source.size())) {
                    if (commit.tenant().equals(tenant)) {
                        commit(tenant, commit.key(), commit.version());
                    }
                }
                feed.taken = source.size();
                feed.progress.add(new long[] {System.currentTimeMillis(), upTo});
            }
        });
    }

    private synchronized void feed(String tenant, String verb, String port) {
        rig.note("group " + number + ": feed of " + tenant + " " + verb);
        Feed old = feeds.get(tenant);
        if (verb.equals("on")) {
            commit(tenant, null, 0);
            Feed feed = new Feed();
            feed.source = rig.memberAt(Integer.parseInt(port)).group;
            feed.readyAt = System.currentTimeMillis() + copyMillis;
            feed.on = true;
            feeds.put(tenant, feed);
            return;
        }
        if (old != null && old.on) {
            old.on = false;
        }
        if (verb.equals("drop")) {
            feeds.remove(tenant);
            commit(tenant, null, 0);
        }
    }

    /** Returns up to when a member that is behind by so much has copied the tenant's data; 0 for not yet. */
    private synchronized long copied(String tenant, int behindMillis) {
        Feed feed = feeds.get(tenant);
        long at = System.currentTimeMillis() - behindMillis;
        long upTo = 0;
        for (long[] each : feed == null ? List.<long[]>of() : feed.progress) {
            upTo = each[0] < at ? each[1] : upTo;
        }
        return upTo;
    }

    /** A host of the group. */
    static final class Member extends HostStandIn {
        final HostGroup group;
        final String id;
        private final boolean primary;

        Member(HostGroup group, String id, boolean primary) throws IOException {
            super(primary ? "leader" : "follower");
            this.group = group;
            this.id = id;
            this.primary = primary;
        }

        @Override
        protected long position() {
            // The constructor of the stand-in does not call this before the group is set.
            return System.currentTimeMillis() - (primary ? 0 : LAG_MILLIS + 1);
        }

        @Override
        protected void saw(String text) {}

        @Override
        protected MessageWriter controlStatement(String text) {
            Matcher feed = FEED.matcher(text);
            if (feed.matches()) {
                if (primary) {
                    group.feed(feed.group(1), feed.group(2), feed.group(3));
                }
                return new MessageWriter().commandComplete("SET").readyForQuery();
            }
            Matcher copied = COPIED.matcher(text);
            if (copied.matches()) {
                long until = group.copied(copied.group(1), primary ? 0 : LAG_MILLIS + 1);
                return new MessageWriter()
                        .singleColumnResult(
                                "copied", (until == 0 ? "" : "" + until).getBytes(StandardCharsets.US_ASCII))
                        .commandComplete("SELECT 1")
                        .readyForQuery();
            }
            return null;
        }

        @Override
        protected MessageWriter run(String text) {
            long arrived = System.currentTimeMillis();
            Statement statement = Statement.parse(text);
            Matcher keyAndValue = KEY_AND_VALUE.matcher(text.substring(text.indexOf('\'') - (statement.isWrite() ? 8 : 5)));
            if (statement.parseError() != null || !keyAndValue.matches()) {
                return said().error("ERROR", "08P01", "no statement of this form", null);
            }
            String tenant = statement.parameter("t");
            String key = keyAndValue.group(1);
            if (!statement.isWrite()) {
                Rig.sleep(2);
                long position = primary ? Long.MAX_VALUE : position();
                long version = group.version(tenant, key, position);
                return said().singleColumnResult("doc", ByteBuffer.allocate(8).putLong(version).array())
                        .commandComplete("SELECT 1");
            }
            if (!primary) {
                return said().error("ERROR", "25006", "no primary", null);
            }
            double draw;
            synchronized (group) {
                draw = group.random.nextDouble();
            }
            Rig.sleep(group.meanWriteMillis == 0 ? 3 : (long) (-group.meanWriteMillis * Math.log(1 - draw)));
            if (System.currentTimeMillis() - arrived > Long.parseLong(statement.parameter("d"))) {
                return said().error("ERROR", "53300", "the request is over", null);
            }
            Commit commit = group.commit(tenant, key, Long.parseUnsignedLong(keyAndValue.group(2), 16));
            group.rig.note("ran " + statement.parameter("id") + " at " + id + ": " + tenant + "/" + key + " = "
                    + commit.version());
            Rig.sleep(LAG_MILLIS + 2);
            return new MessageWriter()
                    .parameterStatus("node_role", "leader")
                    .parameterStatus("replay_position", String.valueOf(commit.position()))
                    .singleColumnResult("doc", ByteBuffer.allocate(8).putLong(commit.version()).array())
                    .commandComplete("INSERT 0 1");
        }
    }
}
