package beaconladder.rollout;

import org.apache.commons.math3.special.Beta;

/**
 * Bounds for a share that may be evaluated after each request without more false alarms: Robbins's mixture (1970), here
 * the Beta mixture of Bernoulli likelihoods, whose ratio at the true share exceeds 1/alpha at any time with a
 * probability of at most alpha (Ville). As there, the bound holds at all times together. Changed here: counts are first
 * divided by how much more the routers of one arm differ from each other than by chance (quasi-likelihood, McCullagh
 * and Nelder), since requests that fail together are not independent.
 */
public final class ConfidenceSequence {
    private static final int BISECTIONS = 40;

    /** An interval that holds the share at all times, except with the stated probability. */
    public record Interval(double low, double high) {}

    private ConfidenceSequence() {}

    /**
     * The interval for a share.
     *
     * @param trials may be fractional, after division by the overdispersion
     * @param bad how many of the trials were lost
     * @param alpha the probability that the interval ever misses the true share
     */
    public static Interval interval(double trials, double bad, double alpha) {
        if (trials <= 0) {
            return new Interval(0, 1);
        }
        double good = Math.max(0, trials - bad);
        double logMixture = Beta.logBeta(bad + 0.5, good + 0.5) - Beta.logBeta(0.5, 0.5);
        double leastLogLikelihood = logMixture + Math.log(alpha);
        double estimate = Math.min(1, Math.max(0, bad / trials));
        return new Interval(
                edge(0, estimate, bad, good, leastLogLikelihood), edge(1, estimate, bad, good, leastLogLikelihood));
    }

    /**
     * The share between an end and the estimate at which the log likelihood falls below the least one, by bisection.
     */
    private static double edge(double end, double estimate, double bad, double good, double leastLogLikelihood) {
        if (logLikelihood(end, bad, good) >= leastLogLikelihood) {
            return end;
        }
        double outside = end;
        double inside = estimate;
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = (outside + inside) / 2;
            if (logLikelihood(middle, bad, good) >= leastLogLikelihood) {
                inside = middle;
            } else {
                outside = middle;
            }
        }
        return inside;
    }

    private static double logLikelihood(double share, double bad, double good) {
        return (bad == 0 ? 0 : bad * Math.log(share)) + (good == 0 ? 0 : good * Math.log1p(-share));
    }
}
