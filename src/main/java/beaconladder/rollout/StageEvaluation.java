package beaconladder.rollout;

import beaconladder.rollout.ConfidenceSequence.Interval;
import beaconladder.rollout.RouterCounts.ClassCounts;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Whether a stage does worse than the routers not yet changed, over the same time. The worst request class decides, not
 * the mean: a change that loses 3% of one class is not compensated by the others.
 *
 * @param decision what to do with the change
 * @param reason in words, for the record
 */
public record StageEvaluation(Decision decision, String reason) {
    /** Wait longer, continue with the next stage, or undo the change. */
    public enum Decision {
        WAIT,
        PASS,
        STOP
    }

    /**
     * What operators accept.
     *
     * @param loss a share of a class's requests: a change that loses that much more of one must not pass
     * @param slowdown how many times the control's mean latency a class may take
     * @param leastRequests requests of a class in the changed arm before it may pass; classes with a smaller share of
     *     the traffic than {@link #RARE_SHARE} are evaluated for harm only
     * @param shortestNanos how long a stage lasts at least
     * @param longestNanos after which a stage that has not passed is stopped
     */
    public record AcceptanceTerms(
            double loss, double slowdown, long leastRequests, long shortestNanos, long longestNanos) {}

    /** The probability that an unchanged program is stopped, over all evaluations and classes of a stage. */
    private static final double FALSE_STOP_PROBABILITY = 0.01;
    /** A class below this share of the traffic would keep any change waiting forever. */
    private static final double RARE_SHARE = 0.02;
    /** The class that counts whether a router responds: one trial for each poll. */
    public static final String RESPONDED = "(heard)";

    private static final String INTERNAL_CLASS_PREFIX = "(";

    /** One class in one arm: counts, and by how much routers differ more than by chance. */
    private record Arm(double requests, double lost, double latencyNanos, double overdispersion) {
        Interval interval(double alpha, double divisor) {
            return ConfidenceSequence.interval(requests / divisor, lost / divisor, alpha);
        }

        double meanNanos() {
            return requests - lost <= 0 ? 0 : latencyNanos / (requests - lost);
        }
    }

    /** One class in both arms. */
    private record Comparison(String name, Arm changed, Arm control, Interval changedLoss, Interval controlLoss) {
        static Comparison of(String name, Arm changed, Arm control, double alpha) {
            // The arm with few routers estimates its overdispersion badly: that of the other one holds for both.
            double overdispersion = Math.max(changed.overdispersion(), control.overdispersion());
            return new Comparison(
                    name,
                    changed,
                    control,
                    changed.interval(alpha, overdispersion),
                    control.interval(alpha, overdispersion));
        }

        boolean hasEnoughRequests(AcceptanceTerms terms) {
            return changed.requests() >= terms.leastRequests() && control.requests() >= terms.leastRequests();
        }

        /** Why the change does harm, or null. */
        String harm(AcceptanceTerms terms) {
            if (changedLoss.low() > controlLoss.high()) {
                return "%s: %.0f of %.0f lost, %.0f of %.0f without the change"
                        .formatted(name, changed.lost(), changed.requests(), control.lost(), control.requests());
            }
            if (hasEnoughRequests(terms)
                    && control.meanNanos() > 0
                    && changed.meanNanos() > terms.slowdown() * control.meanNanos()) {
                return "%s: takes %.1f ms, %.1f without the change"
                        .formatted(name, changed.meanNanos() / 1e6, control.meanNanos() / 1e6);
            }
            return null;
        }

        /** Why harm can't be ruled out yet, or null. */
        String uncertainty(AcceptanceTerms terms, double allRequests) {
            if (name.startsWith(INTERNAL_CLASS_PREFIX) || changed.requests() < RARE_SHARE * allRequests) {
                return null;
            }
            if (!hasEnoughRequests(terms)) {
                return name + ": " + (long) changed.requests() + " requests counted, " + (long) control.requests()
                        + " without the change";
            }
            return changedLoss.high() - controlLoss.low() > terms.loss()
                    ? name + ": a loss of " + terms.loss() + " can't be ruled out yet"
                    : null;
        }
    }

    /**
     * Evaluates a stage.
     *
     * @param changed what each changed router has counted in this stage
     * @param control the same of the routers not yet changed
     * @param ageNanos of the stage
     */
    public static StageEvaluation of(
            Collection<RouterCounts> changed, Collection<RouterCounts> control, long ageNanos, AcceptanceTerms terms) {
        TreeSet<String> names = new TreeSet<>();
        changed.forEach(router -> names.addAll(router.byClass().keySet()));
        control.forEach(router -> names.addAll(router.byClass().keySet()));
        double alpha = FALSE_STOP_PROBABILITY / Math.max(1, names.size()) / 2;
        double allRequests = names.stream()
                .filter(name -> !name.startsWith(INTERNAL_CLASS_PREFIX))
                .mapToDouble(name -> arm(changed, name).requests())
                .sum();
        String uncertainty = ageNanos < terms.shortestNanos() ? "it has not lasted its shortest time" : null;
        for (String name : names) {
            Comparison comparison = Comparison.of(name, arm(changed, name), arm(control, name), alpha);
            String harm = comparison.harm(terms);
            if (harm != null) {
                return new StageEvaluation(Decision.STOP, harm);
            }
            if (uncertainty == null) {
                uncertainty = comparison.uncertainty(terms, allRequests);
            }
        }
        if (allRequests == 0 && uncertainty == null) {
            uncertainty = "no request arrived";
        }
        return withoutHarm(uncertainty, ageNanos, terms);
    }

    private static StageEvaluation withoutHarm(String uncertainty, long ageNanos, AcceptanceTerms terms) {
        if (uncertainty == null) {
            return new StageEvaluation(Decision.PASS, "no class does worse");
        }
        // Too little traffic is no reason to continue: what is not known to be good is not kept.
        return ageNanos > terms.longestNanos()
                ? new StageEvaluation(Decision.STOP, "not judged in time: " + uncertainty)
                : new StageEvaluation(Decision.WAIT, uncertainty);
    }

    private static Arm arm(Collection<RouterCounts> routers, String name) {
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

    /** Pearson's chi square over its degrees of freedom, at least 1; 1 for less than two routers. */
    private static double overdispersion(List<ClassCounts> counts, double requests, double lost) {
        double share = requests == 0 ? 0 : lost / requests;
        double chiSquare = 0;
        if (share > 0 && share < 1) {
            for (ClassCounts count : counts) {
                double deviation = count.lost() - share * count.requests();
                chiSquare += deviation * deviation / (count.requests() * share * (1 - share));
            }
        }
        return counts.size() < 2 ? 1 : Math.max(1, chiSquare / (counts.size() - 1));
    }
}
