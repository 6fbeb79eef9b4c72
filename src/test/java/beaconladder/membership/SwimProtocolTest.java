package beaconladder.membership;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.membership.Member.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class SwimProtocolTest {
    private static final long MS = 1_000_000L;

    /** Updates give the same result in whatever order, how often and through which members they arrive. */
    @Test
    void updatesOfOneMemberAreTotallyOrdered() {
        List<Member> updates = new ArrayList<>();
        for (long incarnation = 1; incarnation <= 3; incarnation++) {
            for (State state : State.values()) {
                updates.add(new Member("a", "x", incarnation, state));
            }
        }
        for (Member a : updates) {
            assertThat(a.supersedes(a)).isFalse();
            for (Member b : updates) {
                assertThat(a.supersedes(b) ^ b.supersedes(a)).isEqualTo(!a.equals(b));
                for (Member c : updates) {
                    assertThat(latest(latest(a, b), c)).isEqualTo(latest(a, latest(c, b)));
                }
            }
        }
    }

    private static Member latest(Member a, Member b) {
        return a.supersedes(b) ? a : b;
    }

    @Test
    void membersDiscoverEachOtherThroughOneSeed() {
        Fleet fleet = new Fleet(20, 1);
        fleet.run(15_000);
        assertThat(fleet.views()).containsOnly(fleet.names());
    }

    @Test
    void failedMemberIsDetectedByAllAndDepartedOneIsNeverSuspected() {
        Fleet fleet = new Fleet(20, 2);
        fleet.run(15_000);
        fleet.down.add(7);
        fleet.run(30_000);
        Set<String> others = new HashSet<>(fleet.names());
        others.remove("n7");
        assertThat(fleet.views()).containsOnly(others);
        fleet.leave(3);
        fleet.run(15_000);
        others.remove("n3");
        assertThat(fleet.views()).containsOnly(others);
        assertThat(fleet.all.get(0).member("n3").state()).isEqualTo(State.LEFT);
    }

    /** A tenth of all messages is lost, and no member is declared dead. */
    @Test
    void packetLossAloneCausesNoDeclaredDeath() {
        Fleet fleet = new Fleet(20, 3);
        fleet.run(15_000);
        fleet.lossPerMille = 100;
        fleet.run(60_000);
        assertThat(fleet.declaredDeaths).isZero();
        assertThat(fleet.views()).containsOnly(fleet.names());
    }

    /** A member that was paused for 20 s and declared dead refutes this with a higher incarnation. */
    @Test
    void pausedMemberRejoinsWithAHigherIncarnation() {
        Fleet fleet = new Fleet(12, 4);
        fleet.run(15_000);
        fleet.down.add(5);
        fleet.run(20_000);
        fleet.down.remove(5);
        fleet.run(30_000);
        assertThat(fleet.views()).containsOnly(fleet.names());
        assertThat(fleet.all.get(5).member("n5").incarnation()).isGreaterThan(5);
    }

    /** Two halves of a partitioned fleet declare each other dead, and merge after the partition. */
    @Test
    void partitionedHalvesMerge() {
        Fleet fleet = new Fleet(12, 5);
        fleet.run(15_000);
        fleet.partitionAt = 6;
        fleet.run(60_000);
        assertThat(fleet.views()).hasSize(2);
        fleet.partitionAt = 0;
        fleet.run(60_000);
        assertThat(fleet.views()).containsOnly(fleet.names());
    }

    /** A member that can send but not receive extends its timeouts instead of declaring the others dead. */
    @Test
    void memberThatReceivesNothingWorsensItsLocalHealth() {
        Fleet fleet = new Fleet(20, 6);
        fleet.run(15_000);
        fleet.notReceiving = 4;
        fleet.run(20_000);
        assertThat(fleet.all.get(4).localHealth()).isGreaterThan(3);
        fleet.notReceiving = -1;
        fleet.run(40_000);
        assertThat(fleet.views()).containsOnly(fleet.names());
    }

    @Test
    void sameSeedGivesTheSameRun() {
        String first = simulate();
        assertThat(simulate()).isEqualTo(first).isNotEmpty();
    }

    private static String simulate() {
        Fleet fleet = new Fleet(8, 9);
        fleet.lossPerMille = 50;
        fleet.run(20_000);
        fleet.down.add(2);
        fleet.run(20_000);
        return fleet.all.stream()
                .map(each -> each.view(0).version() + " " + each.view(0).members())
                .collect(Collectors.joining("\n"));
    }

    /** Simulated members and a network between them, with a simulated clock. */
    private static final class Fleet {
        private record Delivery(long dueNanos, long sequence, int receiver, Message message) {}

        private final List<SwimProtocol> all = new ArrayList<>();
        private final PriorityQueue<Delivery> network =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::dueNanos).thenComparingLong(Delivery::sequence));
        private final SplittableRandom random;
        /** The indices of members that neither send nor receive. */
        private final Set<Integer> down = new HashSet<>();

        private int lossPerMille;
        /** Members below this index are partitioned from the others; 0 for no partition. */
        private int partitionAt;
        /** The index of a member that receives nothing, or -1. */
        private int notReceiving = -1;
        /** How many times a member declared others dead. */
        private int declaredDeaths;

        private long nowNanos;
        private long nextSequence;

        Fleet(int size, long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < size; i++) {
                all.add(new SwimProtocol("n" + i, String.valueOf(i), i, List.of("0"), random.nextLong()));
            }
        }

        void run(long millis) {
            long untilNanos = nowNanos + millis * MS;
            while (nowNanos < untilNanos) {
                nowNanos += 5 * MS;
                while (!network.isEmpty() && network.peek().dueNanos() <= nowNanos) {
                    Delivery delivery = network.poll();
                    if (!down.contains(delivery.receiver()) && delivery.receiver() != notReceiving) {
                        send(delivery.receiver(), all.get(delivery.receiver()).receive(delivery.message(), nowNanos));
                    }
                }
                for (int i = 0; i < all.size(); i++) {
                    if (!down.contains(i) && all.get(i).nextWakeNanos() <= nowNanos) {
                        long before = countDead(i);
                        send(i, all.get(i).tick(nowNanos));
                        declaredDeaths += countDead(i) > before ? 1 : 0;
                    }
                }
            }
        }

        /** Returns how many members the one of this index considers dead. */
        private long countDead(int i) {
            return names().stream()
                    .map(all.get(i)::member)
                    .filter(m -> m != null && m.state() == State.DEAD)
                    .count();
        }

        void leave(int i) {
            send(i, all.get(i).leave());
            down.add(i);
        }

        private void send(int from, List<OutgoingMessage> sends) {
            for (OutgoingMessage each : sends) {
                int to = Integer.parseInt(each.address());
                boolean isPartitioned = partitionAt > 0 && from < partitionAt != to < partitionAt;
                if (!isPartitioned && random.nextInt(1_000) >= lossPerMille) {
                    network.add(
                            new Delivery(nowNanos + (1 + random.nextInt(10)) * MS, nextSequence++, to, each.message()));
                }
            }
        }

        Set<String> names() {
            Set<String> names = new HashSet<>();
            for (int i = 0; i < all.size(); i++) {
                names.add("n" + i);
            }
            return names;
        }

        /** Returns the distinct views of the running members. */
        Set<Set<String>> views() {
            Set<Set<String>> views = new HashSet<>();
            for (int i = 0; i < all.size(); i++) {
                if (!down.contains(i)) {
                    views.add(all.get(i).view(nowNanos).members().stream()
                            .map(Member::name)
                            .collect(Collectors.toSet()));
                }
            }
            return views;
        }
    }
}
