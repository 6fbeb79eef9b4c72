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
 * Feeds random events to the routing policy of one router: host updates, requests, answers, probe results, disconnects
 * and lost admissions, at random times. Every decision and wakeup goes into a digest, by which two versions of the
 * routing policy can be compared; so the recorded texts must not change.
 */
final class RandomEvents implements DecisionLoop.ActionHandler {
    private static final long MS = 1_000_000L;
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final SplittableRandom random;
    private final MessageDigest digest;
    private final Router policy;
    private final DecisionLoop decisionLoop;
    private final List<Group> groups = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Request> requests = new ArrayList<>();
    private final List<Attempt> inFlight = new ArrayList<>();
    private final List<Host> probed = new ArrayList<>();
    private long nowNanos = 100_000 * MS;
    private long wakeupNanos;
    private long requestCount;
    /** The numbers of sends, of probes, and of requests that a wakeup named to be routed again. */
    int sends;

    int probes;
    int reroutes;

    RandomEvents(long seed, int groups) throws java.security.GeneralSecurityException {
        random = new SplittableRandom(seed);
        digest = MessageDigest.getInstance("SHA-256");
        Script script = new Script(
                "family_info.session_marks=" + (seed % 2 == 0 ? "client" : "router"),
                "fees.probe=" + (seed % 3 == 0 ? 0.01 : 0.069));
        policy = new DelegatingRouter(new RoutingPolicy(seed, script.settings)) {
            @Override
            public NextWakeup nextWakeup(long now) {
                NextWakeup wakeup = inner.nextWakeup(now);
                reroutes += wakeup.requestsToRoute().size();
                appendLine("pause " + (wakeup.dueNanos() - RandomEvents.this.nowNanos) + " "
                        + ids(wakeup.hostsToProbe())
                        + wakeup.requestsToRoute().stream()
                                .map(request -> " " + request.sequenceNumber)
                                .collect(Collectors.joining())
                        + " "
                        + ids(wakeup.hostsToDisconnect()));
                return wakeup;
            }
        };
        decisionLoop = new DecisionLoop(policy, this);
        for (int i = 0; i < groups; i++) {
            this.groups.add(new Group(i));
        }
    }

