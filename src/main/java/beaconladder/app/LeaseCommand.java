package beaconladder.app;

import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTable;
import beaconladder.lease.server.AnchoredClock;
import beaconladder.lease.server.LeaseClient;
import beaconladder.lease.server.LeaseRequestException;
import beaconladder.lease.server.LeaseServer;
import beaconladder.lease.server.LeaseServersUnavailableException;
import beaconladder.plan.Plan;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows and hands over leases for tasks of the fleet, or runs a lease server. */
@Command(
        name = "lease",
        mixinStandardHelpOptions = true,
        description = "Show who holds which task, hand one over, or be one of the grantors.",
        exitCodeList = {"0:done", "1:it could not be done", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LeaseCommand implements Runnable {
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final String NO_LEADER = "no grantor answers with a leader; is a quorum of them up?";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of grant, status, hand-over belongs here");
    }

    @Command(
            name = "grant",
            mixinStandardHelpOptions = true,
            description = "Be one of the grantors, until a signal ends it.")
    int grant(
            @Mixin CheckCommand.PlanOption file,
            @Option(names = "--name", required = true, description = "Which of the plan's grantors this is.")
                    String name,
            @Option(names = "--clock", hidden = true) Path clock)
            throws IOException, InterruptedException {
        Plan plan = planWithLeases(file);
        if (plan == null) {
            return 1;
        }
        LeaseServer server;
        try {
            server = new LeaseServer(plan.leases(), name, new AnchoredClock(clock));
        } catch (NoClassDefFoundError e) {
            throw new IOException(
                    "a grantor needs Apache Ratis: start it with -cp "
                            + "'target/beaconladder.jar:target/grantors/*' beaconladder.app.Main instead of -jar",
                    e);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(server::close));
        new CountDownLatch(1).await();
        return 0;
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Show who holds which task.")
    int status(@Mixin CheckCommand.PlanOption file) throws IOException {
        Plan plan = planWithLeases(file);
        if (plan == null) {
            return 1;
        }
        try (LeaseClient client = client(plan)) {
            LeaseTable table = leases(client);
            PrintWriter out = spec.commandLine().getOut();
            long now = new AnchoredClock().getAsLong();
            table.leases()
                    .values()
                    .forEach(lease -> out.printf(
                            "%s: %s, token %d, %s%s%n",
                            lease.task(),
                            lease.holder().isEmpty() ? "free" : lease.holder(),
                            lease.token(),
                            lease.holder().isEmpty()
                                    ? "given up"
                                    : lease.expiryNanos() < now
                                            ? "expired " + (now - lease.expiryNanos()) / 1_000_000 + " ms ago"
                                            : (lease.expiryNanos() - now) / 1_000_000 + " ms left",
                            lease.successor().isEmpty() || lease.reservedUntilNanos() < now
                                    ? ""
                                    : ", kept for " + lease.successor()));
            if (table.leases().isEmpty()) {
                out.println("no task has been asked for yet");
            }
        }
        return 0;
    }

    @Command(
            name = "hand-over",
            mixinStandardHelpOptions = true,
            description = "Have a task given up by its holder and kept for the process of this name.")
    int handOver(
            @Mixin CheckCommand.PlanOption file,
            @Parameters(paramLabel = "TASK") String task,
            @Parameters(paramLabel = "NAME") String successor)
            throws IOException {
        Plan plan = planWithLeases(file);
        if (plan == null) {
            return 1;
        }
        try (LeaseClient client = client(plan)) {
            LeaseResponse response = sendToAny(
                    client,
                    LeaseRequest.handOver(task, successor, plan.leases().durationNanos()),
                    plan.leases().servers().size());
            spec.commandLine()
                    .getOut()
                    .println(
                            response.holder().isEmpty()
                                    ? task + " is kept for " + successor
                                    : response.holder() + " is told to give it up; at the latest " + successor
                                            + " may take it in " + response.availableInNanos() / 1_000_000 + " ms");
        }
        return 0;
    }

    private static LeaseTable leases(LeaseClient client) throws IOException {
        try {
            return client.leases();
        } catch (LeaseServersUnavailableException e) {
            throw new IOException(NO_LEADER, e);
        }
    }

    /** Sends a request until a server responds, at most once to each of them. */
    private static LeaseResponse sendToAny(LeaseClient client, LeaseRequest request, int serverCount)
            throws IOException {
        LeaseRequestException last = null;
        for (int i = 0; i < serverCount; i++) {
            try {
                return client.send(request);
            } catch (LeaseRequestException e) {
                last = e;
            }
        }
        throw new IOException(NO_LEADER, last);
    }

    private static LeaseClient client(Plan plan) {
        return new LeaseClient(
                plan.leases().servers().stream()
                        .map(Plan.LeaseServer::clientAddress)
                        .toList(),
                0,
                TIMEOUT_MILLIS);
    }

    private Plan planWithLeases(CheckCommand.PlanOption file) throws IOException {
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan != null && plan.leases() == null) {
            throw new IOException(file.file() + " states no leases");
        }
        return plan;
    }
}
