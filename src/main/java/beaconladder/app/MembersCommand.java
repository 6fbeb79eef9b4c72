package beaconladder.app;

import beaconladder.lease.server.LeaseClient;
import beaconladder.lease.server.LeaseServersUnavailableException;
import beaconladder.membership.MembershipView;
import beaconladder.plan.Plan;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shows the members of the fleet. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Show who is in the fleet, as a grantor knows it.",
        exitCodeList = {"0:done", "1:it could not be done", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class MembersCommand implements Callable<Integer> {
    private static final int TIMEOUT_MILLIS = 3_000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private CheckCommand.PlanOption file;

    @Override
    public Integer call() throws IOException {
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan == null) {
            return 1;
        }
        if (plan.leases() == null) {
            throw new IOException(file.file() + " states no leases, and so no grantors to ask");
        }
        try (LeaseClient client = new LeaseClient(
                plan.leases().servers().stream()
                        .map(Plan.LeaseServer::clientAddress)
                        .toList(),
                0,
                TIMEOUT_MILLIS)) {
            MembershipView view = members(client);
            PrintWriter out = spec.commandLine().getOut();
            out.println("view " + view.version()
                    + (view.sinceLastMessageNanos() == Long.MAX_VALUE
                            ? ", nobody was heard of yet"
                            : ", last heard of another " + view.sinceLastMessageNanos() / 1_000_000 + " ms ago"));
            view.members()
                    .forEach(each -> out.println(each.name() + " at " + each.address() + ", "
                            + each.state().name().toLowerCase(Locale.ROOT) + ", incarnation " + each.incarnation()));
        }
        return 0;
    }

    private static MembershipView members(LeaseClient client) throws IOException {
        try {
            return client.members();
        } catch (LeaseServersUnavailableException e) {
            throw new IOException("no grantor answers that takes part in the fleet's membership", e);
        }
    }
}
