package beaconladder.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One process's instance of the membership protocol: SWIM with Lifeguard's refinements. Each period it probes one other
 * member; a member that does not acknowledge directly or indirectly is suspected, refutes that under a higher
 * incarnation, or is declared dead when the suspicion times out. All updates are piggybacked on these messages.
 *
 * <p>From Lifeguard: a process that receives little extends its own timeouts before it suspects others (local health);
 * a suspicion is the shorter the more members confirm it; a probe of a suspected member carries the suspicion.
 *
 * <p>Pure: the clock's time and received messages are passed in, messages to send are returned. Not thread-safe.
 */
public final class SwimProtocol {
    /** Members that are notified of a graceful departure. */
    private static final int LEAVE_NOTIFICATIONS = 4 * FailureDetector.INDIRECT_PROBES;

    private final LocalHealth health = new LocalHealth();
    private final MemberTable table;
    private final Dissemination dissemination;
    private final FailureDetector detector;
    private final PartitionRecovery recovery;
    private long lastMessageNanos = Long.MIN_VALUE;

    /**
     * A process that knows only of itself and of addresses at which other members may be.
     *
     * @param incarnation higher than at any earlier start under this name, such as the time
     * @param seed for the random choices
     */
    public SwimProtocol(String name, String address, long incarnation, Collection<String> seeds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ProbeOrder order = new ProbeOrder(random);
        table = new MemberTable(new Member(name, address, incarnation, Member.State.ALIVE), order, health);
        dissemination = new Dissemination(table, random);
        detector = new FailureDetector(table, dissemination, health, order, random);
        List<String> others =
                seeds.stream().filter(each -> !each.equals(address)).toList();
        recovery = new PartitionRecovery(others, table, dissemination, random);
    }

    /** The participating members as known now; {@code now} in nanoseconds of the clock used for all calls. */
    public MembershipView view(long now) {
        return new MembershipView(
                table.version(),
                lastMessageNanos == Long.MIN_VALUE ? Long.MAX_VALUE : now - lastMessageNanos,
                table.participants());
    }

    /** The member of this name as last known, dead and departed ones included, or null. */
    public Member member(String name) {
        if (name.equals(table.self().name())) {
            return table.self();
        }
        MemberEntry entry = table.get(name);
        return entry == null ? null : entry.member();
    }

    /** Lifeguard's local health score: 0 is healthy, 8 the worst. */
    public int localHealth() {
        return health.score();
    }

    /** When {@link #tick} is due next if no message arrives before, in nanoseconds. */
    public long nextWakeNanos() {
        long timers = Math.min(detector.nextWakeNanos(), dissemination.nextGossipNanos());
        return Math.min(timers, table.nextSuspicionExpiryNanos());
    }

    /** Runs all timers that are due and returns the messages to send. */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> sends = new ArrayList<>();
        detector.sendOverdueNacks(now, sends);
        table.expireSuspicions(now);
        table.removeTombstones(now);
        detector.sendIndirectProbesIfDue(now, sends);
        detector.suspectTargetIfOverdue(now);
        if (detector.isPeriodDue(now) && detector.startPeriod(now, sends)) {
            recovery.probeUnreachable(sends);
        }
        dissemination.gossipIfDue(now, sends);
        return sends;
    }

    /** Applies a received message and returns the messages to send; an outdated one of this process is ignored. */
    public List<OutgoingMessage> receive(Message message, long now) {
        List<OutgoingMessage> sends = new ArrayList<>();
        Member sender = message.sender();
        Member self = table.self();
        if (sender.name().equals(self.name()) && sender.incarnation() <= self.incarnation()) {
            return sends;
        }
        lastMessageNanos = now;
        boolean joins = !table.hasParticipant(sender.name());
        table.apply(sender, sender.name(), now);
        for (Member update : message.updates()) {
            table.apply(update, sender.name(), now);
        }
        switch (message.kind()) {
            case PING -> {
                sends.add(dissemination.message(sender.address(), Message.Kind.ACK, message.probeNumber(), "", null));
                if (joins) {
                    dissemination.sendAllMembers(sender.address(), sends);
                }
            }
            case PING_REQ -> detector.relayProbe(message, now, sends);
            case ACK -> detector.onAck(message, sends);
            case NACK -> detector.onNack(message);
        }
        return sends;
    }

    /**
     * Leaves the fleet gracefully, so that the others need not detect a failure.
     *
     * @return the notifications, which are to be sent before the process ends
     */
    public List<OutgoingMessage> leave() {
        table.leave();
        List<OutgoingMessage> sends = new ArrayList<>();
        table.entries().stream()
                .map(MemberEntry::member)
                .filter(Member::participates)
                .limit(LEAVE_NOTIFICATIONS)
                .forEach(member -> sends.add(dissemination.gossip(member.address())));
        return sends;
    }
}
