package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router's part: one task that polls one relay, takes what it lacks, puts it in force or refuses it, and says so with
 * its next poll. It never asks the log: four thousand routers that have lost all relays would be the end of the
 * grantors, on whom leases hang too. What it has stays in force, and it says how old that is.
 */
public final class Subscriber implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Subscriber.class);
    /** A relay answers after so long at the latest; so long a dead one is not missed. */
    static final int WAIT_MILLIS = 1_000;
    /** What an answer may take beyond that; with the wait, two thirds of the 3 s that a change may take. */
    private static final int SLACK_MILLIS = 800;
    /**
     * After a round in which no relay answered in time, so many times that at the most: relays that are slow from load
     * would else be asked again and again, and heard by nobody.
     */
    private static final int MOST_PATIENCE = 4;
    /** So many answers in time after that, and it is a step less. */
    private static final int ANSWERS_A_STEP = 16;
    /** A relay whose word is older asks nobody who knows: two of its own time-outs, and an election. */
    static final long STALE_MILLIS = 2_000;
    /** After no relay has answered: full jitter up to here, so that a region that heals asks evenly. */
    private static final int BACKOFF_MILLIS = 2_000;
    /** A disk that failed is tried again after so long. */
    private static final int DISK_REST_MILLIS = 500;
    /** From a relay that is not the first back to the first: 3 to 9 s. */
    private static final long BACK_MILLIS = 6_000;

    private final RelaySelector links;
    private final String name;
    private final long life;
    private final Applier applier;
    private final ApplyResult taking;
    private final StateStore disk;
    private final SplittableRandom chance;
    private VersionedState held;
    private long inForce;
    private long refused;
    private boolean whole;
    private int patience = 1;
    private int answers;
    private volatile long heard;
    private volatile boolean known;
    private volatile boolean closed;

    /**
     * One that does nothing before it is run.
     *
     * @param life larger than at any start of this router before
     * @param relays by name
     * @param store the folder for its state, or null: then a start with no relay there has nothing
     * @throws IOException where the folder can't be used or is damaged
     */
    public Subscriber(String name, long life, Map<String, InetSocketAddress> relays, Path store, Applier applier)
            throws IOException {
        this(name, life, relays, store, applier, ApplyResult.WHOLE);
    }

    Subscriber(
            String name,
            long life,
            Map<String, InetSocketAddress> relays,
            Path store,
            Applier applier,
            ApplyResult taking)
            throws IOException {
        this.name = name;
        this.life = life;
        this.applier = applier;
        this.taking = taking;
        disk = new StateStore(store);
        held = disk.kept().state();
        chance = new SplittableRandom(life ^ name.hashCode());
        links = new RelaySelector(name, relays, chance);
    }

    /** The version in force; 0 for none. */
    public synchronized long appliedVersion() {
        return inForce;
    }

    /** What was in force when this router ended, to start with; nothing at a first start. */
    public VersionedState storedState() {
        return disk.kept().state();
    }

    /** How long ago it was known to be the newest, in milliseconds; or Long.MAX_VALUE where it never was. */
    public long ageMillis() {
        return known ? (System.nanoTime() - heard) / 1_000_000 : Long.MAX_VALUE;
    }

    @Override
    public void run() {
        while (!closed) {
            try {
                poll();
            } catch (IOException | RuntimeException e) {
                if (links.failed() && !closed) {
                    patience = Math.min(MOST_PATIENCE, patience + 1);
                    answers = 0;
                    fromDisk();
                    LOG.warn(
                            "{}: no relay answers ({}); version {} stays in force, {} ms old",
                            name,
                            e,
                            appliedVersion(),
                            ageMillis());
                    pause(chance.nextInt(BACKOFF_MILLIS));
                }
            }
        }
        links.close();
        disk.close();
    }

    private void poll() throws IOException {
        disk.settle();
        int wait = links.quick() ? 0 : WAIT_MILLIS;
        HttpFetcher relay = links.use();
        String text = relay.get(
                "/v1/feed?since=" + taking.since(held) + "&wait=" + wait + "&name=" + name
                        + "&life=" + life + "&force=" + inForce + "&refused=" + refused
                        + (links.counts() ? "&counts=1" : "") + (links.settled() ? "&patient=1" : "")
                        + (whole ? "&whole=1" : ""),
                wait + patience * SLACK_MILLIS,
                patience * SLACK_MILLIS);
        if (patience > 1 && ++answers == ANSWERS_A_STEP) {
            patience--;
            answers = 0;
        }
        if (closed) {
            return;
        }
        Update told = FeedJson.read(text, Update.class);
        long before = held.version();
        try {
            if (!take(taking.take(held, told))) {
                pause(DISK_REST_MILLIS);
                return;
            }
            whole = false;
        } catch (IOException e) {
            // Once more, and whole; where that doesn't fit either, the relay is of no use.
            boolean again = !whole;
            whole = true;
            LOG.warn("{}: what relay {} told is void: {}", name, links.relay(), e.getMessage());
            if (!again) {
                throw e;
            }
            return;
        }
        boolean fresh = told.lagMillis() <= STALE_MILLIS && told.version() >= before;
        if (told.version() >= before) {
            long at = System.nanoTime() - Math.max(0, told.lagMillis()) * 1_000_000;
            heard = known ? Math.max(heard, at) : at;
            known = true;
        }
        links.answered(fresh);
    }

    /** Puts a version in force, or refuses it; false where it could not be written yet. */
    private synchronized boolean take(VersionedState next) {
        if (next.version() == refused || next.version() == held.version() && inForce == held.version()) {
            return true;
        }
        StateStore.Kept before = disk.kept();
        try {
            applier.validate(next);
        } catch (IOException e) {
            refuse(next, e);
            return true;
        }
        try {
            // Before it is in force: after a kill right now this router must not go back.
            disk.keep(next, System.currentTimeMillis());
        } catch (IOException e) {
            // A disk that is full, or fails, says nothing of the version.
            LOG.warn(
                    "{}: version {} can't be written yet, {} stays in force: {}",
                    name,
                    next.version(),
                    inForce,
                    e.getMessage());
            return false;
        }
        try {
            applier.apply(next);
            inForce = next.version();
            refused = 0;
            held = next;
        } catch (IOException e) {
            disk.putBack(before);
            refuse(next, e);
        }
        return true;
    }

    private void refuse(VersionedState next, IOException why) {
        LOG.warn("{}: version {} is refused, {} stays in force: {}", name, next.version(), inForce, why.getMessage());
        refused = next.version();
        held = next;
    }

    /** A start with no relay there: on with what was in force before, until a relay has something newer. */
    private synchronized void fromDisk() {
        if (held.version() > 0 && inForce == 0 && refused == 0) {
            heard = System.nanoTime()
                    - Math.max(0, System.currentTimeMillis() - disk.kept().heard()) * 1_000_000;
            known = true;
            try {
                applier.validate(held);
                applier.apply(held);
                inForce = held.version();
                LOG.info("{}: no relay answers; version {} is in force from the disk", name, inForce);
            } catch (IOException e) {
                LOG.warn("{}: version {} on the disk is refused: {}", name, held.version(), e.getMessage());
                refused = held.version();
            }
        }
    }

    private void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    /** Ends it, also a poll in hand. */
    @Override
    public void close() {
        closed = true;
        links.close();
    }

    /** When to look again for the first relay, from now. */
    static long back(SplittableRandom chance) {
        return (BACK_MILLIS / 2 + chance.nextLong(BACK_MILLIS)) * 1_000_000;
    }
}
