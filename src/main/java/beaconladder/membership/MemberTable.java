package beaconladder.membership;

import beaconladder.membership.Member.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The member list: this process's own record, and an entry for each other member by name. */
final class MemberTable {
    /** How long a dead or departed member is kept, so that late updates about its earlier incarnations are ignored. */
    private static final long TOMBSTONE_NANOS = 120_000_000_000L;

    private final Map<String, MemberEntry> entries = new TreeMap<>();
    private final ProbeOrder probeOrder;
    private final LocalHealth health;
    private Member self;
    private long version;

    MemberTable(Member self, ProbeOrder probeOrder, LocalHealth health) {
        this.self = self;
        this.probeOrder = probeOrder;
        this.health = health;
    }

    Member self() {
        return self;
    }

    /** Returns a number that increases with each change of a member's state. */
    long version() {
        return version;
    }

    /** Returns the entry of another member, or null. */
    MemberEntry get(String name) {
        return entries.get(name);
    }

    /** Returns the entries of all other members, dead ones included, ordered by name. */
    Collection<MemberEntry> entries() {
        return entries.values();
    }

    /** Returns the number of other members, dead ones included. */
    int size() {
        return entries.size();
    }

    /** Returns whether another member is known and neither dead nor departed. */
    boolean hasParticipant(String name) {
        MemberEntry entry = entries.get(name);
        return entry != null && entry.member().participates();
    }

    /** Returns the participating members, this process included, ordered by name. */
    List<Member> participants() {
        List<Member> participants = new ArrayList<>();
        participants.add(self);
        for (MemberEntry entry : entries.values()) {
            if (entry.member().participates()) {
                participants.add(entry.member());
            }
        }
        participants.sort(Comparator.comparing(Member::name));
        return List.copyOf(participants);
    }

    /**
     * Applies an update if it supersedes the current state.
     *
     * @param reporter the name of the member that sent the update; a repeated suspicion counts as its confirmation
     */
    void apply(Member update, String reporter, long nowNanos) {
        if (update.name().equals(self.name())) {
            refuteIfSuperseded(update);
            return;
        }
        MemberEntry entry = entries.get(update.name());
        if (entry != null && update.equals(entry.member()) && update.state() == State.SUSPECT) {
            entry.confirmSuspicion(reporter);
            return;
        }
        if (!update.supersedes(entry == null ? null : entry.member())) {
            return;
        }
        if (entry == null) {
            entry = new MemberEntry();
            entries.put(update.name(), entry);
            probeOrder.insert(update.name());
        }
        entry.update(update, reporter, nowNanos);
        version++;
    }

    /** Refutes an update about this process that supersedes its own state, with a higher incarnation. */
    private void refuteIfSuperseded(Member update) {
        if (update.supersedes(self) && self.state() != State.LEFT) {
            self = new Member(self.name(), self.address(), update.incarnation() + 1, State.ALIVE);
            health.worsen(1);
            version++;
        }
    }

    /** Declares the members dead whose suspicion has timed out. */
    void expireSuspicions(long nowNanos) {
        for (MemberEntry entry : entries.values()) {
            if (entry.hasState(State.SUSPECT)
                    && nowNanos >= entry.changedAtNanos() + SuspicionTimeout.nanos(entry, this, health)) {
                apply(entry.member().withState(State.DEAD), self.name(), nowNanos);
            }
        }
    }

    /** Returns when the first suspicion times out; {@link Long#MAX_VALUE} if there is none. */
    long nextSuspicionExpiryNanos() {
        long next = Long.MAX_VALUE;
        for (MemberEntry entry : entries.values()) {
            if (entry.hasState(State.SUSPECT)) {
                next = Math.min(next, entry.changedAtNanos() + SuspicionTimeout.nanos(entry, this, health));
            }
        }
        return next;
    }

    /** Removes members that have been dead or departed for longer than {@link #TOMBSTONE_NANOS}. */
    void removeTombstones(long nowNanos) {
        entries.values()
                .removeIf(
                        entry -> !entry.member().participates() && nowNanos - entry.changedAtNanos() > TOMBSTONE_NANOS);
    }

    /** Marks this process as departed. */
    void leave() {
        self = self.withState(State.LEFT);
        version++;
    }
}
