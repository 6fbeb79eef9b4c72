package beaconladder.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/** One request, as its client and the hosts saw it; times are System.nanoTime's. */
final class Request {
    /** How it ended for its client. */
    enum End {
        PENDING,
        SERVED,
        REFUSED,
        FAILED,
        LEFT,
        UNREAD,
        CUT,
        SILENT
    }

    /**
     * One arrival at a host.
     *
     * @param ran whether the host ran it, or may have
     * @param leavingSince when the host was listed as leaving, or 0
     * @param position the log position that the host had applied, in Unix milliseconds
     * @param waitMillis the time that it was told
     */
    record Arrival(
            int host,
            int group,
            long at,
            boolean ran,
            long leavingSince,
            long position,
            long wallMillis,
            long waitMillis) {}

    /** No kind of request waits longer. */
    private static final long LONGEST_MILLIS = 2_000;

    final String id;
    final RequestKind kind;
    /** How long its client waits. */
    final int budgetMillis;

    final int router;
    final int group;
    /** How many queries were written ahead of it at once. */
    private final int ahead;

    final long sentAt;
    private final List<Arrival> arrivals = new ArrayList<>();
    private End end = End.PENDING;
    private String code = "";
    private long endedAt;

    Request(String id, RequestKind kind, int budgetMillis, int router, int group, int ahead, long sentAt) {
        this.budgetMillis = budgetMillis;
        this.ahead = ahead;
        this.id = id;
        this.kind = kind;
        this.router = router;
        this.group = group;
        this.sentAt = sentAt;
    }

    /** How long a query written ahead may have waited for the answer before it, whose time does not count. */
    long waitedAhead() {
        return ahead * LONGEST_MILLIS * 1_000_000L;
    }

    long deadline() {
        return sentAt + budgetMillis * 1_000_000L;
    }

    synchronized void arrived(Arrival arrival) {
        arrivals.add(arrival);
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    synchronized void ended(End how, String with, long at) {
        end = how;
        code = with;
        endedAt = at;
    }

    synchronized End end() {
        return end;
    }

    synchronized String code() {
        return code;
    }

    synchronized long endedAt() {
        return endedAt;
    }

    /** The statement; its row is to hold its id. */
    String statement(long after) {
        String comment = " /* id=" + id + ",c=" + kind.label + ",t=acme,d=" + budgetMillis + ",cluster=" + group
                + (kind == RequestKind.SESSION && after > 0 ? ",after=" + after : "") + " */";
        return kind.writes()
                ? "INSERT INTO items (id, doc) VALUES ('" + id + "', '\\x9f03') RETURNING doc" + comment
                : "SELECT doc FROM items WHERE id = '" + id + "'" + comment;
    }

    @Override
    public synchronized String toString() {
        StringBuilder all = new StringBuilder(id + " " + kind + " router " + router + " " + end + " " + code + " after "
                + (endedAt - sentAt) / 1_000_000 + " ms;");
        for (Arrival a : arrivals) {
            all.append(" host ")
                    .append(a.host())
                    .append(" at ")
                    .append((a.at() - sentAt) / 1_000_000)
                    .append(a.ran() ? " ran" : " not run")
                    .append(", lag ")
                    .append(a.wallMillis() - a.position())
                    .append(", told ")
                    .append(a.waitMillis())
                    .append(';');
        }
        return all.toString();
    }
}
