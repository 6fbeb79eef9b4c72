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
    /** The Raft group of all lease servers; an arbitrary fixed number, stored in their log directories. */
    static final RaftGroupId GROUP = RaftGroupId.valueOf(UUID.fromString("b7a2c0de-0000-4000-8000-000000000001"));
    /** The shortest election timeout is the length of a lease divided by this. */
    private static final int ELECTION_TIMEOUT_DIVISOR = 10;
    /**
     * The lower bound of the election timeout. With 150 to 300 ms, three servers that had just started elected no
     * leader in 30 s, because their first calls take longer.
     */
    private static final long MIN_ELECTION_TIMEOUT_NANOS = 500_000_000L;
    /** The number of log entries, of about 400 bytes each, after which a snapshot is taken to keep the log short. */
    private static final long ENTRIES_PER_SNAPSHOT = 2_000;

    private static final int SNAPSHOTS_KEPT = 2;
    private static final long MIN_SEGMENT_BYTES = 64 * 1024;
    /** The log's disk budget in segments: two are open at a time; the others are purged after a snapshot. */
    private static final int SEGMENTS_PER_DISK_BUDGET = 8;

    private static final int MAX_RETRIES = 4;
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private RaftSettings() {}

    static RaftProperties properties(Plan.Leases plan, Plan.LeaseServer self, Path logDirectory) {
        RaftProperties properties = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(properties, List.of(logDirectory.toFile()));
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

    private static void setTimeouts(RaftProperties properties, long leaseLengthNanos) {
        long minTimeoutNanos = Math.max(MIN_ELECTION_TIMEOUT_NANOS, leaseLengthNanos / ELECTION_TIMEOUT_DIVISOR);
        TimeDuration minTimeout = TimeDuration.valueOf(minTimeoutNanos, TimeUnit.NANOSECONDS);
        TimeDuration maxTimeout = TimeDuration.valueOf(2 * minTimeoutNanos, TimeUnit.NANOSECONDS);
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, minTimeout);
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, maxTimeout);
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, maxTimeout);
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, maxTimeout);
    }

    private static void setLog(RaftProperties properties, long maxDiskBytes) {
        long segmentBytes = Math.max(MIN_SEGMENT_BYTES, maxDiskBytes / SEGMENTS_PER_DISK_BUDGET);
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(segmentBytes));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf(MIN_SEGMENT_BYTES));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, (int) ENTRIES_PER_SNAPSHOT);
    }

    /** Returns the policy by which a Raft client retries while there is no leader. */
    static RetryPolicy retryPolicy() {
        return RetryPolicies.retryUpToMaximumCountWithFixedSleep(
                MAX_RETRIES, TimeDuration.valueOf(RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Returns the port of an address of the form HOST:PORT. */
    static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
