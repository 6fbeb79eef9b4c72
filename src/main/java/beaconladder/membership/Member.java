package beaconladder.membership;

/**
 * The state of a process, as one update reports it. Of two updates about the same process the later one holds: the one
 * with the higher incarnation and, within one incarnation, with the worse state. That is a total order, so updates may
 * arrive in any order, repeatedly, or late. The component names are the JSON names on the wire.
 *
 * @param name its name, which it keeps when it restarts
 * @param address host and port at which it receives messages
 * @param incarnation increases with each start, and each time the process refutes a suspicion
 */
public record Member(String name, String address, long incarnation, State state) {
    /** In order of precedence within one incarnation, the lowest first. The names are on the wire and printed. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Whether this update is newer than the other one, which may be null. */
    public boolean supersedes(Member other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    /** Whether it takes part in the fleet: a suspected member does until it is declared dead. */
    public boolean participates() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, incarnation, next);
    }
}
