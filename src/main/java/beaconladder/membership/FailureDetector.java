package beaconladder.membership;

import beaconladder.membership.Member.State;
import beaconladder.membership.Message.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * SWIM's failure detector. Each period it probes one member; without an acknowledgement in time it asks some others to
 * probe that member indirectly, and without any acknowledgement by the end of the period the member is suspected.
 */
final class FailureDetector {
    /** The paper's protocol period is a second or more; within one network, answers arrive in milliseconds. */
    static final long PERIOD_NANOS = 500_000_000L;
    /** Long enough that a pause of the JVM or its machine does not count as a failure. */
    private static final long ACK_TIMEOUT_NANOS = 200_000_000L;
    /** The paper's k: members that are asked to probe indirectly. */
    static final int INDIRECT_PROBES = 3;

    private final MemberTable table;
    private final Dissemination dissemination;
    private final LocalHealth health;
    private final ProbeOrder order;
    private final SplittableRandom random;
    private final Map<Long, RelayedProbe> relayed = new HashMap<>();
    private OwnProbe probe;
    private long nextPeriodNanos = Long.MIN_VALUE;
    private long lastProbeNumber;

    /** The probe that this process has in flight. */
    private static final class OwnProbe {
        private final String target;
        private final long number;
        private final long indirectAtNanos;
        private final long deadlineNanos;
        private boolean isIndirect;
        /** Members asked to probe indirectly that have sent neither an acknowledgement nor a negative one. */
        private int missingNacks;

        private OwnProbe(String target, long number, long indirectAtNanos, long deadlineNanos) {
            this.target = target;
            this.number = number;
            this.indirectAtNanos = indirectAtNanos;
            this.deadlineNanos = deadlineNanos;
        }

        private boolean isFor(long answeredNumber) {
            return number == answeredNumber;
        }
    }

    /** An indirect probe that this process makes for another member, whose own probe number it answers with. */
    private record RelayedProbe(String requesterAddress, long requesterNumber, long nackAtNanos) {}

    FailureDetector(
            MemberTable table,
            Dissemination dissemination,
            LocalHealth health,
            ProbeOrder order,
            SplittableRandom random) {
        this.table = table;
        this.dissemination = dissemination;
        this.health = health;
        this.order = order;
        this.random = random;
    }

    /** When one of the timers is due next. */
    long nextWakeNanos() {
        long wake = nextPeriodNanos;
        if (probe != null) {
            wake = Math.min(wake, probe.isIndirect ? probe.deadlineNanos : probe.indirectAtNanos);
        }
        for (RelayedProbe each : relayed.values()) {
            wake = Math.min(wake, each.nackAtNanos());
        }
        return wake;
    }

    /** Sends a negative acknowledgement for each relayed probe that was not acknowledged in time. */
    void sendOverdueNacks(long now, List<OutgoingMessage> sends) {
        for (Iterator<RelayedProbe> all = relayed.values().iterator(); all.hasNext(); ) {
            RelayedProbe each = all.next();
            if (now >= each.nackAtNanos()) {
                all.remove();
                sends.add(dissemination.message(each.requesterAddress(), Kind.NACK, each.requesterNumber(), "", null));
            }
        }
    }

    /** Asks random members to probe the target once its direct acknowledgement is overdue. */
    void sendIndirectProbesIfDue(long now, List<OutgoingMessage> sends) {
        if (probe == null || probe.isIndirect || now < probe.indirectAtNanos) {
            return;
        }
        probe.isIndirect = true;
        List<Member> others = new ArrayList<>();
        for (MemberEntry entry : table.entries()) {
            if (entry.hasState(State.ALIVE) && !entry.member().name().equals(probe.target)) {
                others.add(entry.member());
            }
        }
        ProbeOrder.shuffle(others, random);
        for (Member other : others.subList(0, Math.min(INDIRECT_PROBES, others.size()))) {
            sends.add(dissemination.message(other.address(), Kind.PING_REQ, probe.number, probe.target, null));
            probe.missingNacks++;
        }
    }

    /** Suspects the target of a probe that was not acknowledged by its deadline. */
    void suspectTargetIfOverdue(long now) {
        if (probe == null || now < probe.deadlineNanos) {
            return;
        }
        MemberEntry target = table.get(probe.target);
        // Missing negative acknowledgements indicate that this process itself receives too little.
        health.worsen(probe.missingNacks > 0 ? probe.missingNacks : 1);
        if (target != null && target.hasState(State.ALIVE)) {
            table.apply(target.member().withState(State.SUSPECT), table.self().name(), now);
        }
        probe = null;
    }

    boolean isPeriodDue(long now) {
        return now >= nextPeriodNanos;
    }

    /**
     * Starts a protocol period, with a probe unless one is still in flight.
     *
     * @return whether seeds and dead members are to be probed in this period, too: always while there is no member to
     *     probe, and otherwise about once a round
     */
    boolean startPeriod(long now, List<OutgoingMessage> sends) {
        nextPeriodNanos = now + health.scale(PERIOD_NANOS);
        if (probe != null) {
            return false;
        }
        Member target = order.next(table);
        if (target == null) {
            return true;
        }
        probe = new OwnProbe(target.name(), ++lastProbeNumber, now + health.scale(ACK_TIMEOUT_NANOS), nextPeriodNanos);
        sends.add(ping(table.get(target.name()), probe.number));
        return random.nextInt(Math.max(2, table.size())) == 0;
    }

    /** Probes the target of a {@link Kind#PING_REQ} on behalf of its sender. */
    void relayProbe(Message request, long now, List<OutgoingMessage> sends) {
        MemberEntry target = table.get(request.target());
        if (target == null) {
            return;
        }
        long number = ++lastProbeNumber;
        relayed.put(
                number, new RelayedProbe(request.sender().address(), request.probeNumber(), now + ACK_TIMEOUT_NANOS));
        sends.add(ping(target, number));
    }

    private OutgoingMessage ping(MemberEntry target, long number) {
        return dissemination.message(target.member().address(), Kind.PING, number, "", target.suspicionOrNull());
    }

    /** Forwards the acknowledgement of a relayed probe, or ends this process's own probe. */
    void onAck(Message ack, List<OutgoingMessage> sends) {
        RelayedProbe request = relayed.remove(ack.probeNumber());
        if (request != null) {
            Message forwarded = new Message(
                    Kind.ACK, ack.sender(), request.requesterNumber(), "", dissemination.selectUpdates(null));
            sends.add(new OutgoingMessage(request.requesterAddress(), forwarded));
        } else if (probe != null
                && probe.isFor(ack.probeNumber())
                && probe.target.equals(ack.sender().name())) {
            probe = null;
            health.improve();
        }
    }

    /** Counts a negative acknowledgement: the member asked to probe indirectly is reachable. */
    void onNack(Message nack) {
        if (probe != null && probe.isFor(nack.probeNumber()) && probe.isIndirect) {
            probe.missingNacks = Math.max(0, probe.missingNacks - 1);
        }
    }
}
