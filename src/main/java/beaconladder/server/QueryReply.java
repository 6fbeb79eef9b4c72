package beaconladder.server;

import beaconladder.pg.MessageWriter;

/**
 * The final answer to a query.
 *
 * @param closesConnection whether the connection closes once the messages are written
 */
record QueryReply(MessageWriter messages, boolean closesConnection) {
    /** An answer after which the connection stays open. */
    static QueryReply of(MessageWriter messages) {
        return new QueryReply(messages, false);
    }
}
