package beaconladder.lease.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseTable;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class LeaseJsonTest {
    private static final String TAKE = "{\"kind\":\"TAKE\",\"task\":\"t\",\"holder\":\"a#1\",\"number\":1,"
            + "\"token\":0,\"length\":600,\"heir\":\"\"}";

    @Test
    void whatIsWrittenIsReadAsTheSame() throws IOException {
        LeaseRequest take = LeaseJson.ask(TAKE);
        LeaseTable.Applied applied = LeaseTable.none().apply(take, 1_000, 50);
        assertThat(LeaseJson.ask(LeaseJson.text(take))).isEqualTo(take);
        assertThat(LeaseJson.answer(LeaseJson.text(applied.answer()))).isEqualTo(applied.answer());
        assertThat(LeaseJson.grants(LeaseJson.text(applied.next()))).isEqualTo(applied.next());
        assertThat(LeaseJson.grants(LeaseJson.text(LeaseTable.none()))).isEqualTo(LeaseTable.none());
    }

    @Test
    void whatIsNotWholeDoesNotCount() {
        for (String wrong : new String[] {
            "",
            "{}",
            "[]",
            "null",
            "x",
            TAKE.replace("TAKE", "GRAB"),
            TAKE.replace("\"t\"", "\"../t\""),
            TAKE.replace("a#1", "a"),
            TAKE.replace("a#1", "a#x"),
            TAKE.replace("600", "0"),
            TAKE.replace("600", "-1"),
            TAKE.replace("600", "null"),
            TAKE.replace("600", "99999999999999999"),
            TAKE.replace(",\"heir\":\"\"", ""),
            TAKE.replace("TAKE", "HAND_OVER")
        }) {
            assertThatThrownBy(() -> LeaseJson.ask(wrong)).as(wrong).isInstanceOf(IOException.class);
        }
        for (String wrong :
                new String[] {"", "{}", "null", "{\"clock\":1,\"leases\":null}", "{\"clock\":1,\"leases\":{\"t\":null}}"
                }) {
            assertThatThrownBy(() -> LeaseJson.grants(wrong)).as(wrong).isInstanceOf(IOException.class);
        }
    }
}
