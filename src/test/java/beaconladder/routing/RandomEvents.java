package beaconladder.routing;

import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.DelegatingRouter;
import beaconladder.routing.api.NextWakeup;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * A script of random events for one module: lists, requests, answers, probes, clients that leave, time. Every decision
 * and the contents of every pause go into a digest, so that two texts of the routing policy can be compared.
 */
final class RandomEvents implements DecisionLoop.ActionHandler {
    private static final long MS = 1_000_000L;
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final SplittableRandom chance;
    private final MessageDigest digest;
    private final Router logic;
    private final DecisionLoop rounds;
    private final List<Group> groups = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Request> txns = new ArrayList<>();
    private final List<Attempt> out = new ArrayList<>();
    private final List<Host> asked = new ArrayList<>();
    private long now = 100_000 * MS;
    private long until;
    private long taken;
    /** Sends, probes, and requests put before the routing policy again by a pause. */
    int sends;

    int probes;
    int again;

    RandomEvents(long seed, int groups) throws java.security.GeneralSecurityException {
        chance = new SplittableRandom(seed);
        digest = MessageDigest.getInstance("SHA-256");
        Script settings = new Script(
                "family_info.session_marks=" + (seed % 2 == 0 ? "client" : "router"),
                "fees.probe=" + (seed % 3 == 0 ? 0.01 : 0.069));
        logic = new DelegatingRouter(new RoutingPolicy(seed, settings.start)) {
            @Override
            public NextWakeup nextWakeup(long now) {
                NextWakeup pause = inner.nextWakeup(now);
                again += pause.requestsToRoute().size();
                say("pause " + (pause.dueNanos() - RandomEvents.this.now) + " " + ids(pause.hostsToProbe())
                        + pause.requestsToRoute().stream()
                                .map(request -> " " + request.sequenceNumber)
                                .collect(Collectors.joining())
                        + " "
                        + ids(pause.hostsToDisconnect()));
                return pause;
            }
        };
        rounds = new DecisionLoop(logic, this);
        for (int i = 0; i < groups; i++) {
            this.groups.add(new Group(i));
        }
    }

    /** Plays so many events; the digest of all decisions. */
    String play(int events) {
        for (int i = 0; i < events; i++) {
            now += chance.nextInt(4) == 0 ? chance.nextLong(20 * MS) : chance.nextLong(MS);
            event();
            // As on the simulator's wire, several events may come before the next look.
            if (now >= until || chance.nextInt(3) > 0) {
                until = rounds.processDue(now);
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private void event() {
        int kind = chance.nextInt(100);
        if (kind < 6) {
            list();
        } else if (kind < 40) {
            come();
        } else if (kind < 75 && !out.isEmpty()) {
            end(out.remove(chance.nextInt(out.size())));
        } else if (kind < 92 && !asked.isEmpty()) {
            Host host = asked.remove(chance.nextInt(asked.size()));
            logic.onHealthCheckEnded(
                    host, chance.nextInt(4) > 0 ? Outcome.COMMITTED : Outcome.UNREACHABLE, word(), now);
        } else if (kind < 94 && !txns.isEmpty()) {
            Request request = txns.get(chance.nextInt(txns.size()));
            if (!request.ended) {
                rounds.execute(
                        request,
                        chance.nextBoolean()
                                ? logic.onClientDisconnected(request, now)
                                : logic.onAdmissionLost(request, now),
                        now);
            }
        } else if (kind == 94) {
            // As the desk does with a word of the keeper: a look follows at once.
            groups.get(chance.nextInt(groups.size())).changed = true;
            until = rounds.processDue(now);
        } else if (kind == 95) {
            hosts.removeIf(host -> host.state == Host.State.GONE && logic.removeHost(host, now));
        }
    }

    private void list() {
        Group group = groups.get(chance.nextInt(groups.size()));
        Host host = group.members.isEmpty() || group.members.size() < 5 && chance.nextInt(3) > 0
                ? new Host(hosts.size() * 1_000 + chance.nextInt(1_000), group, chance.nextInt(3))
                : group.members.get(chance.nextInt(group.members.size()));
        if (!hosts.contains(host)) {
            hosts.add(host);
        }
        int state = chance.nextInt(12);
        logic.updateHost(
                host,
                chance.nextInt(3) == 0,
                state == 0 ? Host.State.GONE : state == 1 ? Host.State.DRAINING : Host.State.READY,
                chance.nextInt(8) == 0 ? now - chance.nextLong(12_000 * MS) : host.launchedNanos,
                now);
    }

    private void come() {
        Group group = groups.get(chance.nextInt(groups.size()));
        int type = chance.nextInt(6);
        long written = chance.nextBoolean() ? now - chance.nextLong(900 * MS) : Long.MIN_VALUE;
        Request request = new Request(
                taken,
                logic.requestClass(type),
                group,
                1 + chance.nextInt(50),
                written,
                0,
                false,
                now,
                now + 200 * MS + chance.nextLong(2_800 * MS),
                taken++);
        txns.add(request);
        if (txns.size() > 500) {
            txns.remove(0);
        }
        rounds.execute(request, logic.route(request, now), now);
    }

    private void end(Attempt attempt) {
        if (!attempt.ended) {
            Outcome outcome = chance.nextInt(3) > 0 ? Outcome.COMMITTED : OUTCOMES[chance.nextInt(OUTCOMES.length)];
            boolean settled = attempt.request.ended || outcome == Outcome.COMMITTED;
            HostReport answer = outcome.isFromHost() ? word() : HostReport.EMPTY;
            rounds.execute(
                    attempt.request,
                    logic.onAttemptEnded(
                            attempt, outcome, settled, answer, outcome.isFromHost() ? word() : HostReport.EMPTY, now),
                    now);
        }
    }

    private HostReport word() {
        int role = chance.nextInt(6);
        return role == 0
                ? HostReport.EMPTY
                : new HostReport(
                        role == 1 ? Role.PRIMARY : Role.REPLICA,
                        now - chance.nextLong(role == 1 ? 5 * MS : 700 * MS),
                        chance.nextInt(8) - 1);
    }

    private void say(String line) {
        digest.update((now + line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static String ids(List<Host> hosts) {
        return hosts.stream().map(h -> String.valueOf(h.id)).collect(Collectors.joining(","));
    }

    @Override
    public void send(Attempt attempt, long timeout) {
        sends++;
        out.add(attempt);
        say("send " + attempt.request.sequenceNumber + " to " + attempt.host.id + " for " + timeout);
    }

    @Override
    public void cancel(Attempt attempt) {
        say("cancel " + attempt.request.sequenceNumber + " at " + attempt.host.id);
    }

    @Override
    public void reject(Request request, long comeBack, RoutingDecision.Reason reason) {
        say("decline " + request.sequenceNumber + " " + comeBack);
    }

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {
        say("roll back " + request.sequenceNumber);
    }

    @Override
    public void onRequestEnded(Request request) {
        say("ended " + request.sequenceNumber);
    }

    @Override
    public void probe(Host host) {
        probes++;
        asked.add(host);
    }

    @Override
    public void closeIdleConnections(Host host) {}

    /** Prints the digest for each of so many seeds: {@code groups events seeds}. */
    public static void main(String[] args) throws java.security.GeneralSecurityException {
        for (int seed = 1; seed <= Integer.parseInt(args[2]); seed++) {
            RandomEvents day = new RandomEvents(seed, Integer.parseInt(args[0]));
            String digest = day.play(Integer.parseInt(args[1]));
            System.out.println(
                    seed + " " + digest + " sends " + day.sends + " probes " + day.probes + " again " + day.again);
        }
    }
}
