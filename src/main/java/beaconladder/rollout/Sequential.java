package beaconladder.rollout;

import org.apache.commons.math3.special.Beta;

/**
 * Bounds for a share that may be looked at after each txn without more false alarms: Robbins's mixture (1970), here the
 * Beta mixture of Bernoulli likelihoods, whose ratio at the true share exceeds 1/alpha at any time with a chance of at
 * most alpha (Ville). Kept: the bound holds at all times together. Changed: counts are first divided by how much more
 * routers of one arm differ from each other than chance has them (quasi-likelihood, McCullagh and Nelder), since txns
 * that fail together are no independent ones.
 */
public final class Sequential {
    private static final int HALVINGS = 40;

    /** A range that holds the share at all times, but for the chance stated. */
    public record Range(double low, double high) {}

    private Sequential() {}

    /**
     * The range for a share, of which so many trials told, so many of them bad.
     *
     * @param trials may be broken numbers, once divided for what fails together
     * @param alpha the chance that it ever leaves out the true share
     */
    public static Range range(double trials, double bad, double alpha) {
        if (trials <= 0) {
            return new Range(0, 1);
        }
        double good = Math.max(0, trials - bad);
        double mixture = Beta.logBeta(bad + 0.5, good + 0.5) - Beta.logBeta(0.5, 0.5);
        double most = mixture + Math.log(alpha);
        double middle = Math.min(1, Math.max(0, bad / trials));
        return new Range(edge(0, middle, bad, good, most), edge(1, middle, bad, good, most));
    }

    /** The share between an end and the middle at which the likelihood falls below what is left of the mixture. */
    private static double edge(double out, double in, double bad, double good, double least) {
        if (likelihood(out, bad, good) >= least) {
            return out;
        }
        for (int i = 0; i < HALVINGS; i++) {
            double half = (out + in) / 2;
            if (likelihood(half, bad, good) >= least) {
                in = half;
            } else {
                out = half;
            }
        }
        return in;
    }

    private static double likelihood(double share, double bad, double good) {
        return (bad == 0 ? 0 : bad * Math.log(share)) + (good == 0 ? 0 : good * Math.log1p(-share));
    }
}
