package beaconladder.membership;

/**
 * What is known of a process. Of two words about one process the later one counts: the higher incarnation, and within
 * one the worse state. That is a total order, so that news may come in any order, twice, or late.
 *
 * @param name its name; a process that starts anew keeps it
 * @param address where it hears messages
 * @param incarnation grows with each start, and each time that the process objects to what is said of it
 */
public record Member(String name, String address, long incarnation, State state) {
    /** In the order in which they count within one incarnation. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Whether this word counts over the other one, which may be null. */
    public boolean supersedes(Member other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    /** Whether it takes part: what is suspected still does, until it is found dead. */
    public boolean participates() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, incarnation, next);
    }
}
