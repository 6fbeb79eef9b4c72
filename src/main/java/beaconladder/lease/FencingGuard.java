package beaconladder.lease;

/**
 * What a shared resource remembers of a task, so that an act that comes late is refused there: the holder may have
 * stood still between its look at the clock and the act, or the network may have kept it. The token is judged alone by
 * what the resource has seen, with no clock in it; the time is a second bar for what comes late before anybody else has
 * acted.
 *
 * @param highest the highest token seen
 */
public record FencingGuard(long highest) {
    /** What becomes of an act. */
    public enum Verdict {
        /** It may be done. */
        ADMITTED,
        /** One with a higher token has been here. */
        LOWER,
        /** Its holder's time is over by this resource's clock. */
        OVER
    }

    /** The state after an act, and whether it may be done. */
    public record Admission(FencingGuard next, Verdict verdict) {}

    /** Nothing seen yet. */
    public static FencingGuard open() {
        return new FencingGuard(0);
    }

    /** Judges an act that carries this token and the time until which its holder may act. */
    public Admission admit(long token, long until, long now) {
        if (token < highest) {
            return new Admission(this, Verdict.LOWER);
        }
        return new Admission(new FencingGuard(token), now >= until ? Verdict.OVER : Verdict.ADMITTED);
    }
}
