package beaconladder.testbed.scale;

import beaconladder.membership.Member;
import beaconladder.membership.Member.State;
import beaconladder.membership.Message;
import beaconladder.membership.OutgoingMessage;
import beaconladder.membership.SwimProtocol;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Runs many members of the real membership protocol in one thread, on a virtual clock and network. Messages arrive
 * within a few milliseconds; a paused member receives all of them when it resumes.
 */
final class SimulatedFleet {
    static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_DELAY_NANOS = NANOS_PER_MILLI / 2;
    private static final long MAX_DELAY_NANOS = 3 * NANOS_PER_MILLI;
    private static final long PROBE_PERIOD_NANOS = 500 * NANOS_PER_MILLI;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** A message to a member, or a timer of the member if there is no message. */
    private record Event(long atNanos, long eventNumber, int to, Message message) {}

    private final SplittableRandom random;
    private final List<SwimProtocol> protocols = new ArrayList<>();
    private final long[] wakeupNanos;
    private final long[] pausedUntilNanos;
    private final boolean[] dead;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::eventNumber));
    private long eventNumber;
    private long now;
    private long messages;
    private long bytes;
    /** Time spent in the protocol itself, in nanoseconds. */
    private long protocolNanos;

    /** Creates members that all know each other and have no updates left to spread. */
    SimulatedFleet(int count, SplittableRandom random) {
        this.random = random;
        wakeupNanos = new long[count];
        pausedUntilNanos = new long[count];
        dead = new boolean[count];
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Member(name(i), address(i), 1_700_000_000_000L, State.ALIVE));
        }
        for (int i = 0; i < count; i++) {
            SwimProtocol protocol =
                    new SwimProtocol(name(i), address(i), 1_700_000_000_000L, List.of(), random.nextLong());
            ConvergedMembership.addAll(protocol, all.get((i + 1) % count), all, 0);
            ConvergedMembership.clearPendingUpdates(protocol);
            protocols.add(protocol);
            wakeupNanos[i] = random.nextLong(PROBE_PERIOD_NANOS);
            push(wakeupNanos[i], i, null);
        }
    }

    private static String name(int member) {
        return "r" + member;
    }

    private static String address(int member) {
        return "10." + (member >> 16) + "." + (member >> 8 & 255) + "." + (member & 255) + ":7946";
    }

    private static int member(String address) {
        String[] parts = address.substring(0, address.indexOf(':')).split("\\.");
        return Integer.parseInt(parts[1]) << 16 | Integer.parseInt(parts[2]) << 8 | Integer.parseInt(parts[3]);
    }

    long now() {
        return now;
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    long protocolNanos() {
        return protocolNanos;
    }

    int size() {
        return protocols.size();
    }

    void kill(int member) {
        dead[member] = true;
    }

    void pause(int member, long nanos) {
        pausedUntilNanos[member] = now + nanos;
    }

    /** Returns whether the observer considers the member dead. */
    boolean considersDead(int observer, int member) {
        Member seen = protocols.get(observer).member(name(member));
        return seen != null && seen.state() == State.DEAD;
    }

    boolean dead(int member) {
        return dead[member];
    }

    /** Advances the virtual clock by this time. */
    void run(long nanos) {
        long endNanos = now + nanos;
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            now = event.atNanos();
            int to = event.to();
            if (dead[to] || event.message() == null && wakeupNanos[to] != event.atNanos()) {
                continue;
            }
            if (pausedUntilNanos[to] > now) {
                if (event.message() == null) {
                    wakeupNanos[to] = pausedUntilNanos[to];
                }
                push(pausedUntilNanos[to], to, event.message());
                continue;
            }
            long startNanos = System.nanoTime();
            SwimProtocol protocol = protocols.get(to);
            Message message = event.message();
            List<OutgoingMessage> outgoingMessages =
                    message == null ? protocol.tick(now) : protocol.receive(message, now);
            // Other messages cannot make the next timer earlier.
            boolean timerMayChange = message == null
                    || message.kind() == Message.Kind.PING_REQ
                    || !message.updates().isEmpty();
            long next = timerMayChange ? Math.max(now + 1, protocol.nextWakeNanos()) : wakeupNanos[to];
            protocolNanos += System.nanoTime() - startNanos;
            if (message == null || next < wakeupNanos[to]) {
                wakeupNanos[to] = next;
                push(next, to, null);
            }
            for (OutgoingMessage outgoing : outgoingMessages) {
                deliver(outgoing);
            }
        }
        now = endNanos;
    }

    private void deliver(OutgoingMessage outgoing) {
        messages++;
        bytes += encodedLength(outgoing.message());
        push(now + random.nextLong(MIN_DELAY_NANOS, MAX_DELAY_NANOS), member(outgoing.address()), outgoing.message());
    }

    /** Returns the size of the message as it is sent over a socket. */
    private static int encodedLength(Message message) {
        try {
            return MAPPER.writeValueAsBytes(message).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void push(long atNanos, int to, Message message) {
        events.add(new Event(atNanos, eventNumber++, to, message));
    }
}
