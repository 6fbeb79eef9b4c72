package beaconladder.routing.state;

/** One sending of a txn to a host. */
public final class Attempt {
    public final Request txn;
    public final int number;
    public final Host host;
    public final long sent;
    /** Submissions of this router that were out at the host once this one was. */
    public final int beside;
    /** What the host last said that it held, and when that was. */
    public final double holds;

    public final long saidAt;
    /** When the host had last started, as far as the decision knew. */
    public final long hostLaunched;
    /** What the slow start of its host asked of it. */
    public final SlowStartTicket ticket;

    public boolean ended;
    /** Whether its outcome proves that it never ran. */
    public boolean neverRan;

    public Attempt(Request txn, int number, Host host, long sent, int beside) {
        this(txn, number, host, sent, beside, SlowStartTicket.NOT_NEEDED);
    }

    public Attempt(Request txn, int number, Host host, long sent, int beside, SlowStartTicket ticket) {
        this.txn = txn;
        this.number = number;
        this.host = host;
        this.sent = sent;
        this.beside = beside;
        this.holds = host.holds;
        this.saidAt = host.saidAt;
        this.hostLaunched = host.launched;
        this.ticket = ticket;
    }
}
