package beaconladder.membership;

/**
 * The state of a process as reported by one update. Of two updates about the same process, the one with the higher
 * incarnation supersedes the other, and within one incarnation the one with the later state. This order is total, so
 * updates may arrive in any order, repeatedly, or late. The component names are the JSON names on the wire.
 *
 * @param name the name of the process, which a restart keeps
 * @param address the host and port at which the process receives messages
 * @param incarnation a number that increases with each start of the process, and each time it refutes a suspicion
 */
public record Member(String name, String address, long incarnation, State state) {
    /** The states in ascending precedence within one incarnation. Their names are on the wire and in printed output. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Returns whether this update supersedes the other one, which may be null. */
    public boolean supersedes(Member other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    /** Returns whether the member is part of the fleet; a suspected member is until it is declared dead. */
    public boolean participates() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, incarnation, next);
    }
}
