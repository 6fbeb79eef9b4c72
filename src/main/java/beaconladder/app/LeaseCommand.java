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

/** Leases for tasks of the fleet. */
@Command(
        name = "lease",
        mixinStandardHelpOptions = true,
        description = "Show who holds which task, hand one over, or be one of the grantors.",
        exitCodeList = {"0:done", "1:it could not be done", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class LeaseCommand implements Runnable {
    private static final int CALL_MILLIS = 3_000;
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
        Plan plan = stated(file);
        if (plan == null) {
            return 1;
        }
        LeaseServer grantor;
        try {
            grantor = new LeaseServer(plan.leases(), name, new AnchoredClock(clock));
        } catch (NoClassDefFoundError e) {
            throw new IOException(
                    "a grantor needs Apache Ratis: start it with -cp "
                            + "'target/beaconladder.jar:target/grantors/*' beaconladder.app.Main instead of -jar",
                    e);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(grantor::close));
        new CountDownLatch(1).await();
        return 0;
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Show who holds which task.")
    int status(@Mixin CheckCommand.PlanOption file) throws IOException {
        Plan plan = stated(file);
        if (plan == null) {
            return 1;
        }
        try (LeaseClient doors = doors(plan)) {
            LeaseTable all = leases(doors);
            PrintWriter out = spec.commandLine().getOut();
            long now = new AnchoredClock().getAsLong();
            all.leases()
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
            if (all.leases().isEmpty()) {
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
            @Parameters(paramLabel = "NAME") String heir)
            throws IOException {
        Plan plan = stated(file);
        if (plan == null) {
            return 1;
        }
        try (LeaseClient doors = doors(plan)) {
            LeaseResponse answer = sendToAny(
                    doors,
                    LeaseRequest.handOver(task, heir, plan.leases().length()),
                    plan.leases().grantors().size());
            spec.commandLine()
                    .getOut()
                    .println(
                            answer.holder().isEmpty()
                                    ? task + " is kept for " + heir
                                    : answer.holder() + " is told to give it up; at the latest " + heir
                                            + " may take it in " + answer.availableInNanos() / 1_000_000 + " ms");
        }
        return 0;
    }

    private static LeaseTable leases(LeaseClient doors) throws IOException {
        try {
            return doors.leases();
        } catch (LeaseServersUnavailableException e) {
            throw new IOException(NO_LEADER, e);
        }
    }

    /** Sends a request until a server responds, at most once to each of them. */
    private static LeaseResponse sendToAny(LeaseClient doors, LeaseRequest request, int servers) throws IOException {
        LeaseRequestException last = null;
        for (int i = 0; i < servers; i++) {
            try {
                return doors.send(request);
            } catch (LeaseRequestException e) {
                last = e;
            }
        }
        throw new IOException(NO_LEADER, last);
    }

    private static LeaseClient doors(Plan plan) {
        return new LeaseClient(
                plan.leases().grantors().stream().map(Plan.Grantor::at).toList(), 0, CALL_MILLIS);
    }

    private Plan stated(CheckCommand.PlanOption file) throws IOException {
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan != null && plan.leases() == null) {
            throw new IOException(file.file() + " states no leases");
        }
        return plan;
    }
}
