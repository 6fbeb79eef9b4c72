package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.SlotQuery;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The coordinator's loop that advances migrations: records the steps that are due, stops the copies of ended
 * migrations, and queries the hosts of each migration.
 */
final class MigrationLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(MigrationLoop.class);
    /** Pause between two rounds of queries to hosts. */
    private static final int QUERY_INTERVAL_MILLIS = 20;

    private final Coordinator coordinator;
    private final HostQueries hostQueries;

    MigrationLoop(Coordinator coordinator, HostQueries hostQueries) {
        this.coordinator = coordinator;
        this.hostQueries = hostQueries;
    }

    /** Runs until the coordinator is closed or the thread is interrupted; a failed round is logged and retried. */
    @Override
    public void run() {
        while (!coordinator.isClosed()) {
            try {
                Coordinator.Round round = coordinator.beginRound();
                round.endedCopies().forEach(hostQueries::endCopy);
                for (SlotQuery query : round.queries()) {
                    MigrationObservation observation = hostQueries.observe(query, Coordinator.nowNanos());
                    coordinator.recordObservation(query, observation);
                }
                coordinator.recordDueSteps();
                Thread.sleep(QUERY_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.error("migrations continue after an error", e);
            }
        }
    }
}
