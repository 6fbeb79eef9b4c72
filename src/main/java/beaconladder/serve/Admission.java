package beaconladder.serve;

import beaconladder.cells.Gate;
import beaconladder.cells.Pass;
import beaconladder.pg.Outbox;
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
    record Answer(Pass pass, Outbox told, boolean last) {}

    private final Desk desk;
    private final Wire wire;
    private final Ahead ahead;
    /** The leave by which the connection counts among those of a tenant, or null. */
    private Pass counted;

    Admission(Desk desk, Wire wire, Ahead ahead) {
        this.desk = desk;
        this.wire = wire;
        this.ahead = ahead;
    }

    /** Asks for leave, and waits for it as long as the client stays. */
    Answer enter(Asked asked, int size, long arrived, long expiry, BooleanSupplier gone) throws InterruptedException {
        String tenant = asked.statement().value("t");
        Gate.Answer leave = desk.cells()
                .enter(
                        tenant == null ? "" : tenant,
                        asked.statement().session(),
                        asked.cluster(),
                        desk.writes(asked.type()) || asked.statement().writes(),
                        asked.type(),
                        size,
                        wire.from(),
                        arrived,
                        expiry,
                        gone);
        if (leave == null) {
            return new Answer(null, new Outbox(), false);
        }
        switch (leave.kind()) {
            case DECLINE -> {
                return new Answer(null, Asked.declined(leave.reason(), leave.comeBack()), false);
            }
            case REFUSE -> {
                return new Answer(null, Asked.error("22023", leave.reason()), false);
            }
            default -> {
                if (joined(leave.pass())) {
                    return new Answer(leave.pass(), null, false);
                }
                desk.cells().leave(leave.pass());
                return new Answer(
                        null,
                        new Outbox()
                                .error("FATAL", "53300", "too many connections of this tenant; it has not run", null),
                        true);
            }
        }
    }

    /** The first txn shows whose connection this is; false when its tenant may not have one more. */
    private boolean joined(Pass pass) {
        if (counted() != null || ahead.over()) {
            return true;
        }
        if (!desk.cells().connected(pass)) {
            return false;
        }
        synchronized (this) {
            if (!ahead.over()) {
                counted = pass;
                return true;
            }
        }
        desk.cells().disconnected(pass);
        return true;
    }

    /** The leave by which the connection counts, or null. */
    synchronized Pass counted() {
        return counted;
    }

    /** The connection is over. */
    void left() {
        Pass connection;
        synchronized (this) {
            connection = counted;
            counted = null;
        }
        if (connection != null) {
            desk.cells().disconnected(connection);
        }
    }
}
