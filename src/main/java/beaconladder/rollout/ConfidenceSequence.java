package beaconladder.rollout;

import org.apache.commons.math3.special.Beta;

/**
 * Confidence intervals for a proportion that may be evaluated after each request without additional false alarms. They
 * use Robbins's mixture (1970), here the Beta mixture of Bernoulli likelihoods: its ratio to the likelihood of the true
 * proportion ever exceeds 1/alpha with a probability of at most alpha (Ville's inequality), so the bound holds at all
 * times together. Difference: the caller first divides the counts by the overdispersion, that is by how much more the
 * routers of one arm differ from each other than by chance (quasi-likelihood, McCullagh and Nelder), because requests
 * that fail together are not independent.
 */
public final class ConfidenceSequence {
    private static final int BISECTIONS = 40;
    /** Both parameters of the mixture's Beta distribution. */
    private static final double BETA_PARAMETER = 0.5;

    /** An interval that contains the true proportion at all times, except with probability alpha. */
    public record Interval(double low, double high) {}

    private ConfidenceSequence() {}

    /**
     * Returns the interval for the proportion of losses.
     *
     * @param trials the number of trials; fractional after division by the overdispersion
     * @param losses the number of trials that were lost
     * @param alpha the largest probability that the interval ever misses the true proportion
     */
    public static Interval interval(double trials, double losses, double alpha) {
        if (trials <= 0) {
            return new Interval(0, 1);
        }
        double successes = Math.max(0, trials - losses);
        double logMixture = Beta.logBeta(losses + BETA_PARAMETER, successes + BETA_PARAMETER)
                - Beta.logBeta(BETA_PARAMETER, BETA_PARAMETER);
        double minLogLikelihood = logMixture + Math.log(alpha);
        double estimate = Math.min(1, Math.max(0, losses / trials));
        return new Interval(
                bound(0, estimate, losses, successes, minLogLikelihood),
                bound(1, estimate, losses, successes, minLogLikelihood));
    }

    /**
     * Returns the proportion between an end and the estimate at which the log likelihood crosses the threshold, by
     * bisection.
     */
    private static double bound(double end, double estimate, double losses, double successes, double minLogLikelihood) {
        if (logLikelihood(end, losses, successes) >= minLogLikelihood) {
            return end;
        }
        double outside = end;
        double inside = estimate;
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = (outside + inside) / 2;
            if (logLikelihood(middle, losses, successes) >= minLogLikelihood) {
                inside = middle;
            } else {
                outside = middle;
            }
        }
        return inside;
    }

    private static double logLikelihood(double proportion, double losses, double successes) {
        return (losses == 0 ? 0 : losses * Math.log(proportion))
                + (successes == 0 ? 0 : successes * Math.log1p(-proportion));
    }
}
