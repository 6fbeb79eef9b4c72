package beaconladder.routing.state;

/** One sending of a request to a host. */
public final class Attempt {
    public final Request request;
    public final int index;
    public final Host host;
    public final long sentNanos;
    /** Attempts of this router that were out at the host once this one was. */
    public final int hostConcurrency;
    /** What the host last said that it held, and when that was. */
    public final double hostInFlight;

    public final long hostReportNanos;
    /** When the host had last started, as far as the decision knew. */
    public final long hostLaunchedNanos;
    /** What the slow start of its host asked of it. */
    public final SlowStartTicket slowStartTicket;

    public boolean ended;
    /** Whether its outcome proves that it never ran. */
    public boolean neverRan;

    public Attempt(Request request, int index, Host host, long sentNanos, int hostConcurrency) {
        this(request, index, host, sentNanos, hostConcurrency, SlowStartTicket.NOT_NEEDED);
    }

    public Attempt(
            Request request,
            int index,
            Host host,
            long sentNanos,
            int hostConcurrency,
            SlowStartTicket slowStartTicket) {
        this.request = request;
        this.index = index;
        this.host = host;
        this.sentNanos = sentNanos;
        this.hostConcurrency = hostConcurrency;
        this.hostInFlight = host.reportedInFlight;
        this.hostReportNanos = host.lastReportNanos;
        this.hostLaunchedNanos = host.launchedNanos;
        this.slowStartTicket = slowStartTicket;
    }
}
