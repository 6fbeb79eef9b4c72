package beaconladder.routing.state;

/** One send of a request to a host. */
public final class Attempt {
    public final Request request;
    public final int index;
    public final Host host;
    /** When it was decided; the bytes are sent later. */
    public final long sentNanos;
    /** This router's attempts in flight or abandoned at the host, including this one. */
    public final int hostConcurrency;
    /** The number of requests in flight that the host had last reported (less than 0 for none), and when. */
    public final double hostReportedInFlight;

    public final long hostReportNanos;
    /** The last start of the host known at the decision, by the hosts' clock. */
    public final long hostLaunchedNanos;
    /** Whether it needed and had a ticket of a host in slow start. */
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
        this.hostReportedInFlight = host.reportedInFlight;
        this.hostReportNanos = host.lastReportNanos;
        this.hostLaunchedNanos = host.launchedNanos;
        this.slowStartTicket = slowStartTicket;
    }
}
