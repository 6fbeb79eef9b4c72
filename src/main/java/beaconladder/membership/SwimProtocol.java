package beaconladder.membership;

import beaconladder.membership.Member.State;
import beaconladder.membership.Message.Kind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One process's part in finding out who is there. Each period it probes one other; without an answer in time it has
 * some others probe that one, and without any answer it suspects it. Who is suspected hears of it and objects under a
 * higher incarnation; who does not is found dead. All news ride on these messages.
 *
 * <p>Of Lifeguard: a process that hears little waits longer before it blames others (local health); a suspicion lasts
 * the shorter the more others share it; who is probed while suspected is told so.
 */
public final class SwimProtocol {
    private static final long MS = 1_000_000L;
    /** The paper's period is a second or more; answers on one network come within milliseconds. */
    private static final long PERIOD = 500 * MS;
    /** A pause of a JVM or of its machine is not a death. */
    private static final long ANSWER = 200 * MS;
    /** Others that are asked to probe: the paper's k. */
    private static final int OTHERS = 3;
    /** A rumour is passed on so often, times the logarithm of the fleet: the paper's lambda. */
    private static final double SPREAD = 3;
    /** Lifeguard's alpha and beta: the shortest and longest suspicion, in logarithms of the fleet and periods. */
    private static final double SHORTEST = 5;

    private static final double LONGEST = 6;
    /** So many others that suspect the same bring a suspicion to its shortest: Lifeguard's K. */
    private static final int SHARED = 3;
    /** Local health goes up to this: then periods and times to answer are nine times as long. */
    private static final int WORST = 8;
    /** Words on one message: a datagram of 1,400 bytes holds a dozen. */
    private static final int MOST_NEWS = 10;
    /** The dead are remembered so long, so that old news of their lives is known as old. */
    private static final long REMEMBERED = 120_000 * MS;

    private final SplittableRandom chance;
    private final List<String> seeds;
    private final Map<String, Known> known = new TreeMap<>();
    private final Map<Long, Carried> carried = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private Member self;
    private Probe probe;
    private long nextPeriod = Long.MIN_VALUE;
    private long nextNews = Long.MIN_VALUE;
    private long number;
    private int health;
    private long version;
    private long heardAt = Long.MIN_VALUE;

    /** Another process, and what goes on with it. */
    private static final class Known {
        private Member member;
        private long since;
        /** How often this word has been passed on. */
        private int told;

        private final Set<String> suspects = new HashSet<>();
    }

    /** A probe of this process's own that is under way. */
    private static final class Probe {
        private final String target;
        private final long number;
        private final long askOthersAt;
        private final long until;
        private boolean asked;
        private int owed;

        private Probe(String target, long number, long askOthersAt, long until) {
            this.target = target;
            this.number = number;
            this.askOthersAt = askOthersAt;
            this.until = until;
        }
    }

    /** A probe made for another one. */
    private record Carried(String forAddress, long itsNumber, long sayNoAt) {}

    /**
     * A process that knows only of itself and of addresses where others may be.
     *
     * @param incarnation higher than at any earlier start of this name, such as the time
     */
    public SwimProtocol(String name, String address, long incarnation, Collection<String> seeds, long seed) {
        self = new Member(name, address, incarnation, State.ALIVE);
        this.seeds = seeds.stream().filter(each -> !each.equals(address)).toList();
        chance = new SplittableRandom(seed);
    }

    /** Who is there, as known now. */
    public MembershipView view(long now) {
        List<Member> present = new ArrayList<>();
        present.add(self);
        known.values().stream()
                .map(each -> each.member)
                .filter(Member::participates)
                .forEach(present::add);
        present.sort(Comparator.comparing(Member::name));
        return new MembershipView(
                version, heardAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - heardAt, List.copyOf(present));
    }

    /** What is known of the process of this name, or null. */
    public Member member(String name) {
        return name.equals(self.name()) ? self : known.containsKey(name) ? known.get(name).member : null;
    }

    /** How little this process hears: 0 is well, 8 the worst. */
    public int localHealth() {
        return health;
    }

    /** When to look again, if nothing is heard before. */
    public long nextWakeNanos() {
        long wake = Math.min(nextPeriod, nextNews);
        if (probe != null) {
            wake = Math.min(wake, probe.asked ? probe.until : probe.askOthersAt);
        }
        for (Carried each : carried.values()) {
            wake = Math.min(wake, each.sayNoAt());
        }
        for (Known each : known.values()) {
            if (each.member.state() == State.SUSPECT) {
                wake = Math.min(wake, each.since + patience(each));
            }
        }
        return wake;
    }

    // ---- Time ---------------------------------------------------------------------------------------------

