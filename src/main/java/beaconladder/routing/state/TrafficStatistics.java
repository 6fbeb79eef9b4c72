package beaconladder.routing.state;

import beaconladder.routing.state.RequestClass.Consistency;
import java.util.List;

/** The settings of this router, and statistics of the requests that arrived and ended lately. */
public final class TrafficStatistics {
    public static final long MILLISECOND = 1_000_000L;
    public static final long NEVER = Long.MAX_VALUE;
    public static final long UNSET = Long.MIN_VALUE;

    public final RouterSettings settings;

    public final List<RequestClass> requestClasses;
    public final double maxWeight;
    /** The tightest bound of a request class; a second where none is stated. */
    public final long tightestStalenessNanos;
    /** The types of the requests that came last. */
    public final RequestClassMix recentClasses;
    /** Their value; less than 0 while it is to be summed again. */
    private double recentWeight = -1;
    /** Times of the last answers, each with what its host had said that it held when it was sent. */
    public final SampleWindow responseTimesByLoad = new SampleWindow(48);
    /** How old the positions of replicas were when they last came with a probe. */
    public final SampleWindow reportedLags = new SampleWindow(32);
    /** How long the last clients that left had waited, in thousandths of their SLA time. */
    public final SampleWindow disconnectWaits = new SampleWindow(16);
    /** How the last attempts ended at hosts that had lately answered: 1 for no good answer. */
    public final SampleWindow failuresAtLiveHosts = new SampleWindow(48);
    /** How the last requests ended: 1 for a commit. */
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

    /** Allowed unless the settings say no; there, members are trusted without one. */
    public boolean probesAllowed() {
        return settings.probesAllowed();
    }

    /** The value of the requests that came last. */
    public double recentWeight() {
        if (recentWeight < 0) {
            recentWeight = requestClasses.stream()
                    .mapToDouble(requestClass -> recentClasses.count(requestClass.index()) * requestClass.weight())
                    .sum();
        }
        return recentWeight;
    }

    /** One more has come. */
    public void recordArrival(RequestClass requestClass) {
        recentClasses.record(requestClass.index());
        recentWeight = -1;
    }

    /** The mean value of the requests that come here, in which prices are reckoned. */
    public double meanWeight() {
        return recentClasses.size() == 0 ? maxWeight : recentWeight() / recentClasses.size();
    }

    /** A request whose SLA time had not ended when it came has ended, in time or not. */
    public void recordSlaResult(Request request, boolean withinSla) {
        if (request.arrivedNanos < request.slaEndNanos) {
            request.requestClass.slaResults().add(withinSla ? 1 : 0, 0, request.arrivedNanos);
        }
    }

    /** A request has ended without a commit. */
    public void recordFailure(Request request, long now) {
        commits.add(0, 0, now);
        request.group.commitShares.add(0, 0, now);
        request.group.warmCommitShares.add(0, 0, now);
        request.group.warmCommits.add(0, 0, now);
    }

    /**
     * A request has been committed.
     *
     * @param members how many members were there to bear it
     * @param warmMembers how many of them were warm, if a warm one did, else 0
     */
    public void recordCommit(Request request, int members, int warmMembers, long now) {
        commits.add(1, 0, now);
        request.group.commitShares.add(Group.WHOLE_SHARE / Math.max(1, members), 0, now);
        request.group.warmCommitShares.add(warmMembers == 0 ? 0 : Group.WHOLE_SHARE / warmMembers, 0, now);
        request.group.warmCommits.add(warmMembers == 0 ? 0 : 1, 0, now);
    }
}