    /** Runs this many events; returns the digest of all decisions. */
    String run(int count) {
        for (int i = 0; i < count; i++) {
            nowNanos += random.nextInt(4) == 0 ? random.nextLong(20 * MS) : random.nextLong(MS);
            nextEvent();
            // As with the simulator, several events may be reported before the next wakeup is requested.
            if (nowNanos >= wakeupNanos || random.nextInt(3) > 0) {
                wakeupNanos = decisionLoop.processDue(nowNanos);
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private void nextEvent() {
        int kind = random.nextInt(100);
        if (kind < 6) {
            updateHost();
        } else if (kind < 40) {
            arrive();
        } else if (kind < 75 && !inFlight.isEmpty()) {
            endAttempt(inFlight.remove(random.nextInt(inFlight.size())));
        } else if (kind < 92 && !probed.isEmpty()) {
            Host host = probed.remove(random.nextInt(probed.size()));
            policy.onHealthCheckEnded(
                    host, random.nextInt(4) > 0 ? Outcome.COMMITTED : Outcome.UNREACHABLE, report(), nowNanos);
        } else if (kind < 94 && !requests.isEmpty()) {
            Request request = requests.get(random.nextInt(requests.size()));
            if (!request.ended) {
                decisionLoop.execute(
                        request,
                        random.nextBoolean()
                                ? policy.onClientDisconnected(request, nowNanos)
                                : policy.onAdmissionLost(request, nowNanos),
                        nowNanos);
            }
        } else if (kind == 94) {
            // As after a new placement of tenants, which sets the flag directly and processes what is due.
            groups.get(random.nextInt(groups.size())).changed = true;
            wakeupNanos = decisionLoop.processDue(nowNanos);
        } else if (kind == 95) {
            hosts.removeIf(host -> host.state == Host.State.GONE && policy.removeHost(host, nowNanos));
        }
    }

    private void updateHost() {
        Group group = groups.get(random.nextInt(groups.size()));
        Host host = group.members.isEmpty() || group.members.size() < 5 && random.nextInt(3) > 0
                ? new Host(hosts.size() * 1_000 + random.nextInt(1_000), group, random.nextInt(3))
                : group.members.get(random.nextInt(group.members.size()));
        if (!hosts.contains(host)) {
            hosts.add(host);
        }
        int state = random.nextInt(12);
        policy.updateHost(
                host,
                random.nextInt(3) == 0,
                state == 0 ? Host.State.GONE : state == 1 ? Host.State.DRAINING : Host.State.READY,
                random.nextInt(8) == 0 ? nowNanos - random.nextLong(12_000 * MS) : host.launchedNanos,
                nowNanos);
    }

    private void arrive() {
        Group group = groups.get(random.nextInt(groups.size()));
        int classIndex = random.nextInt(6);
        long sessionPosition = random.nextBoolean() ? nowNanos - random.nextLong(900 * MS) : Long.MIN_VALUE;
        Request request = new Request(
                requestCount,
                policy.requestClass(classIndex),
                group,
                1 + random.nextInt(50),
                sessionPosition,
                0,
                false,
                nowNanos,
                nowNanos + 200 * MS + random.nextLong(2_800 * MS),
                requestCount++);
        requests.add(request);
        if (requests.size() > 500) {
            requests.remove(0);
        }
        decisionLoop.execute(request, policy.route(request, nowNanos), nowNanos);
    }

    private void endAttempt(Attempt attempt) {
        if (!attempt.ended) {
            Outcome outcome = random.nextInt(3) > 0 ? Outcome.COMMITTED : OUTCOMES[random.nextInt(OUTCOMES.length)];
            boolean settled = attempt.request.ended || outcome == Outcome.COMMITTED;
            HostReport answer = outcome.isFromHost() ? report() : HostReport.EMPTY;
            decisionLoop.execute(
                    attempt.request,
                    policy.onAttemptEnded(
                            attempt,
                            outcome,
                            settled,
                            answer,
                            outcome.isFromHost() ? report() : HostReport.EMPTY,
                            nowNanos),
                    nowNanos);
        }
    }

    private HostReport report() {
        int role = random.nextInt(6);
        return role == 0
                ? HostReport.EMPTY
                : new HostReport(
                        role == 1 ? Role.PRIMARY : Role.REPLICA,
                        nowNanos - random.nextLong(role == 1 ? 5 * MS : 700 * MS),
                        random.nextInt(8) - 1);
    }

    private void appendLine(String line) {
        digest.update((nowNanos + line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static String ids(List<Host> hosts) {
        return hosts.stream().map(h -> String.valueOf(h.id)).collect(Collectors.joining(","));
    }

    @Override
    public void send(Attempt attempt, long timeoutNanos) {
        sends++;
        inFlight.add(attempt);
        appendLine("send " + attempt.request.sequenceNumber + " to " + attempt.host.id + " for " + timeoutNanos);
    }

    @Override
    public void cancel(Attempt attempt) {
        appendLine("cancel " + attempt.request.sequenceNumber + " at " + attempt.host.id);
    }

    @Override
    public void reject(Request request, long retryAfterNanos, RoutingDecision.Reason reason) {
        appendLine("decline " + request.sequenceNumber + " " + retryAfterNanos);
    }

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {
        appendLine("roll back " + request.sequenceNumber);
    }

    @Override
    public void onRequestEnded(Request request) {
        appendLine("ended " + request.sequenceNumber);
    }

    @Override
    public void probe(Host host) {
        probes++;
        probed.add(host);
    }

    @Override
    public void closeIdleConnections(Host host) {}

    /** Prints the digest for each seed up to a number. Arguments: {@code groups events seeds}. */
    public static void main(String[] args) throws java.security.GeneralSecurityException {
        for (int seed = 1; seed <= Integer.parseInt(args[2]); seed++) {
            RandomEvents events = new RandomEvents(seed, Integer.parseInt(args[0]));
            String digest = events.run(Integer.parseInt(args[1]));
            System.out.println(seed + " " + digest + " sends " + events.sends + " probes " + events.probes + " again "
                    + events.reroutes);
        }
    }
}
