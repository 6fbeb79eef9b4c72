package beaconladder.rollout;

import beaconladder.rollout.ConfidenceSequence.Interval;
import beaconladder.rollout.RouterCounts.ClassCounts;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The comparison of the changed routers of a stage with the routers not yet changed, over the same time. The worst
 * request class decides, not the mean: a loss of 3% of one class is not compensated by the other classes.
 *
 * @param decision what to do with the change
 * @param reason the reason in words, to be recorded with the decision
 */
public record StageEvaluation(Decision decision, String reason) {
    /** The decision on a change. */
    public enum Decision {
        /** Continue the stage. */
        WAIT,
        /** Start the next stage. */
        PASS,
        /** Undo the change. */
        STOP
    }

    /**
     * The operators' limits for a change.
     *
     * @param maxAdditionalLoss the additional loss of a class, as a share of its requests, above which a change must
     *     not pass
     * @param maxSlowdown the largest mean latency of a class, as a multiple of the control's
     * @param minRequests the requests of a class in each arm before it may pass; classes with a smaller share of the
     *     traffic than {@link #RARE_SHARE} are evaluated for harm only
     * @param minDurationNanos the minimum duration of a stage
     * @param maxDurationNanos the duration after which a stage that has not passed is stopped
     */
    public record AcceptanceLimits(
            double maxAdditionalLoss,
            double maxSlowdown,
            long minRequests,
            long minDurationNanos,
            long maxDurationNanos) {}

    /** The probability that an unchanged program is stopped, over all evaluations and classes of a stage. */
    private static final double FALSE_STOP_PROBABILITY = 0.01;
    /** The share of the traffic below which a class need not pass; it would keep any change waiting forever. */
    private static final double RARE_SHARE = 0.02;
    /** The internal class that counts whether a router responds, with one trial for each poll. */
    public static final String RESPONDED = "(heard)";

    private static final String INTERNAL_CLASS_PREFIX = "(";

    /** The counts of one class in one arm, and the overdispersion: how much more routers differ than by chance. */
    private record Arm(double requests, double lost, double latencyNanos, double overdispersion) {
        Interval interval(double alpha, double divisor) {
            return ConfidenceSequence.interval(requests / divisor, lost / divisor, alpha);
        }

        double meanNanos() {
            return requests - lost <= 0 ? 0 : latencyNanos / (requests - lost);
        }
    }

    /** The comparison of one class in both arms. */
    private record Comparison(String name, Arm changed, Arm control, Interval changedLoss, Interval controlLoss) {
        static Comparison of(String name, Arm changed, Arm control, double alpha) {
            // The estimate of an arm with few routers is poor, so the larger one is used for both arms.
            double overdispersion = Math.max(changed.overdispersion(), control.overdispersion());
            return new Comparison(
                    name,
                    changed,
                    control,
                    changed.interval(alpha, overdispersion),
                    control.interval(alpha, overdispersion));
        }

        boolean hasEnoughRequests(AcceptanceLimits limits) {
            return changed.requests() >= limits.minRequests() && control.requests() >= limits.minRequests();
        }

        /** Returns why the change does harm, or null. */
        String harm(AcceptanceLimits limits) {
            if (changedLoss.low() > controlLoss.high()) {
                return "%s: %.0f of %.0f lost, %.0f of %.0f without the change"
                        .formatted(name, changed.lost(), changed.requests(), control.lost(), control.requests());
            }
            if (hasEnoughRequests(limits)
                    && control.meanNanos() > 0
                    && changed.meanNanos() > limits.maxSlowdown() * control.meanNanos()) {
                return "%s: takes %.1f ms, %.1f without the change"
                        .formatted(name, changed.meanNanos() / 1e6, control.meanNanos() / 1e6);
            }
            return null;
        }

