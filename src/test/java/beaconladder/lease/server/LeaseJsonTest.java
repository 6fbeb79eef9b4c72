package beaconladder.lease.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseTable;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class LeaseJsonTest {
    private static final String ACQUIRE = "{\"kind\":\"TAKE\",\"task\":\"t\",\"holder\":\"a#1\",\"number\":1,"
            + "\"token\":0,\"length\":600,\"heir\":\"\"}";

    @Test
    void writtenTextsReadBackEqual() throws IOException {
        LeaseRequest request = LeaseJson.readRequest(ACQUIRE);
        LeaseTable.Transition applied = LeaseTable.empty().apply(request, 1_000, 50);
        assertThat(LeaseJson.readRequest(LeaseJson.toJson(request))).isEqualTo(request);
        assertThat(LeaseJson.readResponse(LeaseJson.toJson(applied.response()))).isEqualTo(applied.response());
        assertThat(LeaseJson.readTable(LeaseJson.toJson(applied.next()))).isEqualTo(applied.next());
        assertThat(LeaseJson.readTable(LeaseJson.toJson(LeaseTable.empty()))).isEqualTo(LeaseTable.empty());
    }

    @Test
    void incompleteTextsAreRejected() {
        for (String invalid : new String[] {
            "",
            "{}",
            "[]",
            "null",
            "x",
            ACQUIRE.replace("TAKE", "GRAB"),
            ACQUIRE.replace("\"t\"", "\"../t\""),
            ACQUIRE.replace("a#1", "a"),
            ACQUIRE.replace("a#1", "a#x"),
            ACQUIRE.replace("600", "0"),
            ACQUIRE.replace("600", "-1"),
            ACQUIRE.replace("600", "null"),
            ACQUIRE.replace("600", "99999999999999999"),
            ACQUIRE.replace(",\"heir\":\"\"", ""),
            ACQUIRE.replace("TAKE", "HAND_OVER")
        }) {
            assertThatThrownBy(() -> LeaseJson.readRequest(invalid)).as(invalid).isInstanceOf(IOException.class);
        }
        for (String invalid :
                new String[] {"", "{}", "null", "{\"clock\":1,\"leases\":null}", "{\"clock\":1,\"leases\":{\"t\":null}}"
                }) {
            assertThatThrownBy(() -> LeaseJson.readTable(invalid)).as(invalid).isInstanceOf(IOException.class);
        }
    }
}
