package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.SlotQuery;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Advances migrations: records the steps that are due, ends finished copies, and queries the hosts of each migration.
 */
final class MigrationLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(MigrationLoop.class);
    /** Pause between two rounds of host queries. */
    private static final int POLL_MILLIS = 20;

    private final Coordinator coordinator;
    private final HostQueries hosts;

    MigrationLoop(Coordinator coordinator, HostQueries hosts) {
        this.coordinator = coordinator;
        this.hosts = hosts;
    }

    /** Runs until the coordinator is closed or the thread is interrupted; a failed round is logged and repeated. */
    @Override
    public void run() {
        while (!coordinator.isClosed()) {
            try {
                Coordinator.Round round = coordinator.beginRound();
                round.endedCopies().forEach(hosts::endCopy);
                for (SlotQuery query : round.queries()) {
                    MigrationObservation observation = hosts.observe(query, Coordinator.nowNanos());
                    coordinator.recordObservation(query, observation);
                }
                coordinator.recordDueSteps();
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.error("migrations continue after an error", e);
            }
        }
    }
}
