package beaconladder.server;

import beaconladder.cells.AdmissionDecision;
import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import java.util.function.BooleanSupplier;

/** Where there are cells: gets a client's txns leave, and counts its connection as one of its tenant's. */
final class Admission {
    /**
     * What became of the asking.
     *
     * @param pass the leave, or null
     * @param told what the client is to be told where there is none
     * @param last whether its connection ends with that
     */
    record Answer(AdmissionPermit pass, MessageWriter told, boolean last) {}

    private final RequestDispatcher desk;
    private final ClientChannel wire;
    private final PipelineQueue ahead;
    /** The leave by which the connection counts among those of a tenant, or null. */
    private AdmissionPermit counted;

    Admission(RequestDispatcher desk, ClientChannel wire, PipelineQueue ahead) {
        this.desk = desk;
        this.wire = wire;
        this.ahead = ahead;
    }

    /** Asks for leave, and waits for it as long as the client stays. */
    Answer enter(ParsedQuery asked, int size, long arrived, long expiry, BooleanSupplier gone)
            throws InterruptedException {
        String tenant = asked.statement().value("t");
        AdmissionDecision leave = desk.cells()
                .admit(
                        tenant == null ? "" : tenant,
                        asked.statement().session(),
                        asked.cluster(),
                        desk.isWrite(asked.type()) || asked.statement().writes(),
                        asked.type(),
                        size,
                        wire.from(),
                        arrived,
                        expiry,
                        gone);
        if (leave == null) {
            return new Answer(null, new MessageWriter(), false);
        }
        switch (leave.kind()) {
            case REJECT -> {
                return new Answer(null, ParsedQuery.declined(leave.reason(), leave.retryAfterNanos()), false);
            }
            case INVALID -> {
                return new Answer(null, ParsedQuery.error("22023", leave.reason()), false);
            }
            default -> {
                if (joined(leave.permit())) {
                    return new Answer(leave.permit(), null, false);
                }
                desk.cells().releasePermit(leave.permit());
                return new Answer(
                        null,
                        new MessageWriter()
                                .error("FATAL", "53300", "too many connections of this tenant; it has not run", null),
                        true);
            }
        }
    }

    /** The first txn shows whose connection this is; false when its tenant may not have one more. */
    private boolean joined(AdmissionPermit pass) {
        if (counted() != null || ahead.over()) {
            return true;
        }
        if (!desk.cells().admitConnection(pass)) {
            return false;
        }
        synchronized (this) {
            if (!ahead.over()) {
                counted = pass;
                return true;
            }
        }
        desk.cells().releaseConnection(pass);
        return true;
    }

    /** The leave by which the connection counts, or null. */
    synchronized AdmissionPermit counted() {
        return counted;
    }

    /** The connection is over. */
    void left() {
        AdmissionPermit connection;
        synchronized (this) {
            connection = counted;
            counted = null;
        }
        if (connection != null) {
            desk.cells().releaseConnection(connection);
        }
    }
}
