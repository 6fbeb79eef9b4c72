package beaconladder.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** The values of {@code --faults}, {@code --troubles} and {@code --part}, which scripts name. */
class FlagValuesTest {
    @ParameterizedTest
    @CsvSource({
        "cells, none kill_router kill_keeper stall_router cut_router source_fails target_fails"
                + " lost_tail second_move undo reload lose_answers drain",
        "lease, pause_holder kill_holder restart_holder kill_asked kill_renewing kill_released"
                + " cut_holder mute_grantors pause_leader kill_leader cut_leader mute_leader"
                + " clocks_within clock_beyond hand_over foul_weather",
        "restarts, planned killed_early told_twice told_while_starting slow_hosts silent_discovery",
        "feed, kill_relay pause_relay cut_relay old_relay kill_leader pause_leader cut_leader"
                + " cut_region restart_router restart_alone refusal foul_weather",
        "soak, terminate kill reload pause clock_step clock_wrong_at_start accept_fails"
                + " connect_fails threads_fail short_io held_up discovery_silent discovery_breaks"
                + " discovery_slow host_drains host_crashes host_hangs host_silent host_fails"
                + " host_spoils host_network host_idle_close hosts_slow replicas_lag primary_moves"
                + " bad_clients idle_crowd client_flood client_crowd clients_leave signal_series",
        "scale, list members leases clients keeper module positions"
    })
    void eachCommandListsItsValues(String command, String values) {
        StringWriter out = new StringWriter();
        CommandLine line = Main.line();
        line.setOut(new PrintWriter(out));
        assertThat(line.execute("lab", command, "--list")).isZero();
        assertThat(out.toString().trim().replaceAll("\\s+", " ")).isEqualTo(values);
    }
}
