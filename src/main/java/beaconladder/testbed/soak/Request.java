package beaconladder.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/** One request as its client and the hosts observed it; times in nanoseconds are those of {@code System.nanoTime}. */
final class Request {
    /** The outcome of a request as its client observed it. */
    enum Outcome {
        /** No outcome yet. */
        PENDING,
        /** Answered with a row. */
        SERVED,
        /** Rejected with SQLSTATE 53300 or 57P03; a write that is rejected must not have run on any host. */
        REFUSED,
        /** Answered with any other error. */
        FAILED,
        /** The client closed its connection without waiting for the answer. */
        LEFT,
        /** The connection was reset before an answer, so the router may not have read the request. */
        UNREAD,
        /** The connection was closed before or within the answer. */
        CUT,
        /** No answer arrived in time, on an open connection. */
        SILENT
    }

    /**
     * The arrival of one attempt at a host.
     *
     * @param host the number of the host
     * @param group the group of the host
     * @param arrivedAtNanos when it arrived
     * @param ran whether the host ran the request, or may have
     * @param leavingSinceNanos when discovery began to list the host as leaving, or 0
     * @param positionMillis the log position that the host had applied, in Unix milliseconds
     * @param wallMillis when it arrived, in Unix milliseconds
     * @param remainingMillis the remaining time that the router stated in the statement's comment
     */
    record Arrival(
            int host,
            int group,
            long arrivedAtNanos,
            boolean ran,
            long leavingSinceNanos,
            long positionMillis,
            long wallMillis,
            long remainingMillis) {}

    /** The longest time that a client waits for a request of any kind. */
    private static final long MAX_BUDGET_MILLIS = 2_000;

    final String id;
    final RequestKind kind;
    /** How long the client waits for the answer. */
    final int budgetMillis;

    final int router;
    final int group;
    /** The number of queries pipelined before this one in the same write. */
    private final int queriesAhead;

    final long sentAtNanos;
    private final List<Arrival> arrivals = new ArrayList<>();
    private Outcome outcome = Outcome.PENDING;
    private String code = "";
    private long endedAtNanos;

    Request(String id, RequestKind kind, int budgetMillis, int router, int group, int queriesAhead, long sentAtNanos) {
        this.budgetMillis = budgetMillis;
        this.queriesAhead = queriesAhead;
        this.id = id;
        this.kind = kind;
        this.router = router;
        this.group = group;
        this.sentAtNanos = sentAtNanos;
    }

    /**
     * Returns the longest time that a pipelined query can have waited for the answers before it; this time does not
     * count against its budget.
     */
    long maxPipelineWaitNanos() {
        return queriesAhead * MAX_BUDGET_MILLIS * 1_000_000L;
    }

    /** Returns when the client's budget ends if the query was not pipelined. */
    long deadlineNanos() {
        return sentAtNanos + budgetMillis * 1_000_000L;
    }

    /** Records an arrival at a host. */
    synchronized void addArrival(Arrival arrival) {
        arrivals.add(arrival);
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /**
     * Records the outcome.
     *
     * @param finalCode the SQLSTATE of a rejection or the text of an error, otherwise empty
     * @param atNanos when the client observed it
     */
    synchronized void end(Outcome finalOutcome, String finalCode, long atNanos) {
        outcome = finalOutcome;
        code = finalCode;
        endedAtNanos = atNanos;
    }

    synchronized Outcome outcome() {
        return outcome;
    }

    synchronized String code() {
        return code;
    }

    synchronized long endedAtNanos() {
        return endedAtNanos;
    }

    /**
     * Returns the statement; the row of its answer holds the request's id.
     *
     * @param afterMillis the position that a session's read must include, in Unix milliseconds, or 0 for none
     */
    String statement(long afterMillis) {
        String comment = " /* id=" + id + ",c=" + kind.label + ",t=acme,d=" + budgetMillis + ",cluster=" + group
                + (kind == RequestKind.SESSION && afterMillis > 0 ? ",after=" + afterMillis : "") + " */";
        return kind.writes()
                ? "INSERT INTO items (id, doc) VALUES ('" + id + "', '\\x9f03') RETURNING doc" + comment
                : "SELECT doc FROM items WHERE id = '" + id + "'" + comment;
    }

    @Override
    public synchronized String toString() {
        StringBuilder text = new StringBuilder(id + " " + kind + " router " + router + " " + outcome + " " + code
                + " after " + (endedAtNanos - sentAtNanos) / 1_000_000 + " ms;");
        for (Arrival arrival : arrivals) {
            text.append(" host ")
                    .append(arrival.host())
                    .append(" at ")
                    .append((arrival.arrivedAtNanos() - sentAtNanos) / 1_000_000)
                    .append(arrival.ran() ? " ran" : " not run")
                    .append(", lag ")
                    .append(arrival.wallMillis() - arrival.positionMillis())
                    .append(", remaining time ")
                    .append(arrival.remainingMillis())
                    .append(';');
        }
        return text.toString();
    }
}
