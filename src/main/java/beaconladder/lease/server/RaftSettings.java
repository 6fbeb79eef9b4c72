package beaconladder.lease.server;

import beaconladder.plan.Plan;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.retry.RetryPolicy;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** The settings of Apache Ratis for the lease servers: transport, election timeouts, size of the log, snapshots. */
final class RaftSettings {
    /** All lease servers of an installation are in one group; the number has no meaning. */
    static final RaftGroupId GROUP = RaftGroupId.valueOf(UUID.fromString("b7a2c0de-0000-4000-8000-000000000001"));
    /**
     * The election timeout is a tenth of a lease, but at least this: with 150 to 300 ms, three servers that had just
     * started elected no leader in 30 s, as their first calls take longer.
     */
    private static final long MIN_ELECTION_TIMEOUT_NANOS = 500_000_000L;
    /** So many log entries, of some 400 bytes each, make a snapshot, which keeps the log short. */
    private static final long ENTRIES_PER_SNAPSHOT = 2_000;

    private static final int SNAPSHOTS_KEPT = 2;
    private static final long LEAST_SEGMENT_BYTES = 64 * 1024;
    /** Two segments are open at a time; snapshots purge the others. */
    private static final int SEGMENTS_PER_DISK = 8;

    private static final int MAX_RETRIES = 4;
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private RaftSettings() {}

    static RaftProperties properties(Plan.Leases plan, Plan.LeaseServer self, Path folder) {
        RaftProperties properties = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(properties, List.of(folder.toFile()));
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
        GrpcConfigKeys.Server.setHost(
                properties, self.clientAddress().getAddress().getHostAddress());
        GrpcConfigKeys.Server.setPort(properties, port(self.raftAddress()));
        setTimeouts(properties, plan.durationNanos());
        setLog(properties, plan.maxDiskBytes());
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, ENTRIES_PER_SNAPSHOT);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, SNAPSHOTS_KEPT);
        return properties;
    }

    private static void setTimeouts(RaftProperties properties, long leaseNanos) {
        long electionNanos = Math.max(MIN_ELECTION_TIMEOUT_NANOS, leaseNanos / 10);
        TimeDuration shortest = TimeDuration.valueOf(electionNanos, TimeUnit.NANOSECONDS);
        TimeDuration longest = TimeDuration.valueOf(2 * electionNanos, TimeUnit.NANOSECONDS);
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, shortest);
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, longest);
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, longest);
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, longest);
    }

    private static void setLog(RaftProperties properties, long diskBytes) {
        long segmentBytes = Math.max(LEAST_SEGMENT_BYTES, diskBytes / SEGMENTS_PER_DISK);
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(segmentBytes));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf(LEAST_SEGMENT_BYTES));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, (int) ENTRIES_PER_SNAPSHOT);
    }

    /** How a client retries while there is no leader. */
    static RetryPolicy retryPolicy() {
        return RetryPolicies.retryUpToMaximumCountWithFixedSleep(
                MAX_RETRIES, TimeDuration.valueOf(RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** The port of an address as HOST:PORT. */
    static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
