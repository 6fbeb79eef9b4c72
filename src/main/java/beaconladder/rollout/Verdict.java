package beaconladder.rollout;

import beaconladder.rollout.Sequential.Range;
import beaconladder.rollout.Tally.Count;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Whether a stage does worse than the routers not yet changed, over the same time. The worst txn type decides, not the
 * mean: a change that loses 3% of one type is not made up for by the others.
 *
 * @param ruling what is to be done
 * @param why in words, for the record
 */
public record Verdict(Ruling ruling, String why) {
    /** Go on waiting, go on to the next stage, or undo it. */
    public enum Ruling {
        WAIT,
        PASS,
        STOP
    }

    /**
     * What operators accept.
     *
     * @param loss a share of a type's txns: a change that loses so much more of one is not to pass
     * @param slower how many times the control's mean time a type may take
     * @param least txns of a type in the changed arm before it may pass; types with a smaller share of the traffic than
     *     {@link #RARE} are judged for harm alone
     * @param shortest nanoseconds that a stage lasts at least
     * @param longest nanoseconds after which a stage that has not passed is stopped
     */
    public record Terms(double loss, double slower, long least, long shortest, long longest) {}

    /** Over all looks and types of a stage, so seldom is an unchanged program stopped by chance. */
    private static final double FALSE_STOPS = 0.01;
    /** A type below this share of the traffic would keep any change waiting for good. */
    private static final double RARE = 0.02;
    /** The type under which a router's own silence is counted: one trial each time it is asked. */
    public static final String HEARD = "(heard)";

    /** One type in one arm: counts, and by how much routers differ more than by chance. */
    private record Arm(double txns, double lost, double nanos, double spread) {
        Range range(double alpha, double spread) {
            return Sequential.range(txns / spread, lost / spread, alpha);
        }

        double mean() {
            return txns - lost <= 0 ? 0 : nanos / (txns - lost);
        }
    }

    /** The verdict on a stage of this age, from what each router of either arm has seen in it. */
    public static Verdict of(Collection<Tally> changed, Collection<Tally> control, long age, Terms terms) {
        TreeSet<String> types = new TreeSet<>();
        changed.forEach(tally -> types.addAll(tally.types().keySet()));
        control.forEach(tally -> types.addAll(tally.types().keySet()));
        double alpha = FALSE_STOPS / Math.max(1, types.size()) / 2;
        double all = types.stream()
                .filter(type -> !type.startsWith("("))
                .mapToDouble(type -> arm(changed, type).txns())
                .sum();
        String waits = age < terms.shortest() ? "it has not lasted its shortest time" : null;
        for (String type : types) {
            Arm now = arm(changed, type);
            Arm then = arm(control, type);
            // The arm with few routers shows its spread badly: that of the other one holds for both.
            double spread = Math.max(now.spread(), then.spread());
            Range with = now.range(alpha, spread);
            Range without = then.range(alpha, spread);
            if (with.low() > without.high()) {
                return new Verdict(
                        Ruling.STOP,
                        "%s: %.0f of %.0f lost, %.0f of %.0f without the change"
                                .formatted(type, now.lost(), now.txns(), then.lost(), then.txns()));
            }
            boolean told = now.txns() >= terms.least() && then.txns() >= terms.least();
            if (told && then.mean() > 0 && now.mean() > terms.slower() * then.mean()) {
                return new Verdict(
                        Ruling.STOP,
                        "%s: takes %.1f ms, %.1f without the change"
                                .formatted(type, now.mean() / 1e6, then.mean() / 1e6));
            }
            if (waits == null
                    && !type.startsWith("(")
                    && now.txns() >= RARE * all
                    && (!told || with.high() - without.low() > terms.loss())) {
                waits = told
                        ? type + ": a loss of " + terms.loss() + " can't be ruled out yet"
                        : type + ": " + (long) now.txns() + " txns told, " + (long) then.txns() + " without the change";
            }
        }
        if (all == 0 && waits == null) {
            waits = "no txn came";
        }
        if (waits == null) {
            return new Verdict(Ruling.PASS, "no type does worse");
        }
        // Too little traffic is no reason to go on: what is not known to be good is not kept.
        return age > terms.longest()
                ? new Verdict(Ruling.STOP, "not judged in time: " + waits)
                : new Verdict(Ruling.WAIT, waits);
    }

    private static Arm arm(Collection<Tally> tallies, String type) {
        List<Count> counts = tallies.stream()
                .map(tally -> tally.types().getOrDefault(type, Count.NONE))
                .filter(count -> count.txns() > 0)
                .toList();
        double txns = counts.stream().mapToDouble(Count::txns).sum();
        double lost = counts.stream().mapToDouble(Count::lost).sum();
        double nanos = counts.stream().mapToDouble(Count::nanos).sum();
        double share = txns == 0 ? 0 : lost / txns;
        double chi = 0;
        if (share > 0 && share < 1) {
            for (Count count : counts) {
                double off = count.lost() - share * count.txns();
                chi += off * off / (count.txns() * share * (1 - share));
            }
        }
        return new Arm(txns, lost, nanos, counts.size() < 2 ? 1 : Math.max(1, chi / (counts.size() - 1)));
    }
}
