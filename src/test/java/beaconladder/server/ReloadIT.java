package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** SIGHUP where it can't come: a process that was started with it ignored keeps it so, as nohup has it. */
class ReloadIT extends RouterProcessFixture {
    @Test
    void aSignalThatIsIgnoredFromTheStartIsSaidInTheLog() throws Exception {
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(folder, config(port), port, "trap '' HUP; ")).ready();
        assertThat(router.log()).contains("SIGHUP is ignored");
    }

    @Test
    void oneThatIsTakenIsNotSpokenOf() throws Exception {
        start();
        assertThat(router.log()).doesNotContain("SIGHUP is ignored");
    }
}
