package beaconladder.server;

import beaconladder.pg.MessageReader;
import java.io.IOException;

/** Ends one client's connection where a time limit has passed. Used by the reader's thread. */
final class ClientTimeouts {
    /** The time for the startup message after the accept, and for a complete message after its first byte. */
    private static final long MESSAGE_TIMEOUT_NANOS = 2_000_000_000L;
    /** A client is disconnected when none of an answer could be written to it for this long. */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;
    /** How long the queries of a refused connection are still answered, each with the refusal. */
    private static final long REFUSED_NANOS = 500_000_000L;

    private final ClientConnection client;
    private final ClientChannel channel;
    private final ClientActivity activity;
    private final MessageReader in;
    private final PipelineQueue queue;
    private final ClientReader reader;

    ClientTimeouts(ClientConnection client, MessageReader in, PipelineQueue queue, ClientReader reader) {
        this.client = client;
        this.channel = client.channel();
        this.activity = client.activity();
        this.in = in;
        this.queue = queue;
        this.reader = reader;
    }

    /** Ends the connection if a time limit has passed; returns false if it is closed. */
    boolean check(long nowNanoTime) {
        if (!channel.isOpen() || queue.isStalled(WRITE_TIMEOUT_NANOS, nowNanoTime)) {
            client.close(CloseCause.CLIENT_BROKEN);
            return false;
        }
        if (client.end().closeIfLingered(nowNanoTime)) {
            return false;
        }
        // What has arrived counts as in time: it may be the reader that is late.
        boolean overdue = isStartupOverdue(nowNanoTime) || isMessageOverdue(nowNanoTime);
        if (overdue && !client.onReadable()) {
            return false;
        }
        if (isRefusalOver(nowNanoTime)) {
            client.endRefusedConnection();
        }
        rejectOverdue(nowNanoTime);
        return channel.isOpen();
    }

    private void rejectOverdue(long nowNanoTime) {
        try {
            if (isStartupOverdue(nowNanoTime)) {
                client.end().skipLinger();
                reader.respond(StartupResponse.fatal(ErrorResponse.PROTOCOL_VIOLATION, "no startup message in time"));
            } else if (isMessageOverdue(nowNanoTime)) {
                client.end().skipLinger();
                reader.closeWithError("a message whose rest did not come in time");
            }
        } catch (IOException e) {
            client.close(CloseCause.CLIENT_BROKEN);
        }
    }

    private boolean isRefusalOver(long nowNanoTime) {
        return isPassed(queue.refusedSinceNanoTime(), REFUSED_NANOS, nowNanoTime);
    }

    private boolean isStartupOverdue(long nowNanoTime) {
        return !reader.isStarted() && isPassed(activity.lastUsedNanoTime(), MESSAGE_TIMEOUT_NANOS, nowNanoTime);
    }

    private boolean isMessageOverdue(long nowNanoTime) {
        return isPassed(in.messageStartNanos(), MESSAGE_TIMEOUT_NANOS, nowNanoTime);
    }

    /** Whether this time has passed since something began, on a connection that is not closing yet. */
    private boolean isPassed(long sinceNanoTime, long limitNanos, long nowNanoTime) {
        return !activity.isClosing() && sinceNanoTime != 0 && nowNanoTime - sinceNanoTime > limitNanos;
    }
}
