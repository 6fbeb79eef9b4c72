package beaconladder;

import beaconladder.api.Rounds;
import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Role;
import beaconladder.api.Router.Word;
import beaconladder.api.Verdict;
import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Many modules before one group, in virtual time; what all send to a cold host in any window. */
final class ColdFleet {
    static final long MS = 1_000_000L;
    static final int HOSTS = 5;
    private static final long TICK = 5 * MS;
    private static final long ZERO = 100_000 * MS;
    /** What a warm host does at once, and how long a txn takes there. */
    private static final long WORK = 150 * MS;
    private static final long WARM = 10_000 * MS;
    private static final double LEAST = 0.2;

    private record Event(long at, long number, Runnable run) {
    }

    private final SplittableRandom chance;
    private final int cores;
    private final double capacity;
    private final double multiple;
    private final long window;
    private final double[] weights;
    private final double whole;
    private final List<Instance> routers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final long[][] coreFree;
    private final long[] launched = new long[HOSTS];
    private final boolean[] down = new boolean[HOSTS];
    private final List<ArrayDeque<Long>> sends = new ArrayList<>();
    private double rate;
    private long now = ZERO;
    private long numbered;
    /** The largest count in a window, as a share of its budget and what is put down to chance. */
    double worst;
    /** Calls that reached cold hosts. */
    int atCold;

    /** So many routers; uneven ones get from a fifth to three times the mean. */
    ColdFleet(long seed, int count, boolean uneven, double multiple, long windowMillis, double load,
            int cores) {
        this.cores = cores;
        capacity = cores * 1e9 / WORK;
        coreFree = new long[HOSTS][cores];
        chance = new SplittableRandom(seed);
        this.multiple = multiple;
        this.window = windowMillis * MS;
        this.rate = load * HOSTS * capacity;
        weights = chance.doubles(count).map(x -> uneven ? Math.pow(15, x) / 5 : 1).toArray();
        whole = Arrays.stream(weights).sum();
        for (int i = 0; i < count; i++) {
            routers.add(new Instance(chance.nextLong(), count, multiple));
        }
        for (int i = 0; i < HOSTS; i++) {
            sends.add(new ArrayDeque<>());
        }
    }

    /** Lets so much time pass. */
    ColdFleet run(long millis) {
        long end = now + millis * MS;
        while (now < end) {
            now += TICK;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().run().run();
            }
            for (int i = 0; i < routers.size(); i++) {
                double left = rate * weights[i] / whole * TICK / 1e9;
                for (; left > 0 && chance.nextDouble() < left; left--) {
                    routers.get(i).comes();
                }
                routers.get(i).settle();
            }
        }
        return this;
    }

    /** From now on so many times as many txns come in. */
    ColdFleet times(double more) {
        rate *= more;
        return this;
    }

    /** These hosts are out of service: nobody can connect. */
    ColdFleet lose(int... hosts) {
        for (int host : hosts) {
            down[host] = true;
        }
        return this;
    }

    /** These hosts come up cold, and all routers are told of it. */
    ColdFleet back(int... hosts) {
        for (int host : hosts) {
            down[host] = false;
            launched[host] = now;
            Arrays.fill(coreFree[host], now);
        }
        for (Instance router : routers) {
            for (int host : hosts) {
                router.listed(host);
            }
        }
        return this;
    }

    private double share(int host, long at) {
        return launched[host] == 0 || at >= launched[host] + WARM ? 1
                : LEAST + (1 - LEAST) * Math.max(0, at - launched[host]) / WARM;
    }

    /** A call reaches a host; when it is done with it, or less than 0: it can't be reached. */
    private long reach(int host) {
        if (down[host]) {
            return -1;
        }
        if (launched[host] > 0 && now < launched[host] + WARM) {
            atCold++;
            ArrayDeque<Long> of = sends.get(host);
            of.addLast(now);
            while (of.peekFirst() <= now - window) {
                of.removeFirst();
            }
            double budget = multiple * share(host, Math.max(launched[host], now - window)) * capacity * window
                    / 1e9;
            worst = Math.max(worst, of.size() / (budget + 2 * Math.sqrt(budget) + 2));
        }
        long[] cores = coreFree[host];
        // The core that is free first takes it.
        Arrays.sort(cores);
        cores[0] = Math.max(now, cores[0]) + (long) (WORK / share(host, now));
        return cores[0];
    }

    private void at(long moment, Runnable run) {
        events.add(new Event(moment, numbered++, run));
    }

    /** One router. */
    private final class Instance implements Rounds.Door {
        private final Logic logic;
        private final Rounds rounds;
        private final Group group = new Group(1);
        private final List<Host> hosts = new ArrayList<>();
        private long until;
        private long txns;

        Instance(long seed, int count, double multiple) {
            Script settings = new Script("fees.probe=0.069", "rules.fall_multiple=" + multiple,
                    "rules.fall_us=" + window / 1_000, "rules.cold_share=" + LEAST,
                    "rules.warm_within_us=" + WARM / 1_000, "replicas_of_me=" + count);
            logic = new Logic(seed, settings.start);
            rounds = new Rounds(logic, this);
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new Host(i, group, 0));
                logic.listed(hosts.get(i), i == 0, Host.State.READY, 0, now);
            }
        }

        void listed(int host) {
            logic.listed(hosts.get(host), false, Host.State.READY, launched[host], now);
        }

        void comes() {
            // A quarter writes, the rest any reads.
            int type = chance.nextInt(4) == 0 ? Script.WRITE : Script.ANY;
            Txn txn = new Txn(txns, logic.type(type), group, 0, Long.MIN_VALUE, 0, false, now,
                    now + 2_000 * MS, txns++);
            rounds.act(txn, logic.place(txn, now), now);
        }

        void settle() {
            if (now >= until || group.changed) {
                until = rounds.settle(now);
            }
        }

        private Word says(int host) {
            return new Word(host == 0 ? Role.PRIMARY : Role.REPLICA, now - (host == 0 ? 0 : 5 * MS), -1);
        }

        @Override
        public void send(Submission s, long timeout) {
            until = 0;
            int host = s.host.id;
            long done = reach(host);
            boolean inTime = done >= 0 && done <= now + timeout;
            Outcome outcome = done < 0 ? Outcome.UNREACHABLE : inTime ? Outcome.COMMITTED : Outcome.TIMED_OUT;
            at(done < 0 ? now + TICK : inTime ? done : now + timeout, () -> {
                if (!s.ended) {
                    rounds.act(s.txn, logic.after(s, outcome, s.txn.ended || inTime,
                            inTime ? says(host) : Word.SILENT, Word.SILENT, now), now);
                    until = 0;
                }
            });
        }

        @Override
        public void probe(Host host) {
            boolean up = !down[host.id];
            at(now + TICK, () -> {
                logic.probed(host, up ? Outcome.COMMITTED : Outcome.UNREACHABLE,
                        up ? says(host.id) : Word.SILENT, now);
                until = 0;
            });
        }

        @Override
        public void cancel(Submission s) {
            at(now + TICK, () -> {
                if (!s.ended) {
                    rounds.act(s.txn, logic.after(s, Outcome.CANCELLED, s.txn.ended, Word.SILENT, Word.SILENT,
                            now), now);
                }
            });
        }

        @Override
        public void decline(Txn txn, long comeBack, Verdict.Reason reason) {
        }

        @Override
        public void rollBack(Txn txn, Verdict.Reason reason) {
        }

        @Override
        public void ended(Txn txn) {
        }

        @Override
        public void close(Host host) {
        }
    }
}
