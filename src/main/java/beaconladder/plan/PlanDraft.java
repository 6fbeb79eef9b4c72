package beaconladder.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What has been read of a plan so far: its parts, the positions of their statements, and the errors found. */
final class PlanDraft {
    final String file;
    final List<PlanError> errors = new ArrayList<>();
    final List<Plan.Cell> cells = new ArrayList<>();
    /** Cells that state no share; they divide what the others leave. */
    final Set<String> cellsWithoutShare = new HashSet<>();

    final List<Plan.Tenant> tenants = new ArrayList<>();
    final Map<String, List<String>> cellsByRouter = new LinkedHashMap<>();
    final List<Plan.Relocation> relocations = new ArrayList<>();
    final List<Plan.LeaseServer> leaseServers = new ArrayList<>();
    /** Position of each statement, for errors that are found only when the whole file has been read. */
    final Map<Object, SyntaxNode> positions = new HashMap<>();

    Plan.OtherTenants others;
    Plan.Coordinator coordinator;
    /** Without its servers, which are stated one by one. */
    Plan.Leases leases;

    PlanDraft(String file) {
        this.file = file;
    }

    /** The complete plan; to be called if there are no errors. */
    Plan complete() {
        return new Plan(
                file,
                List.copyOf(cells),
                List.copyOf(tenants),
                others,
                Map.copyOf(cellsByRouter),
                coordinator,
                List.copyOf(relocations),
                leases == null
                        ? null
                        : new Plan.Leases(
                                leases.durationNanos(),
                                leases.maxClockErrorNanos(),
                                leases.maxDiskBytes(),
                                List.copyOf(leaseServers)));
    }
}
