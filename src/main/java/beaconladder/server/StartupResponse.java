package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * The response to a startup message, or to a request for encryption or for a cancel.
 *
 * @param answer null where the connection only closes
 * @param kind what the connection does next
 * @param key for CANCEL: the key of the connection whose query is to be cancelled
 */
record StartupResponse(MessageWriter answer, Kind kind, long key) {
    /** Startup is complete, another startup message follows, the connection closes, or another's query is cancelled. */
    enum Kind {
        COMPLETE,
        CONTINUE,
        FATAL,
        CANCEL
    }

    StartupResponse(MessageWriter answer, Kind kind) {
        this(answer, kind, 0);
    }

    private static final int VERSION_3 = 3 << 16;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int SSL_REQUEST = 80877103;
    private static final int GSSENC_REQUEST = 80877104;

    /**
     * The response to the message that the reader has just parsed.
     *
     * @param full whether the router has no capacity for one more connection
     * @param key the key by which a query on this connection can be cancelled
     */
    static StartupResponse of(MessageReader in, boolean full, long key) {
        int length = in.messageEnd() - in.bodyStart();
        int version = length < 4 ? 0 : in.int32(in.bodyStart());
        if (version == SSL_REQUEST || version == GSSENC_REQUEST) {
            return new StartupResponse(new MessageWriter().append(new byte[] {'N'}, 0, 1), Kind.CONTINUE);
        } else if (version == CANCEL_REQUEST) {
            return new StartupResponse(
                    null,
                    Kind.CANCEL,
                    length == 12
                            ? (long) in.int32(in.bodyStart() + 4) << 32 | in.int32(in.bodyStart() + 8) & 0xffffffffL
                            : 0);
        } else if (version >> 16 != 3) {
            return fatal(
                    ErrorResponse.FEATURE_NOT_SUPPORTED,
                    "protocol " + (version >> 16) + "." + (version & 0xffff) + " is not spoken here, 3.0 is");
        } else if (length < 5 || in.int8(in.messageEnd() - 1) != 0) {
            return fatal(ErrorResponse.PROTOCOL_VIOLATION, "a startup message without its end");
        } else if (full) {
            EventTrace.rejectedEarly("refused: no descriptor");
            return fatal(ErrorResponse.TOO_MANY_CONNECTIONS, "too many connections");
        }
        MessageWriter out = new MessageWriter();
        String[] unsupported = unsupportedOptions(in);
        if (version != VERSION_3 || unsupported.length > 0) {
            out.negotiateVersion(unsupported);
        }
        return new StartupResponse(
                out.authenticationOk()
                        .parameterStatus("server_version", "15.0")
                        .parameterStatus("client_encoding", "UTF8")
                        .parameterStatus("server_encoding", "UTF8")
                        .parameterStatus("standard_conforming_strings", "on")
                        .backendKeyData((int) (key >> 32), (int) key)
                        .readyForQuery(),
                Kind.COMPLETE);
    }

    /** An error after which the connection closes. */
    static StartupResponse fatal(String sqlState, String message) {
        return new StartupResponse(ErrorResponse.fatal(sqlState, message), Kind.FATAL);
    }

    /** The protocol options that the client requests; none is supported. */
    private static String[] unsupportedOptions(MessageReader in) {
        List<String> unsupported = new ArrayList<>();
        for (int at = in.bodyStart() + 4; at < in.messageEnd() && in.int8(at) != 0; ) {
            String name = in.cString(at);
            if (name.startsWith("_pq_.")) {
                unsupported.add(name);
            }
            at = in.afterCString(in.afterCString(at));
        }
        return unsupported.toArray(String[]::new);
    }
}
