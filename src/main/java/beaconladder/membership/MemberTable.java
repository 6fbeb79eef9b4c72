package beaconladder.membership;

import beaconladder.membership.Member.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** This process's own member record and what it holds about all others, by name. */
final class MemberTable {
    /** How long a dead member is remembered, so that late updates about its earlier incarnations are ignored. */
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

    /** Increases with each change of a member's state. */
    long version() {
        return version;
    }

    /** The entry of another member, or null. */
    MemberEntry get(String name) {
        return entries.get(name);
    }

    /** The entries of all other members, dead ones included, ordered by name. */
    Collection<MemberEntry> entries() {
        return entries.values();
    }

    /** The number of entries. */
    int size() {
        return entries.size();
    }

    /** Whether another member is known and neither dead nor departed. */
    boolean hasParticipant(String name) {
        MemberEntry entry = entries.get(name);
        return entry != null && entry.member().participates();
    }

    /** The participating members, this process included, ordered by name. */
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
     * Applies an update if it supersedes what is held.
     *
     * @param reporter the name of the member that sent the update; one more confirmation if it is a suspicion
     */
    void apply(Member update, String reporter, long now) {
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
        entry.update(update, reporter, now);
        version++;
    }

    /** Refutes a suspicion or death report about this process with a higher incarnation. */
    private void refuteIfSuperseded(Member update) {
        if (update.supersedes(self) && self.state() != State.LEFT) {
            self = new Member(self.name(), self.address(), update.incarnation() + 1, State.ALIVE);
            health.worsen(1);
            version++;
        }
    }

    /** Declares members dead whose suspicion has timed out. */
    void expireSuspicions(long now) {
        for (MemberEntry entry : entries.values()) {
            if (entry.hasState(State.SUSPECT)
                    && now >= entry.changedAtNanos() + SuspicionTimeout.nanos(entry, this, health)) {
                apply(entry.member().withState(State.DEAD), self.name(), now);
            }
        }
    }

    /** When the first suspicion times out; {@link Long#MAX_VALUE} if there is none. */
    long nextSuspicionExpiryNanos() {
        long next = Long.MAX_VALUE;
        for (MemberEntry entry : entries.values()) {
            if (entry.hasState(State.SUSPECT)) {
                next = Math.min(next, entry.changedAtNanos() + SuspicionTimeout.nanos(entry, this, health));
            }
        }
        return next;
    }

    /** Removes members that died or left long ago. */
    void removeTombstones(long now) {
        entries.values()
                .removeIf(entry -> !entry.member().participates() && now - entry.changedAtNanos() > TOMBSTONE_NANOS);
    }

    /** Marks this process as departed. */
    void leave() {
        self = self.withState(State.LEFT);
        version++;
    }
}
