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
 * SWIM's failure detector. Each period it probes one member. Without an acknowledgement in time it requests indirect
 * probes of that member from some others; without any acknowledgement by the end of the period it suspects the member.
 */
final class FailureDetector {
    /** Shorter than the paper's second or more: within one network, acknowledgements arrive in milliseconds. */
    static final long PERIOD_NANOS = 500_000_000L;
    /** Long enough that a pause of the JVM or its machine does not count as a failure. */
    private static final long ACK_TIMEOUT_NANOS = 200_000_000L;
    /** The paper's k: the number of members that receive a request for an indirect probe. */
    static final int INDIRECT_PROBES = 3;

    private final MemberTable table;
    private final Dissemination dissemination;
    private final LocalHealth health;
    private final ProbeOrder probeOrder;
    private final SplittableRandom random;
    /** The indirect probes in flight that other members requested, by this process's probe number. */
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
    /** The own probe in flight, or null. */
    private OwnProbe ownProbe;

    private long nextPeriodNanos = Long.MIN_VALUE;
    private long lastProbeNumber;

    /** A probe that this process has started. */
    private static final class OwnProbe {
        private final String target;
        private final long number;
        private final long indirectAtNanos;
        private final long deadlineNanos;
        private boolean isIndirect;
        /** The indirect probes requested minus the negative acknowledgements received. */
        private int missingNacks;

        private OwnProbe(String target, long number, long indirectAtNanos, long deadlineNanos) {
            this.target = target;
            this.number = number;
            this.indirectAtNanos = indirectAtNanos;
            this.deadlineNanos = deadlineNanos;
        }

        private boolean hasNumber(long acknowledgedNumber) {
            return number == acknowledgedNumber;
        }
    }

    /** An indirect probe on behalf of another member, which is answered with that member's probe number. */
    private record RelayedProbe(String requesterAddress, long requesterNumber, long nackAtNanos) {}

    FailureDetector(
            MemberTable table,
            Dissemination dissemination,
            LocalHealth health,
            ProbeOrder probeOrder,
            SplittableRandom random) {
        this.table = table;
        this.dissemination = dissemination;
        this.health = health;
        this.probeOrder = probeOrder;
        this.random = random;
    }

    /** Returns when one of the timers is due next. */
    long nextWakeNanos() {
        long wake = nextPeriodNanos;
        if (ownProbe != null) {
            wake = Math.min(wake, ownProbe.isIndirect ? ownProbe.deadlineNanos : ownProbe.indirectAtNanos);
        }
        for (RelayedProbe each : relayedProbes.values()) {
            wake = Math.min(wake, each.nackAtNanos());
        }
        return wake;
    }

    /** Sends a negative acknowledgement for each relayed probe that was not acknowledged in time. */
    void sendOverdueNacks(long nowNanos, List<OutgoingMessage> outgoing) {
        for (Iterator<RelayedProbe> iterator = relayedProbes.values().iterator(); iterator.hasNext(); ) {
            RelayedProbe each = iterator.next();
            if (nowNanos >= each.nackAtNanos()) {
                iterator.remove();
                outgoing.add(
                        dissemination.message(each.requesterAddress(), Kind.NACK, each.requesterNumber(), "", null));
            }
        }
    }

    /** Requests indirect probes from random members once the direct acknowledgement is overdue. */
    void sendIndirectProbesIfDue(long nowNanos, List<OutgoingMessage> outgoing) {
        if (ownProbe == null || ownProbe.isIndirect || nowNanos < ownProbe.indirectAtNanos) {
            return;
        }
        ownProbe.isIndirect = true;
        List<Member> helpers = new ArrayList<>();
        for (MemberEntry entry : table.entries()) {
            if (entry.hasState(State.ALIVE) && !entry.member().name().equals(ownProbe.target)) {
                helpers.add(entry.member());
            }
        }
        ProbeOrder.shuffle(helpers, random);
        for (Member helper : helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()))) {
            outgoing.add(
                    dissemination.message(helper.address(), Kind.PING_REQ, ownProbe.number, ownProbe.target, null));
            ownProbe.missingNacks++;
        }
    }

    /** Suspects the target of a probe that was not acknowledged by its deadline. */
    void suspectTargetIfOverdue(long nowNanos) {
        if (ownProbe == null || nowNanos < ownProbe.deadlineNanos) {
            return;
        }
        MemberEntry target = table.get(ownProbe.target);
        // Missing negative acknowledgements indicate that this process itself loses messages or is slow.
        health.worsen(ownProbe.missingNacks > 0 ? ownProbe.missingNacks : 1);
        if (target != null && target.hasState(State.ALIVE)) {
            table.apply(target.member().withState(State.SUSPECT), table.self().name(), nowNanos);
        }
        ownProbe = null;
    }

    boolean isPeriodDue(long nowNanos) {
        return nowNanos >= nextPeriodNanos;
    }

    /**
     * Starts a protocol period, and a probe unless one is still in flight.
     *
     * @return whether to probe seeds and dead members in this period too: true while there is no member to probe, and
     *     otherwise about once a round
     */
    boolean startPeriod(long nowNanos, List<OutgoingMessage> outgoing) {
        nextPeriodNanos = nowNanos + health.scale(PERIOD_NANOS);
        if (ownProbe != null) {
            return false;
        }
        Member target = probeOrder.next(table);
        if (target == null) {
            return true;
        }
        ownProbe = new OwnProbe(
                target.name(), ++lastProbeNumber, nowNanos + health.scale(ACK_TIMEOUT_NANOS), nextPeriodNanos);
        outgoing.add(ping(table.get(target.name()), ownProbe.number));
        return random.nextInt(Math.max(2, table.size())) == 0;
    }

    /** Probes the target of a {@link Kind#PING_REQ} on behalf of its sender. */
    void relayProbe(Message request, long nowNanos, List<OutgoingMessage> outgoing) {
        MemberEntry target = table.get(request.target());
        if (target == null) {
            return;
        }
        long number = ++lastProbeNumber;
        relayedProbes.put(
                number,
                new RelayedProbe(request.sender().address(), request.probeNumber(), nowNanos + ACK_TIMEOUT_NANOS));
        outgoing.add(ping(target, number));
    }

    private OutgoingMessage ping(MemberEntry target, long number) {
        return dissemination.message(target.member().address(), Kind.PING, number, "", target.suspicionOrNull());
    }

    /** Forwards the acknowledgement of a relayed probe, or ends this process's own probe. */
    void onAck(Message ack, List<OutgoingMessage> outgoing) {
        RelayedProbe relayedProbe = relayedProbes.remove(ack.probeNumber());
        if (relayedProbe != null) {
            Message forwarded = new Message(
                    Kind.ACK, ack.sender(), relayedProbe.requesterNumber(), "", dissemination.selectUpdates(null));
            outgoing.add(new OutgoingMessage(relayedProbe.requesterAddress(), forwarded));
        } else if (ownProbe != null
                && ownProbe.hasNumber(ack.probeNumber())
                && ownProbe.target.equals(ack.sender().name())) {
            ownProbe = null;
            health.improve();
        }
    }

    /** Counts a negative acknowledgement: messages between this process and its sender arrive. */
    void onNack(Message nack) {
        if (ownProbe != null && ownProbe.hasNumber(nack.probeNumber()) && ownProbe.isIndirect) {
            ownProbe.missingNacks = Math.max(0, ownProbe.missingNacks - 1);
        }
    }
}
