package beaconladder.lease.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.feed.CommitResult;
import beaconladder.feed.FeedJson;
import beaconladder.feed.Proposal;
import beaconladder.lease.LeaseGrant;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTable;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.proto.RaftProtos.StateMachineLogEntryProto;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Pins the exact JSON of the lease servers' messages, log and snapshots. A record component or an enum constant that is
 * renamed in Java must keep its JSON name.
 */
class LeaseJsonLiteralTest {
    private static final String ACQUIRE = "{\"kind\":\"TAKE\",\"task\":\"t\",\"holder\":\"a#1\",\"number\":2,"
            + "\"token\":3,\"length\":600,\"heir\":\"\"}";
    private static final String RELEASE = "{\"kind\":\"RELEASE\",\"task\":\"t\",\"holder\":\"a#1\","
            + "\"number\":4,\"token\":3,\"length\":0,\"heir\":\"\"}";
    private static final String HAND_OVER = "{\"kind\":\"HAND_OVER\",\"task\":\"t\",\"holder\":\"\","
            + "\"number\":0,\"token\":0,\"length\":600,\"heir\":\"b\"}";
    private static final String GRANTED = "{\"task\":\"t\",\"number\":2,\"why\":\"GRANTED\",\"grant\":"
            + "{\"task\":\"t\",\"holder\":\"a#1\",\"token\":1,\"expiry\":1600},\"holder\":\"\",\"free\":0}";
    private static final String ENTRY = "{\"ask\":" + ACQUIRE + ",\"stamp\":1000,\"bound\":50}";
    private static final String LEASES = "{\"clock\":1000,\"leases\":{\"t\":{\"task\":\"t\","
            + "\"holder\":\"a#1\",\"token\":1,\"expiry\":1600,\"gaveUp\":\"\",\"gaveUpNumber\":0,"
            + "\"heir\":\"\",\"heirUntil\":-9223372036854775808}}}";
    private static final String PROPOSAL = "{\"against\":0,\"set\":{\"a.json\":\"{}\"},\"remove\":[\"b\"]}";

    private final LeaseStateMachine stateMachine = new LeaseStateMachine(() -> 1_000, 50);

    @Test
    void requests() throws IOException {
        assertRequest(new LeaseRequest(LeaseRequest.Kind.ACQUIRE, "t", "a#1", 2, 3, 600, ""), ACQUIRE);
        assertRequest(new LeaseRequest(LeaseRequest.Kind.RELEASE, "t", "a#1", 4, 3, 0, ""), RELEASE);
        assertRequest(LeaseRequest.handOver("t", "b", 600), HAND_OVER);
        assertThat(LeaseRequest.Kind.values()).hasSize(3);
    }

    private static void assertRequest(LeaseRequest request, String text) throws IOException {
        assertThat(LeaseJson.toJson(request)).isEqualTo(text);
        assertThat(LeaseJson.readRequest(text)).isEqualTo(request);
    }

    @Test
    void responseWithGrant() throws IOException {
        LeaseResponse granted =
                new LeaseResponse("t", 2, LeaseResponse.Outcome.GRANTED, new LeaseGrant("t", "a#1", 1, 1_600), "", 0);
        assertThat(LeaseJson.toJson(granted)).isEqualTo(GRANTED);
        assertThat(LeaseJson.readResponse(GRANTED)).isEqualTo(granted);
    }

    @Test
    void responsesWithoutGrant() throws IOException {
        List<String> names = List.of("GRANTED", "HELD", "HANDED_OVER", "OVERTAKEN", "DONE", "NOT_HELD");
        assertThat(LeaseResponse.Outcome.values()).hasSameSizeAs(names);
        for (LeaseResponse.Outcome outcome : LeaseResponse.Outcome.values()) {
            LeaseResponse response = new LeaseResponse("t", 2, outcome, null, "b#9", 650);
            String text = "{\"task\":\"t\",\"number\":2,\"why\":\"" + names.get(outcome.ordinal())
                    + "\",\"grant\":null,\"holder\":\"b#9\",\"free\":650}";
            assertThat(LeaseJson.toJson(response)).isEqualTo(text);
            assertThat(LeaseJson.read(text, LeaseResponse.class)).isEqualTo(response);
        }
    }

