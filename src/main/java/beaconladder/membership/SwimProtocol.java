package beaconladder.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One process's instance of the membership protocol: SWIM with Lifeguard's refinements. Each period it probes one other
 * member. A member that acknowledges neither a direct nor an indirect probe is suspected; it refutes the suspicion with
 * a higher incarnation, or is declared dead when the suspicion times out. All updates are piggybacked on these
 * messages.
 *
 * <p>From Lifeguard: a process whose own probes fail extends its timeouts before it suspects others (local health); the
 * timeout of a suspicion is the shorter the more members confirm it; a probe of a suspected member carries the
 * suspicion.
 *
 * <p>The protocol does no I/O: the time and received messages are passed in, messages to send are returned. All times
 * are nanoseconds of one clock with an arbitrary origin. Not thread-safe.
 */
public final class SwimProtocol {
    /** The largest number of members that are notified of a graceful departure. */
    private static final int LEAVE_NOTIFICATIONS = 4 * FailureDetector.INDIRECT_PROBES;

    private final LocalHealth health = new LocalHealth();
    private final MemberTable table;
    private final Dissemination dissemination;
    private final FailureDetector detector;
    private final PartitionRecovery recovery;
    private long lastMessageNanos = Long.MIN_VALUE;

    /**
     * Creates the instance of a process that has not contacted any other member.
     *
     * @param incarnation a number higher than at any earlier start under this name, such as the current time
     * @param seeds addresses at which other members may be
     * @param seed the seed of the random choices
     */
    public SwimProtocol(String name, String address, long incarnation, Collection<String> seeds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ProbeOrder probeOrder = new ProbeOrder(random);
        table = new MemberTable(new Member(name, address, incarnation, Member.State.ALIVE), probeOrder, health);
        dissemination = new Dissemination(table, random);
        detector = new FailureDetector(table, dissemination, health, probeOrder, random);
        List<String> otherSeeds =
                seeds.stream().filter(each -> !each.equals(address)).toList();
        recovery = new PartitionRecovery(otherSeeds, table, dissemination, random);
    }

    /** Returns the current view of the participating members. */
    public MembershipView view(long nowNanos) {
        return new MembershipView(
                table.version(),
                lastMessageNanos == Long.MIN_VALUE ? Long.MAX_VALUE : nowNanos - lastMessageNanos,
                table.participants());
    }

    /** Returns the last known state of the member of this name, dead and departed ones included, or null. */
    public Member member(String name) {
        if (name.equals(table.self().name())) {
            return table.self();
        }
        MemberEntry entry = table.get(name);
        return entry == null ? null : entry.member();
    }

    /** Returns Lifeguard's local health score, from 0 (healthy) to 8 (worst). */
    public int localHealth() {
        return health.score();
    }

    /** Returns when {@link #tick} is due next if no message arrives before. */
    public long nextWakeNanos() {
        long timers = Math.min(detector.nextWakeNanos(), dissemination.nextGossipNanos());
        return Math.min(timers, table.nextSuspicionExpiryNanos());
    }

    /** Runs all timers that are due and returns the messages to send. */
    public List<OutgoingMessage> tick(long nowNanos) {
        List<OutgoingMessage> outgoing = new ArrayList<>();
        detector.sendOverdueNacks(nowNanos, outgoing);
        table.expireSuspicions(nowNanos);
        table.removeTombstones(nowNanos);
        detector.sendIndirectProbesIfDue(nowNanos, outgoing);
        detector.suspectTargetIfOverdue(nowNanos);
        if (detector.isPeriodDue(nowNanos) && detector.startPeriod(nowNanos, outgoing)) {
            recovery.probeUnreachable(outgoing);
        }
        dissemination.gossipIfDue(nowNanos, outgoing);
        return outgoing;
    }

    /**
     * Applies a received message and returns the messages to send. A message under this process's own name is ignored
     * unless its incarnation is higher.
     */
    public List<OutgoingMessage> receive(Message message, long nowNanos) {
        List<OutgoingMessage> outgoing = new ArrayList<>();
        Member sender = message.sender();
        Member self = table.self();
        if (sender.name().equals(self.name()) && sender.incarnation() <= self.incarnation()) {
            return outgoing;
        }
        lastMessageNanos = nowNanos;
        boolean isJoining = !table.hasParticipant(sender.name());
        table.apply(sender, sender.name(), nowNanos);
        for (Member update : message.updates()) {
            table.apply(update, sender.name(), nowNanos);
        }
        switch (message.kind()) {
            case PING -> {
                outgoing.add(
                        dissemination.message(sender.address(), Message.Kind.ACK, message.probeNumber(), "", null));
                if (isJoining) {
                    dissemination.sendAllMembers(sender.address(), outgoing);
                }
            }
            case PING_REQ -> detector.relayProbe(message, nowNanos, outgoing);
            case ACK -> detector.onAck(message, outgoing);
            case NACK -> detector.onNack(message);
        }
        return outgoing;
    }

    /**
     * Leaves the fleet gracefully, so that the others need not detect a failure.
     *
     * @return the notifications to send before the process ends
     */
    public List<OutgoingMessage> leave() {
        table.leave();
        List<OutgoingMessage> outgoing = new ArrayList<>();
        table.entries().stream()
                .map(MemberEntry::member)
                .filter(Member::participates)
                .limit(LEAVE_NOTIFICATIONS)
                .forEach(member -> outgoing.add(dissemination.gossip(member.address())));
        return outgoing;
    }
}
