package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.TrafficStatistics;
import java.util.SplittableRandom;

/** Detects faulty hosts by the outcomes of this router's attempts and probes. */
record OutlierDetector(TrafficStatistics traffic, SplittableRandom random) {
    /** Reports are up to a quarter second old on arrival; older ones are obsolete. */
    static final long REPORT_MAX_AGE_NANOS = 300 * MILLISECOND;
    /** A probe is answered within a few milliseconds and a tick; a host that takes longer is passed over. */
    static final long PROBE_TIMEOUT_NANOS = 40 * MILLISECOND;
    /** How long the outcome of an attempt counts for the estimated probability of success. */
    private static final long OUTCOME_PERIOD_NANOS = 20_000 * MILLISECOND;
    /** The probability that a host is faulty before any outcome is known. */
    private static final double FAULTY_PRIOR = 0.2;

    private static final double HEALTHY_PRIOR = 0.8;
    /** How often attempts at a faulty host fail, and how often they succeed. */
    private static final double FAULTY_FAILURE_RATE = 0.9;

    private static final double FAULTY_SUCCESS_RATE = 0.1;
    /** The failure rate of live hosts starts from one failure in ten outcomes. */
    private static final int PRIOR_FAILURES = 1;

    private static final double PRIOR_OUTCOMES = 10.0;
    /** How long a response time counts as recent information on the load. */
    private static final long RESPONSE_INFORMATION_NANOS = 3_000 * MILLISECOND;
    /** Fewer response times than this are no basis for a mean. */
    private static final int MIN_SAMPLES = 4;
    /** The typical response time without any sample, and its lower bound. */
    private static final long DEFAULT_RESPONSE_NANOS = 200 * MILLISECOND;

    private static final long MIN_RESPONSE_NANOS = 20 * MILLISECOND;
    /**
     * The silence score above which a host is suspect. A healthy host exceeds it with probability e^-6 per check, and a
     * single heavy request may still take six typical response times.
     */
    private static final int SUSPECT_SILENCE = 6;
    /**
     * The shortest time between two draws of a suspect host, so that many queued requests don't draw until one wins.
     */
    private static final long TRIAL_INTERVAL_NANOS = 250 * MILLISECOND;

    /** Whether the host reported its load recently. */
    boolean hasRecentReport(Host host, long now) {
        return host.reportedInFlight >= 0 && now - host.lastReportNanos <= REPORT_MAX_AGE_NANOS;
    }

    /**
     * Returns the probability that this host answers this router in time, by the outcomes of the last twenty seconds. A
     * host is taken to be either healthy, with the failure rate of live hosts, or, one in five, faulty, with nine
     * failures in ten attempts.
     *
     * <p>This guards against false load reports, such as an idle or frozen load of a slow host: outcomes outweigh
     * reports. It covers slow, degrading and hung hosts too. Where answers are lost everywhere, live hosts fail often
     * as well, and no host is avoided for it. The drawback is that a single heavy request at a host counts against it.
     */
    double successProbability(Host host, long now) {
        long periodStartNanos = now - OUTCOME_PERIOD_NANOS;
        int successes = (int) host.successes.sumSince(periodStartNanos);
        int failures = host.successes.countSince(periodStartNanos) - successes;
        for (Attempt attempt : host.inFlight) {
            failures += now - attempt.sentNanos > attempt.request.requestClass.slaNanos() ? 1 : 0;
        }
        double backgroundFailureRate = (PRIOR_FAILURES + traffic.failuresAtLiveHosts.sumSince(periodStartNanos))
                / (PRIOR_OUTCOMES + traffic.failuresAtLiveHosts.countSince(periodStartNanos));
        double faultyLikelihood =
                FAULTY_PRIOR * Math.pow(FAULTY_FAILURE_RATE, failures) * Math.pow(FAULTY_SUCCESS_RATE, successes);
        double healthyLikelihood = HEALTHY_PRIOR
                * Math.pow(backgroundFailureRate, failures)
                * Math.pow(1 - backgroundFailureRate, successes);
        return (FAULTY_SUCCESS_RATE * faultyLikelihood + (1 - backgroundFailureRate) * healthyLikelihood)
                / (faultyLikelihood + healthyLikelihood);
    }

    /**
     * Whether the host reported recently, or answers this router so often that its response times show its load too.
     */
    boolean hasRecentInformation(Host host, long now) {
        return now - host.lastReportNanos <= REPORT_MAX_AGE_NANOS
                || host.responseTimes.countSince(now - RESPONSE_INFORMATION_NANOS) >= MIN_SAMPLES;
    }

    /** Whether a probe of this host has been in flight for longer than its timeout. */
    boolean isProbeOverdue(Host host, long now) {
        return host.probeInFlight && now - host.lastProbeNanos > PROBE_TIMEOUT_NANOS;
    }

    /** Returns the mean response time of this host in nanoseconds, or of its group while it has too few samples. */
    long typicalResponseNanos(Host host) {
        double mean =
                host.responseTimes.size() >= MIN_SAMPLES ? host.responseTimes.mean() : host.group.responseTimes.mean();
        return mean == 0 ? DEFAULT_RESPONSE_NANOS : Math.max(MIN_RESPONSE_NANOS, (long) mean);
    }

    /**
     * Returns how far the silence of a host indicates a fault: the total time that its attempts in flight have waited
     * since its last response, in typical response times. With random answers at the usual rate, a score of x has the
     * probability e^-x.
     */
    private double silenceScore(Host host, long now) {
        return (double) host.totalWaitNanos(now) / typicalResponseNanos(host);
    }

    /** Whether this host has been silent for too long, or has only failed to respond since its last response. */
    boolean isSuspect(Host host, long now) {
        return silenceScore(host, now) > SUSPECT_SILENCE
                || host.responses.size() > 0
                        && host.responses.sumSince(host.lastResponseNanos) == 0
                        && host.responses.countSince(host.lastResponseNanos) > 0;
    }

    /**
     * Whether this host may receive a request. A suspect host receives one at a time, with its estimated probability of
     * success, by at most four draws a second.
     */
    boolean mayReceive(Host host, long now) {
        if (isProbeOverdue(host, now)) {
            return false;
        }
        if (!isSuspect(host, now)) {
            return true;
        }
        if (!host.inFlight.isEmpty() || now < host.lastTrialNanos + TRIAL_INTERVAL_NANOS) {
            return false;
        }
        host.lastTrialNanos = now;
        return random.nextDouble() < successProbability(host, now);
    }

    /** Records the response time with the load that the host had reported, if that was recent at the send. */
    void recordResponseTime(Attempt attempt, long now) {
        if (attempt.hostReportedInFlight >= 0 && attempt.sentNanos - attempt.hostReportNanos <= REPORT_MAX_AGE_NANOS) {
            traffic.responseTimesByLoad.add(now - attempt.sentNanos, Math.round(attempt.hostReportedInFlight), now);
        }
    }
}
