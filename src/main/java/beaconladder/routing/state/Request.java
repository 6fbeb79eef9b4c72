package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.List;

/** A client's txn in the hands of one router. */
public final class Request {

    /** What a held txn may need to learn before it can go. */
    public enum Want {
        NOTHING,
        MEMBER,
        PRIMARY
    }

    public final long id;
    public final RequestClass type;
    public final Group group;
    /** The session's key; 0 for none. */
    public final long session;
    /** The position of the session's last write, as its client tells; Long.MIN_VALUE for none. */
    public final long written;

    public final int tenant;
    public final boolean repeated;
    public final long arrived;
    public final long expiry;
    /** Which txn of this router it is, counted from the start. */
    public final long number;

    public final List<Attempt> submissions = new ArrayList<>();
    /** The log position that its session needs; Long.MIN_VALUE for none. */
    public long target = Long.MIN_VALUE;
    /** The log position below which a member lacks what was copied to it; Long.MIN_VALUE for none. */
    public long floor = Long.MIN_VALUE;
    /** When an answer stops being in time. */
    public long slaEnd;
    /** What asking a member could bring to it while it is held. */
    public Want want = Want.NOTHING;
    /** Probes sent for its sake, and when the last one was. */
    public int asked;

    public long askedAt;
    public boolean known;
    /** Whether it has drawn for a ticket at a cold primary. */
    public boolean drew;
    /** Before then it is not sent again, as this machine had no connection to give. */
    public long retryAt = Long.MIN_VALUE;
    /** Submissions that never left this machine. */
    public int localFaults;

    public boolean ended;
    /** When its client was seen to have gone; Long.MAX_VALUE while it is there. */
    public long leftAt = Long.MAX_VALUE;
    /** When it is to be looked at again. */
    public long look = Long.MAX_VALUE;

    public Request(
            long id,
            RequestClass type,
            Group group,
            long session,
            long written,
            int tenant,
            boolean repeated,
            long arrived,
            long expiry,
            long number) {
        this.id = id;
        this.type = type;
        this.group = group;
        this.session = session;
        this.written = written;
        this.tenant = tenant;
        this.repeated = repeated;
        this.arrived = arrived;
        this.expiry = expiry;
        this.number = number;
    }

    /** How many submissions are still out. */
    public int out() {
        int n = 0;
        for (Attempt s : submissions) {
            if (!s.ended) {
                n++;
            }
        }
        return n;
    }

    /** Whether one of them is out at this host. */
    public boolean outAt(Host host) {
        return submissions.stream().anyMatch(s -> s.host == host && !s.ended);
    }

    /** The first submission that may have run, or null. */
    public Attempt mayHaveRun() {
        return mayHaveRunBefore(null);
    }

    /** The first submission but this one that may have run, or null. */
    public Attempt mayHaveRunBefore(Attempt next) {
        for (Attempt s : submissions) {
            if (s != next && !s.neverRan) {
                return s;
            }
        }
        return null;
    }
}