    /** What time alone brings. */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> sends = new ArrayList<>();
        for (Iterator<Carried> all = carried.values().iterator(); all.hasNext(); ) {
            Carried each = all.next();
            if (now >= each.sayNoAt()) {
                all.remove();
                sends.add(send(each.forAddress(), Kind.NACK, each.itsNumber(), "", null));
            }
        }
        for (Known each : known.values()) {
            if (each.member.state() == State.SUSPECT && now >= each.since + patience(each)) {
                learn(each.member.withState(State.DEAD), self.name(), now);
            }
        }
        known.values().removeIf(each -> !each.member.participates() && now - each.since > REMEMBERED);
        if (probe != null && !probe.asked && now >= probe.askOthersAt) {
            askOthers(sends);
        }
        if (probe != null && now >= probe.until) {
            unanswered(now);
        }
        if (now >= nextPeriod) {
            begin(now, sends);
        }
        if (now >= nextNews) {
            nextNews = now + PERIOD;
            spread(sends);
        }
        return sends;
    }

    /** News are told to somebody each period, however long this process waits between its probes. */
    private void spread(List<OutgoingMessage> sends) {
        List<Member> others = new ArrayList<>();
        boolean fresh = false;
        for (Known each : known.values()) {
            fresh |= each.told < tellings();
            if (each.member.participates()) {
                others.add(each.member);
            }
        }
        if (fresh && !others.isEmpty()) {
            sends.add(send(others.get(chance.nextInt(others.size())).address(), Kind.NACK, 0, "", null));
        }
    }

    /** How often a word is passed on. */
    private int tellings() {
        return (int) Math.ceil(2 * SPREAD * Math.log10(known.size() + 2));
    }

    private void askOthers(List<OutgoingMessage> sends) {
        probe.asked = true;
        List<Member> others = new ArrayList<>();
        for (Known each : known.values()) {
            if (each.member.state() == State.ALIVE && !each.member.name().equals(probe.target)) {
                others.add(each.member);
            }
        }
        shuffle(others);
        for (Member other : others.subList(0, Math.min(OTHERS, others.size()))) {
            sends.add(send(other.address(), Kind.PING_REQ, probe.number, probe.target, null));
            probe.owed++;
        }
    }

    private void unanswered(long now) {
        Known target = known.get(probe.target);
        // Others that owe their word, too: then it is this process that hears nothing.
        health = Math.min(WORST, health + (probe.owed > 0 ? probe.owed : 1));
        if (target != null && target.member.state() == State.ALIVE) {
            learn(target.member.withState(State.SUSPECT), self.name(), now);
        }
        probe = null;
    }

    private void begin(long now, List<OutgoingMessage> sends) {
        nextPeriod = now + PERIOD * (1 + health);
        if (probe != null) {
            return;
        }
        Member next = next();
        if (next != null) {
            probe = new Probe(next.name(), ++number, now + ANSWER * (1 + health), nextPeriod);
            Known target = known.get(next.name());
            sends.add(send(
                    next.address(),
                    Kind.PING,
                    probe.number,
                    "",
                    target.member.state() == State.SUSPECT ? target.member : null));
        }
        if (next == null || chance.nextInt(Math.max(2, known.size())) == 0) {
            lonely(sends);
        }
    }

    /** In turns over all, in an order drawn anew each round. */
    private Member next() {
        for (int tries = 0; tries < 2; tries++) {
            while (!round.isEmpty()) {
                Known each = known.get(round.remove(round.size() - 1));
                if (each != null && each.member.participates()) {
                    return each.member;
                }
            }
            known.values().stream()
                    .filter(each -> each.member.participates())
                    .forEach(each -> round.add(each.member.name()));
            shuffle(round);
        }
        return null;
    }

    /**
     * Now and then one that is dead, or a seed, is told of this process: two halves that have been cut off from each
     * other, each of which holds the other for dead, find together again.
     */
    private void lonely(List<OutgoingMessage> sends) {
        List<String> addresses = new ArrayList<>(seeds);
        known.values().stream()
                .filter(each -> each.member.state() == State.DEAD)
                .forEach(each -> addresses.add(each.member.address()));
        known.values().stream()
                .filter(each -> each.member.participates())
                .forEach(each -> addresses.remove(each.member.address()));
        if (!addresses.isEmpty()) {
            String address = addresses.get(chance.nextInt(addresses.size()));
            Member dead = known.values().stream()
                    .map(each -> each.member)
                    .filter(each -> each.address().equals(address))
                    .findFirst()
                    .orElse(null);
            sends.add(send(address, Kind.PING, 0, "", dead));
        }
    }

    /** How long a suspicion lasts: shorter the more others share it. */
    private long patience(Known of) {
        double fleet = Math.max(1, Math.log10(Math.max(1, known.size() + 1)));
        double least = SHORTEST * fleet * PERIOD;
        double most = LONGEST * least;
        int shared = Math.max(0, of.suspects.size() - 1);
        double left = Math.log(shared + 1) / Math.log(SHARED + 1);
        return (long) Math.max(least, most - (most - least) * left)
                * (of.suspects.contains(self.name()) ? 1 + health : 1);
    }

    // ---- Messages -----------------------------------------------------------------------------------------

    /** What a message brings; one that makes no sense is passed over. */
    public List<OutgoingMessage> receive(Message message, long now) {
        List<OutgoingMessage> sends = new ArrayList<>();
        Member from = message.sender();
        if (from.name().equals(self.name()) && from.incarnation() <= self.incarnation()) {
            return sends;
        }
        heardAt = now;
        boolean stranger = !known.containsKey(from.name())
                || !known.get(from.name()).member.participates();
        learn(from, from.name(), now);
        for (Member each : message.updates()) {
            learn(each, from.name(), now);
        }
        switch (message.kind()) {
            case PING -> {
                sends.add(send(from.address(), Kind.ACK, message.probeNumber(), "", null));
                if (stranger) {
                    introduce(from.address(), sends);
                }
            }
            case PING_REQ -> {
                Known target = known.get(message.target());
                if (target != null) {
                    long mine = ++number;
                    carried.put(mine, new Carried(from.address(), message.probeNumber(), now + ANSWER));
                    sends.add(send(
                            target.member.address(),
                            Kind.PING,
                            mine,
                            "",
                            target.member.state() == State.SUSPECT ? target.member : null));
                }
            }
            case ACK -> answered(message, sends);
            default -> {
                if (probe != null && probe.number == message.probeNumber() && probe.asked) {
                    probe.owed = Math.max(0, probe.owed - 1);
                }
            }
        }
        return sends;
    }

    private void answered(Message message, List<OutgoingMessage> sends) {
        Carried one = carried.remove(message.probeNumber());
        if (one != null) {
            sends.add(new OutgoingMessage(
                    one.forAddress(), new Message(Kind.ACK, message.sender(), one.itsNumber(), "", news(null))));
        } else if (probe != null
                && probe.number == message.probeNumber()
                && probe.target.equals(message.sender().name())) {
            probe = null;
            health = Math.max(0, health - 1);
        }
    }

    /** A newcomer is told of all, a message for some of them each. */
    private void introduce(String address, List<OutgoingMessage> sends) {
        List<Member> all = known.values().stream().map(each -> each.member).toList();
        for (int i = 0; i < all.size(); i += MOST_NEWS) {
            sends.add(new OutgoingMessage(
                    address,
                    new Message(
                            Kind.NACK, self, 0, "", List.copyOf(all.subList(i, Math.min(all.size(), i + MOST_NEWS))))));
        }
    }

    /** Leaves: others need not find it dead. The messages are to be sent before the process ends. */
    public List<OutgoingMessage> leave() {
        self = self.withState(State.LEFT);
        version++;
        List<OutgoingMessage> sends = new ArrayList<>();
        known.values().stream()
                .filter(each -> each.member.participates())
                .limit(4L * OTHERS)
                .forEach(each -> sends.add(send(each.member.address(), Kind.NACK, 0, "", null)));
        return sends;
    }

    // ---- News ---------------------------------------------------------------------------------------------

    private void learn(Member word, String by, long now) {
        if (word.name().equals(self.name())) {
            // Objects to any word that would count over its own.
            if (word.supersedes(self) && self.state() != State.LEFT) {
                self = new Member(self.name(), self.address(), word.incarnation() + 1, State.ALIVE);
                health = Math.min(WORST, health + 1);
                version++;
            }
            return;
        }
        Known of = known.get(word.name());
        if (of != null && word.equals(of.member) && word.state() == State.SUSPECT) {
            if (of.suspects.size() <= SHARED && of.suspects.add(by)) {
                // Another one that suspects it is news.
                of.told = 0;
            }
            return;
        }
        if (!word.supersedes(of == null ? null : of.member)) {
            return;
        }
        if (of == null) {
            of = new Known();
            known.put(word.name(), of);
            // Somewhere in the round, so that who joins is not probed by all at once.
            round.add(chance.nextInt(round.size() + 1), word.name());
        }
        of.member = word;
        of.since = now;
        of.told = 0;
        of.suspects.clear();
        if (word.state() == State.SUSPECT) {
            of.suspects.add(by);
        }
        version++;
    }

    private OutgoingMessage send(String address, Kind kind, long of, String target, Member first) {
        return new OutgoingMessage(address, new Message(kind, self, of, target, news(first)));
    }

    /** Those told least often first, each so often until it is old. */
    private List<Member> news(Member first) {
        int most = tellings();
        List<Known> fresh = new ArrayList<>();
        for (Known each : known.values()) {
            if (each.told < most && !Objects.equals(each.member, first)) {
                fresh.add(each);
            }
        }
        fresh.sort(Comparator.comparingInt(each -> each.told));
        List<Member> news = new ArrayList<>();
        if (first != null) {
            news.add(first);
        }
        for (Known each : fresh) {
            if (news.size() >= MOST_NEWS) {
                break;
            }
            each.told++;
            news.add(each.member);
        }
        return List.copyOf(news);
    }

    private void shuffle(List<?> all) {
        for (int i = all.size() - 1; i > 0; i--) {
            Collections.swap(all, i, chance.nextInt(i + 1));
        }
    }
}