    @Test
    void logEntry() throws IOException {
        LeaseJson.LogEntry entry = new LeaseJson.LogEntry(LeaseJson.readRequest(ACQUIRE), 1_000, 50);
        assertThat(LeaseJson.toJson(entry)).isEqualTo(ENTRY);
        assertThat(LeaseJson.read(ENTRY, LeaseJson.LogEntry.class)).isEqualTo(entry);
        assertThat(logged(ACQUIRE)).isEqualTo(ENTRY);
    }

    @Test
    void leaseTable() throws IOException {
        LeaseTable leases = LeaseTable.empty()
                .apply(LeaseJson.readRequest(ACQUIRE), 1_000, 50)
                .next();
        assertThat(LeaseJson.toJson(leases)).isEqualTo(LEASES);
        assertThat(LeaseJson.readTable(LEASES)).isEqualTo(leases);
        assertThat(apply(1, ENTRY)).isEqualTo(GRANTED);
        assertThat(stateMachine.query(Message.EMPTY).join().getContent().toStringUtf8())
                .isEqualTo(LEASES);
    }

    @Test
    void feedMessagesAndEntries() throws IOException {
        Proposal proposal = new Proposal(0, Map.of("a.json", "{}"), List.of("b"));
        assertThat(FeedJson.text(proposal)).isEqualTo(PROPOSAL);
        assertThat(FeedJson.read(PROPOSAL, Proposal.class)).isEqualTo(proposal);
        assertThat(logged("feed " + PROPOSAL)).isEqualTo("feed " + PROPOSAL);
        String digest = "8cc2910c8901c330e1e3a707274de015";
        assertThat(apply(1, "feed " + PROPOSAL))
                .isEqualTo("{\"outcome\":\"WRITTEN\",\"version\":1,\"digest\":\"" + digest + "\"}");
        assertThat(stateMachine.snapshot())
                .isEqualTo("{\"clock\":-9223372036854775808,\"leases\":{}}\n"
                        + "feed {\"newest\":{\"version\":1,\"entries\":{\"a.json\":\"{}\"},\"digest\":\"" + digest
                        + "\"},\"changes\":[{\"version\":1,\"set\":{\"a.json\":\"{}\"},\"remove\":[\"b\"],"
                        + "\"digest\":\"" + digest + "\"}]}\n");
    }

    @ParameterizedTest
    @EnumSource
    void outcomesOfProposals(CommitResult.Outcome outcome) throws IOException {
        List<String> names = List.of("WRITTEN", "OUT_OF_TURN", "TOO_LARGE");
        assertThat(CommitResult.Outcome.values()).hasSameSizeAs(names);
        CommitResult written = new CommitResult(outcome, 7, "d");
        String text = "{\"outcome\":\"" + names.get(outcome.ordinal()) + "\",\"version\":7,\"digest\":\"d\"}";
        assertThat(FeedJson.text(written)).isEqualTo(text);
        assertThat(FeedJson.read(text, CommitResult.class)).isEqualTo(written);
    }

    /** Returns the log entry that the leader writes for a message. */
    private String logged(String message) throws IOException {
        return stateMachine
                .startTransaction(RaftClientRequest.newBuilder()
                        .setClientId(ClientId.randomId())
                        .setServerId(RaftPeerId.valueOf("a"))
                        .setGroupId(RaftGroupId.randomId())
                        .setCallId(1)
                        .setType(RaftClientRequest.writeRequestType())
                        .setMessage(Message.valueOf(message))
                        .build())
                .getStateMachineLogEntry()
                .getLogData()
                .toStringUtf8();
    }

    /** Returns the response of a replica that applies an entry of the log. */
    private String apply(long index, String entry) {
        LogEntryProto logged = LogEntryProto.newBuilder()
                .setTerm(1)
                .setIndex(index)
                .setStateMachineLogEntry(
                        StateMachineLogEntryProto.newBuilder().setLogData(ByteString.copyFromUtf8(entry)))
                .build();
        return stateMachine
                .applyTransaction(TransactionContext.newBuilder()
                        .setStateMachine(stateMachine)
                        .setLogEntry(logged)
                        .setServerRole(RaftPeerRole.FOLLOWER)
                        .build())
                .join()
                .getContent()
                .toStringUtf8();
    }
}
