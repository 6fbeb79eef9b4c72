package beaconladder.server;

import beaconladder.pg.MessageWriter;

/**
 * The final answer to a query.
 *
 * @param refusesConnection whether no further query of the connection is admitted
 */
record QueryReply(MessageWriter messages, boolean refusesConnection) {
    /** An answer after which the connection stays open. */
    static QueryReply of(MessageWriter messages) {
        return new QueryReply(messages, false);
    }
}
