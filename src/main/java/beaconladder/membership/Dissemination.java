package beaconladder.membership;

import beaconladder.membership.Message.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

/**
 * SWIM's infection-style dissemination: each message carries the updates that have been transmitted least often, each
 * of them up to a limit that grows with the logarithm of the fleet's size.
 */
final class Dissemination {
    /** SWIM's lambda: twice this, times the logarithm of the fleet's size, is the transmission limit of an update. */
    private static final double RETRANSMIT_MULTIPLIER = 3;
    /** The updates on one message: a datagram of 1,400 bytes has space for twelve. */
    private static final int MAX_UPDATES = 10;

    private final MemberTable table;
    private final SplittableRandom random;
    private long nextGossipNanos = Long.MIN_VALUE;

    Dissemination(MemberTable table, SplittableRandom random) {
        this.table = table;
        this.random = random;
    }

    /** Returns when {@link #gossipIfDue} is due next. */
    long nextGossipNanos() {
        return nextGossipNanos;
    }

    /**
     * Returns a message of this process with the updates that are due for transmission.
     *
     * @param required an update that the message carries in any case, or null
     */
    OutgoingMessage message(String address, Kind kind, long probeNumber, String target, Member required) {
        return new OutgoingMessage(
                address, new Message(kind, table.self(), probeNumber, target, selectUpdates(required)));
    }

    /** Returns a message that only carries updates. */
    OutgoingMessage gossip(String address) {
        return message(address, Kind.NACK, 0, "", null);
    }

    /**
     * Sends pending updates to a random member each protocol period. Unlike the failure detector's, this period is not
     * extended by the local health.
     */
    void gossipIfDue(long nowNanos, List<OutgoingMessage> outgoing) {
        if (nowNanos < nextGossipNanos) {
            return;
        }
        nextGossipNanos = nowNanos + FailureDetector.PERIOD_NANOS;
        int limit = transmissionLimit();
        List<Member> participants = new ArrayList<>();
        boolean pending = false;
        for (MemberEntry entry : table.entries()) {
            pending |= entry.transmissions() < limit;
            if (entry.member().participates()) {
                participants.add(entry.member());
            }
        }
        if (pending && !participants.isEmpty()) {
            outgoing.add(
                    gossip(participants.get(random.nextInt(participants.size())).address()));
        }
    }

    /** Sends the complete member list to a member that has just joined, split into several messages. */
    void sendAllMembers(String address, List<OutgoingMessage> outgoing) {
        List<Member> allMembers =
                table.entries().stream().map(MemberEntry::member).toList();
        for (int i = 0; i < allMembers.size(); i += MAX_UPDATES) {
            List<Member> batch = List.copyOf(allMembers.subList(i, Math.min(allMembers.size(), i + MAX_UPDATES)));
            outgoing.add(new OutgoingMessage(address, new Message(Kind.NACK, table.self(), 0, "", batch)));
        }
    }

    /** Selects the updates for the next message, least transmitted first, and counts them as transmitted. */
    List<Member> selectUpdates(Member required) {
        int limit = transmissionLimit();
        List<MemberEntry> pending = new ArrayList<>();
        for (MemberEntry entry : table.entries()) {
            if (entry.transmissions() < limit && !Objects.equals(entry.member(), required)) {
                pending.add(entry);
            }
        }
        pending.sort(Comparator.comparingInt(MemberEntry::transmissions));
        List<Member> updates = new ArrayList<>();
        if (required != null) {
            updates.add(required);
        }
        for (MemberEntry entry : pending) {
            if (updates.size() >= MAX_UPDATES) {
                break;
            }
            entry.countTransmission();
            updates.add(entry.member());
        }
        return List.copyOf(updates);
    }

    private int transmissionLimit() {
        return (int) Math.ceil(2 * RETRANSMIT_MULTIPLIER * Math.log10(table.size() + 2));
    }
}
