package beaconladder.routing.state;

import beaconladder.routing.state.RequestClass.Consistency;
import java.util.List;

/** The settings of one router, and statistics of its recent requests and attempts. */
public final class TrafficStatistics {
    /** A millisecond in nanoseconds, the unit of all times here. */
    public static final long MILLISECOND = 1_000_000L;
    /** A time that is never reached. */
    public static final long NEVER = Long.MAX_VALUE;
    /** A time or position that is not known. */
    public static final long UNSET = Long.MIN_VALUE;

    public final RouterSettings settings;

    public final List<RequestClass> requestClasses;
    public final double maxWeight;
    /** The tightest staleness bound of a request class; a second where no class has one. */
    public final long tightestStalenessNanos;
    /** The request classes of the last arrivals. */
    public final RequestClassMix recentClasses;
    /** The cached total weight of those requests; less than 0 when it has to be recomputed. */
    private double recentWeight = -1;
    /** The last response times of all hosts, each with the load that its host had reported before the send. */
    public final SampleWindow responseTimesByLoad = new SampleWindow(48);
    /** The lags of replicas, in nanoseconds, by their last answers to probes. */
    public final SampleWindow reportedLags = new SampleWindow(32);
    /** How long the last clients that disconnected had waited, in thousandths of the SLA time. */
    public final SampleWindow disconnectWaits = new SampleWindow(16);
    /** How the last attempts at hosts with a recent success ended: 1 for a failure. */
    public final SampleWindow failuresAtLiveHosts = new SampleWindow(48);
    /** How the last requests ended: 1 for a commit, 0 otherwise. */
    public final SampleWindow commits = new SampleWindow(32);

    public TrafficStatistics(RouterSettings settings) {
        this.settings = settings;
        this.requestClasses = settings.requestClasses();
        this.recentClasses = new RequestClassMix(256, requestClasses.size());
        this.tightestStalenessNanos = requestClasses.stream()
                .filter(t -> t.consistency() == Consistency.BOUNDED)
                .mapToLong(RequestClass::maxStalenessNanos)
                .min()
                .orElse(1_000 * MILLISECOND);
        this.maxWeight =
                requestClasses.stream().mapToDouble(RequestClass::weight).max().orElse(1);
    }

    /** Whether hosts may be probed; if not, every listed host counts as reachable. */
    public boolean probesAllowed() {
        return settings.probesAllowed();
    }

    /** Returns the total weight of the last arrivals. */
    public double recentWeight() {
        if (recentWeight < 0) {
            recentWeight = requestClasses.stream()
                    .mapToDouble(requestClass -> recentClasses.count(requestClass.index()) * requestClass.weight())
                    .sum();
        }
        return recentWeight;
    }

    /** Records the arrival of a request of this class. */
    public void recordArrival(RequestClass requestClass) {
        recentClasses.record(requestClass.index());
        recentWeight = -1;
    }

    /** Returns the mean weight of the last arrivals, which is the unit of prices; without any, the maximum weight. */
    public double meanWeight() {
        return recentClasses.size() == 0 ? maxWeight : recentWeight() / recentClasses.size();
    }

    /** Records whether a request ended within its SLA time, unless that was over on arrival. */
    public void recordSlaResult(Request request, boolean withinSla) {
        if (request.arrivedNanos < request.slaEndNanos) {
            request.requestClass.slaResults().add(withinSla ? 1 : 0, 0, request.arrivedNanos);
        }
    }

    /** Records that a request has ended without a commit. */
    public void recordFailure(Request request, long now) {
        commits.add(0, 0, now);
        request.group.commitShares.add(0, 0, now);
        request.group.warmCommitShares.add(0, 0, now);
        request.group.warmCommits.add(0, 0, now);
    }

    /**
     * Records that a request has been committed.
     *
     * @param members the number of members that were ready
     * @param warmMembers the number of warm members if a warm one served the request, otherwise 0
     */
    public void recordCommit(Request request, int members, int warmMembers, long now) {
        commits.add(1, 0, now);
        request.group.commitShares.add(Group.WHOLE_SHARE / Math.max(1, members), 0, now);
        request.group.warmCommitShares.add(warmMembers == 0 ? 0 : Group.WHOLE_SHARE / warmMembers, 0, now);
        request.group.warmCommits.add(warmMembers == 0 ? 0 : 1, 0, now);
    }
}
