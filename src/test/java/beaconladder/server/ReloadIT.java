package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A process that is started with SIGHUP ignored, as by nohup, keeps ignoring it and can't reload. */
class ReloadIT extends RouterProcessFixture {
    @Test
    void aSighupThatIsIgnoredFromTheStartIsReportedInTheLog() throws Exception {
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(folder, config(port), port, "trap '' HUP; "))
                .awaitReady();
        assertThat(router.log()).contains("SIGHUP is ignored");
    }

    @Test
    void aHandledSighupIsNotReportedInTheLog() throws Exception {
        start();
        assertThat(router.log()).doesNotContain("SIGHUP is ignored");
    }
}
