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
 * Members of the real class in one thread, on a clock and a network of their own: what one sends comes to the other
 * within some milliseconds, and a paused one hears all of it when it goes on.
 */
final class SimulatedFleet {
    static final long MS = 1_000_000L;
    private static final long FASTEST = MS / 2;
    private static final long SLOWEST = 3 * MS;
    private static final long PERIOD = 500 * MS;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** A message to a member, or, without one, its time to look. */
    private record Event(long at, long number, int to, Message message) {}

    private final SplittableRandom chance;
    private final List<SwimProtocol> swims = new ArrayList<>();
    private final long[] wake;
    private final long[] pausedUntil;
    private final boolean[] dead;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long number;
    private long now;
    private long messages;
    private long bytes;
    /** Time spent in the members themselves, in nanoseconds. */
    private long inside;

    /** So many who know each other and have no news. */
    SimulatedFleet(int count, SplittableRandom chance) {
        this.chance = chance;
        wake = new long[count];
        pausedUntil = new long[count];
        dead = new boolean[count];
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Member(name(i), address(i), 1_700_000_000_000L, State.ALIVE));
        }
        for (int i = 0; i < count; i++) {
            SwimProtocol swim = new SwimProtocol(name(i), address(i), 1_700_000_000_000L, List.of(), chance.nextLong());
            ConvergedMembership.introduce(swim, all.get((i + 1) % count), all, 0);
            ConvergedMembership.settle(swim);
            swims.add(swim);
            wake[i] = chance.nextLong(PERIOD);
            push(wake[i], i, null);
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

    long inside() {
        return inside;
    }

    int size() {
        return swims.size();
    }

    void kill(int member) {
        dead[member] = true;
    }

    void pause(int member, long nanos) {
        pausedUntil[member] = now + nanos;
    }

    /** Whether this one holds the other for dead. */
    boolean buries(int observer, int member) {
        Member word = swims.get(observer).member(name(member));
        return word != null && word.state() == State.DEAD;
    }

    boolean dead(int member) {
        return dead[member];
    }

    /** Lets so much time go by. */
    void run(long nanos) {
        long until = now + nanos;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            now = event.at();
            int to = event.to();
            if (dead[to] || event.message() == null && wake[to] != event.at()) {
                continue;
            }
            if (pausedUntil[to] > now) {
                if (event.message() == null) {
                    wake[to] = pausedUntil[to];
                }
                push(pausedUntil[to], to, event.message());
                continue;
            }
            long from = System.nanoTime();
            SwimProtocol swim = swims.get(to);
            Message message = event.message();
            List<OutgoingMessage> sends = message == null ? swim.tick(now) : swim.receive(message, now);
            // Other messages bring nothing that comes due earlier.
            boolean look = message == null
                    || message.kind() == Message.Kind.PING_REQ
                    || !message.updates().isEmpty();
            long next = look ? Math.max(now + 1, swim.nextWakeNanos()) : wake[to];
            inside += System.nanoTime() - from;
            if (message == null || next < wake[to]) {
                wake[to] = next;
                push(next, to, null);
            }
            for (OutgoingMessage send : sends) {
                deliver(send);
            }
        }
        now = until;
    }

    private void deliver(OutgoingMessage send) {
        messages++;
        bytes += length(send.message());
        push(now + chance.nextLong(FASTEST, SLOWEST), member(send.address()), send.message());
    }

    /** As it goes over a socket. */
    private static int length(Message message) {
        try {
            return MAPPER.writeValueAsBytes(message).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void push(long at, int to, Message message) {
        events.add(new Event(at, number++, to, message));
    }
}
