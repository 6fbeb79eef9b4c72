package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.TrafficStatistics;
import java.util.SplittableRandom;

/** Detects faulty hosts from how the attempts and probes of this router ended. */
record OutlierDetector(TrafficStatistics traffic, SplittableRandom random) {
    /** Reports are up to a quarter second old on arrival; older ones are obsolete. */
    static final long REPORT_MAX_AGE = 300 * MILLISECOND;
    /** A probe is answered within a few milliseconds and a tick; a host that takes longer is passed over. */
    static final long PROBE_TIMEOUT = 40 * MILLISECOND;

    /** Whether the host reported its load lately. */
    boolean hasRecentReport(Host host, long now) {
        return host.reportedInFlight >= 0 && now - host.lastReportNanos <= REPORT_MAX_AGE;
    }

    /**
     * The chance that this host answers this router in time, by how its attempts of the last twenty seconds ended: it
     * is well and fails as rarely as hosts do that also answer, or, one in five, it is not and fails nine times in ten.
     * Guards against reports that are not true, idle or stuck while the host is slow: what it says loses against what
     * it does. Covers slow, ageing and hung hosts too; where answers are lost all over, hosts that answer fail often as
     * well, and none is set aside for it. Harm: a heavy request alone at a host counts against it.
     */
    double successProbability(Host host, long now) {
        long since = now - 20_000 * MILLISECOND;
        int successes = (int) host.successes.sumSince(since);
        int failures = host.successes.countSince(since) - successes;
        for (Attempt attempt : host.inFlight) {
            failures += now - attempt.sentNanos > attempt.request.requestClass.slaNanos() ? 1 : 0;
        }
        double backgroundFailureRate = (1 + traffic.failuresAtLiveHosts.sumSince(since))
                / (10.0 + traffic.failuresAtLiveHosts.countSince(since));
        double faultyLikelihood = 0.2 * Math.pow(0.9, failures) * Math.pow(0.1, successes);
        double healthyLikelihood =
                0.8 * Math.pow(backgroundFailureRate, failures) * Math.pow(1 - backgroundFailureRate, successes);
        return (0.1 * faultyLikelihood + (1 - backgroundFailureRate) * healthyLikelihood)
                / (faultyLikelihood + healthyLikelihood);
    }

    /** Whether the host reported lately, or answers this router so often that its response times are as informative. */
    boolean hasRecentInformation(Host host, long now) {
        return now - host.lastReportNanos <= REPORT_MAX_AGE
                || host.responseTimes.countSince(now - 3_000 * MILLISECOND) >= 4;
    }

    boolean isProbeOverdue(Host host, long now) {
        return host.probeInFlight && now - host.lastProbeNanos > PROBE_TIMEOUT;
    }

    /** The mean response time of this host in nanoseconds, or of its group while it has too few samples. */
    long typicalResponseNanos(Host host) {
        double mean = host.responseTimes.size() >= 4 ? host.responseTimes.mean() : host.group.responseTimes.mean();
        return mean == 0 ? 200 * MILLISECOND : Math.max(20 * MILLISECOND, (long) mean);
    }

    /**
     * How much the silence of a host speaks against it: the waiting of all attempts out there since it last spoke, in
     * usual times. Answers that come at random at the usual rate stay silent so long with chance e^-x.
     */
    private double silenceScore(Host host, long now) {
        return (double) host.totalWaitNanos(now) / typicalResponseNanos(host);
    }

    /** Chance e^-6 a look: a heavy request alone at a host is still given six usual times. */
    boolean isSuspect(Host host, long now) {
        return silenceScore(host, now) > 6
                || host.responses.size() > 0
                        && host.responses.sumSince(host.lastResponseNanos) == 0
                        && host.responses.countSince(host.lastResponseNanos) > 0;
    }

    /** A suspect host gets one request at a time, drawn with its estimated probability of success. */
    boolean mayReceive(Host host, long now) {
        if (isProbeOverdue(host, now)) {
            return false;
        }
        if (!isSuspect(host, now)) {
            return true;
        }
        // Four draws a second at most, so that many queued requests don't draw until one wins.
        if (!host.inFlight.isEmpty() || now < host.lastTrialNanos + 250 * MILLISECOND) {
            return false;
        }
        host.lastTrialNanos = now;
        return random.nextDouble() < successProbability(host, now);
    }

    void recordResponseTime(Attempt attempt, long now) {
        if (attempt.hostInFlight >= 0 && attempt.sentNanos - attempt.hostReportNanos <= REPORT_MAX_AGE) {
            traffic.responseTimesByLoad.add(now - attempt.sentNanos, Math.round(attempt.hostInFlight), now);
        }
    }
}
