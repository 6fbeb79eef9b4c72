package beaconladder.cells;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the writes of one router that are in flight or may still run at a host, and the newest commits of tenants
 * under migration. A migration leaves its write fence only after the tenant has no such writes.
 */
final class InFlightWrites {
    /** A write with an unknown outcome, and the time until which a host may still run it. */
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

    /** Counts a write with an unknown outcome until its expiry has passed on every machine's clock. */
    void outcomeUnknown(AdmissionPermit permit) {
        unresolved.add(new UnresolvedWrite(permit.tenant, permit.expiryNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS));
    }

    /** Records the log position of a commit, in nanoseconds, of a tenant under migration. */
    void committed(AdmissionPermit permit, int slots, long position) {
        long[] newest = newestCommits.computeIfAbsent(permit.tenant, t -> new long[slots]);
        newest[permit.slot] = Math.max(newest[permit.slot], position);
    }

    /** Removes the commits of tenants that are no longer under migration. */
    void retainMigrating(Map<String, TenantPlacement> placements) {
        newestCommits.keySet().removeIf(tenant -> {
            TenantPlacement placement = placements.get(tenant);
            return placement == null || !placement.migrating();
        });
    }

    /** Returns the report for the coordinator: one entry for each tenant under migration. */
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
