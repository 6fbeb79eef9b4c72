package beaconladder.cells;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The writes of one router that are in flight or may still run at a host, and the newest commits of tenants that are
 * being migrated. The write fence of a migration waits until there are none.
 */
final class InFlightWrites {
    /** A write without a known outcome, and the time until which a host may still run it. */
    private record UnresolvedWrite(String tenant, long untilNanos) {}

    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, long[]> newestCommits = new LinkedHashMap<>();
    private final Deque<UnresolvedWrite> unresolved = new ArrayDeque<>();

    void started(String tenant) {
        inFlight.merge(tenant, 1, Integer::sum);
    }

    void ended(String tenant) {
        inFlight.computeIfPresent(tenant, (t, count) -> count == 1 ? null : count - 1);
    }

    /** Counts a write whose outcome is unknown until its client's time is over on every machine's clock. */
    void outcomeUnknown(AdmissionPermit permit) {
        unresolved.add(new UnresolvedWrite(permit.tenant, permit.expiryNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS));
    }

    /** Keeps the newest commit by slot, in nanoseconds, for a tenant that is being migrated. */
    void committed(AdmissionPermit permit, int slots, long position) {
        long[] newest = newestCommits.computeIfAbsent(permit.tenant, t -> new long[slots]);
        newest[permit.slot] = Math.max(newest[permit.slot], position);
    }

    /** Forgets the commits of tenants that are not being migrated any more. */
    void retainMigrating(Map<String, TenantPlacement> placements) {
        newestCommits.keySet().removeIf(tenant -> {
            TenantPlacement placement = placements.get(tenant);
            return placement == null || !placement.migrating();
        });
    }

    /** The report to the coordinator: one entry for each tenant that is being migrated. */
    List<WriteActivity> report(Map<String, TenantPlacement> placements, long nowNanos) {
        while (!unresolved.isEmpty() && unresolved.peek().untilNanos() <= nowNanos) {
            unresolved.poll();
        }
        List<WriteActivity> report = new ArrayList<>();
        placements.forEach((tenant, placement) -> {
            if (placement.migrating()) {
                report.add(activity(tenant, nowNanos));
            }
        });
        return report;
    }

    private WriteActivity activity(String tenant, long nowNanos) {
        int writes = inFlight.getOrDefault(tenant, 0)
                + (int) unresolved.stream()
                        .filter(write ->
                                write.untilNanos() > nowNanos && write.tenant().equals(tenant))
                        .count();
        List<Long> newest = new ArrayList<>();
        for (long commit : newestCommits.getOrDefault(tenant, new long[0])) {
            newest.add(commit);
        }
        return new WriteActivity(tenant, writes, newest);
    }
}
