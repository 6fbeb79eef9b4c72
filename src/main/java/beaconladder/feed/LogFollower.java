package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A relay's task that follows the log: long GETs at the grantors, one after the other until the leader answers. With
 * each it hands in the sums of its routers' acknowledgements.
 */
final class LogFollower implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);
    /** So old is what a relay knows at rest; each relay asks twice a second then. */
    static final int WAIT_MILLIS = 500;
    /** A leader that says nothing for so long beyond that may be dead: the others are asked. */
    private static final int SLACK_MILLIS = 500;
    /** Heard in the last poll, or in the one in hand. */
    static final long FRESH_MILLIS = WAIT_MILLIS + 100;
    /** Between two rounds at grantors of whom none leads. */
    private static final int ROUND_MILLIS = 100;
    /**
     * A lone change goes on at once; while more come, routers are told in steps that grow from here to half a second,
     * so that a burst is a few answers to each of them and not one for each change.
     */
    private static final int STEP_MILLIS = 100;

    private static final int LONGEST_STEP_MILLIS = 500;
    /** Milliseconds that stand for never: thirty years. */
    private static final long NEVER = 1_000_000_000_000L;

    private final String name;
    private final List<HttpFetcher> doors;
    private final VersionNotifier board;
    private final AcknowledgementSummary tally;
    private final StateStore disk;
    private final SplittableRandom chance = new SplittableRandom();
    private int at;
    private boolean whole;
    private boolean away;
    private volatile long heard;
    private volatile boolean known;
    private volatile boolean closed;

    LogFollower(
            String name,
            List<InetSocketAddress> grantors,
            VersionNotifier board,
            AcknowledgementSummary tally,
            StateStore disk) {
        this.name = name;
        this.doors = grantors.stream().map(HttpFetcher::new).toList();
        this.board = board;
        this.tally = tally;
        this.disk = disk;
        this.at = Math.floorMod(name.hashCode(), doors.size());
    }

    /** How long ago the log's leader said that this relay's version is the newest. */
    long lagMillis() {
        return known ? Math.max(0, System.nanoTime() - heard) / 1_000_000 : NEVER;
    }

    @Override
    public void run() {
        int failed = 0;
        int step = 0;
        while (!closed) {
            try {
                boolean newer = poll();
                failed = 0;
                if (away) {
                    LOG.info(
                            "relay {} hears from the log again, version {}",
                            name,
                            board.current().newest().version());
                    away = false;
                }
                step = newer ? Math.min(LONGEST_STEP_MILLIS, step == 0 ? STEP_MILLIS : 2 * step) : 0;
                pause(step);
            } catch (IOException | RuntimeException e) {
                at = (at + 1) % doors.size();
                if (++failed % doors.size() == 0) {
                    pause(ROUND_MILLIS / 2 + chance.nextInt(ROUND_MILLIS));
                }
                if (!away && lagMillis() > Subscriber.STALE_MILLIS) {
                    LOG.warn("relay {} hears nothing from the log: {}", name, e.getMessage());
                    away = true;
                    // Who waits here is told so, and looks elsewhere.
                    board.wakeAll();
                }
            }
        }
        disk.close();
    }

    private boolean poll() throws IOException {
        VersionHistory before = board.current();
        RelayReport report = tally.report(before.newest().version(), lagMillis(), System.nanoTime());
        String text = doors.get(at)
                .get(
                        "/v1/feed?since=" + before.newest().version() + "&wait="
                                + WAIT_MILLIS + (whole ? "&whole=1" : "") + "&relay=" + name + "&report="
                                + URLEncoder.encode(FeedJson.text(report), StandardCharsets.UTF_8),
                        WAIT_MILLIS + SLACK_MILLIS,
                        SLACK_MILLIS);
        Update told = FeedJson.read(text, Update.class);
        VersionHistory next;
        try {
            next = before.merge(told);
            whole = false;
        } catch (IOException e) {
            whole = true;
            LOG.warn("relay {}: what a grantor told is void: {}", name, e.getMessage());
            throw e;
        }
        if (next.newest().version() != told.version() || !next.newest().digest().equals(told.digest())) {
            throw new IOException(
                    "the log is at version " + told.version() + " with digest " + told.digest() + ", this relay holds "
                            + next.newest().version() + " with " + next.newest().digest());
        }
        boolean newer = next.newest().version() > before.newest().version();
        if (newer) {
            disk.keep(next.newest(), System.currentTimeMillis());
        }
        // Before it is shown: who is woken by it is not to be told of the lag before it.
        heard = System.nanoTime();
        known = true;
        if (newer) {
            board.publish(next);
        }
        return newer;
    }

    private void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    @Override
    public void close() {
        closed = true;
        doors.forEach(HttpFetcher::close);
    }
}