        /** Returns why harm can't be ruled out yet, or null. */
        String uncertainty(AcceptanceLimits limits, double allRequests) {
            if (name.startsWith(INTERNAL_CLASS_PREFIX) || changed.requests() < RARE_SHARE * allRequests) {
                return null;
            }
            if (!hasEnoughRequests(limits)) {
                return name + ": " + (long) changed.requests() + " requests counted, " + (long) control.requests()
                        + " without the change";
            }
            return changedLoss.high() - controlLoss.low() > limits.maxAdditionalLoss()
                    ? name + ": a loss of " + limits.maxAdditionalLoss() + " can't be ruled out yet"
                    : null;
        }
    }

    /**
     * Evaluates a stage.
     *
     * @param changed the counts of each changed router in this stage
     * @param control the counts of each router not yet changed, in the same time
     * @param ageNanos the time since the stage started
     */
    public static StageEvaluation of(
            Collection<RouterCounts> changed,
            Collection<RouterCounts> control,
            long ageNanos,
            AcceptanceLimits limits) {
        TreeSet<String> names = new TreeSet<>();
        changed.forEach(router -> names.addAll(router.byClass().keySet()));
        control.forEach(router -> names.addAll(router.byClass().keySet()));
        double alpha = FALSE_STOP_PROBABILITY / Math.max(1, names.size()) / 2;
        double allRequests = names.stream()
                .filter(name -> !name.startsWith(INTERNAL_CLASS_PREFIX))
                .mapToDouble(name -> aggregate(changed, name).requests())
                .sum();
        String uncertainty =
                ageNanos < limits.minDurationNanos() ? "the stage has not reached its minimum duration" : null;
        for (String name : names) {
            Comparison comparison = Comparison.of(name, aggregate(changed, name), aggregate(control, name), alpha);
            String harm = comparison.harm(limits);
            if (harm != null) {
                return new StageEvaluation(Decision.STOP, harm);
            }
            if (uncertainty == null) {
                uncertainty = comparison.uncertainty(limits, allRequests);
            }
        }
        if (allRequests == 0 && uncertainty == null) {
            uncertainty = "no request arrived";
        }
        return decisionWithoutHarm(uncertainty, ageNanos, limits);
    }

    private static StageEvaluation decisionWithoutHarm(String uncertainty, long ageNanos, AcceptanceLimits limits) {
        if (uncertainty == null) {
            return new StageEvaluation(Decision.PASS, "no class does worse");
        }
        // Too little traffic is no reason to pass: a change that can't be shown to be harmless is undone.
        return ageNanos > limits.maxDurationNanos()
                ? new StageEvaluation(Decision.STOP, "undecided after the maximum duration: " + uncertainty)
                : new StageEvaluation(Decision.WAIT, uncertainty);
    }

    private static Arm aggregate(Collection<RouterCounts> routers, String name) {
        List<ClassCounts> counts = routers.stream()
                .map(router -> router.byClass().getOrDefault(name, ClassCounts.NONE))
                .filter(count -> count.requests() > 0)
                .toList();
        double requests = counts.stream().mapToDouble(ClassCounts::requests).sum();
        double lost = counts.stream().mapToDouble(ClassCounts::lost).sum();
        double latencyNanos =
                counts.stream().mapToDouble(ClassCounts::latencyNanos).sum();
        return new Arm(requests, lost, latencyNanos, overdispersion(counts, requests, lost));
    }

    /** Returns Pearson's chi square over its degrees of freedom, at least 1; 1 for fewer than two routers. */
    private static double overdispersion(List<ClassCounts> counts, double requests, double lost) {
        double lossRate = requests == 0 ? 0 : lost / requests;
        double chiSquare = 0;
        if (lossRate > 0 && lossRate < 1) {
            for (ClassCounts count : counts) {
                double deviation = count.lost() - lossRate * count.requests();
                chiSquare += deviation * deviation / (count.requests() * lossRate * (1 - lossRate));
            }
        }
        return counts.size() < 2 ? 1 : Math.max(1, chiSquare / (counts.size() - 1));
    }
}
