package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * The response to the first message of a connection: a startup message, an encryption request or a cancel request.
 *
 * @param answer the message to send, or null if the connection only closes
 * @param kind what happens to the connection next
 * @param key for CANCEL, the key of the connection whose query is to be cancelled; otherwise 0
 */
record StartupResponse(MessageWriter answer, Kind kind, long key) {
    /** What happens to the connection after the response. */
    enum Kind {
        /** The startup is complete: queries may follow. */
        COMPLETE,
        /** Another startup message follows. */
        CONTINUE,
        /** The connection closes after an error. */
        FATAL,
        /** A query on another connection is cancelled, and this connection closes. */
        CANCEL
    }

    StartupResponse(MessageWriter answer, Kind kind) {
        this(answer, kind, 0);
    }

    private static final int MAJOR_VERSION = 3;
    private static final int VERSION_3 = MAJOR_VERSION << 16;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int SSL_REQUEST = 80877103;
    private static final int GSSENC_REQUEST = 80877104;
    /** The request code, the process number and the secret key. */
    private static final int CANCEL_REQUEST_BODY_BYTES = 12;
    /** The version and the terminating zero byte. */
    private static final int MIN_STARTUP_BODY_BYTES = 5;

    /**
     * Returns the response to the message that the reader has just parsed.
     *
     * @param full whether the router has no descriptor for one more connection
     * @param key the key with which a query on this connection can be cancelled
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
                    length == CANCEL_REQUEST_BODY_BYTES
                            ? (long) in.int32(in.bodyStart() + 4) << 32 | in.int32(in.bodyStart() + 8) & 0xffffffffL
                            : 0);
        } else if (version >> 16 != MAJOR_VERSION) {
            return fatal(
                    ErrorResponse.FEATURE_NOT_SUPPORTED,
                    "protocol " + (version >> 16) + "." + (version & 0xffff) + " is not spoken here, 3.0 is");
        } else if (length < MIN_STARTUP_BODY_BYTES || in.int8(in.messageEnd() - 1) != 0) {
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

    /** Returns an error response after which the connection closes. */
    static StartupResponse fatal(String sqlState, String message) {
        return new StartupResponse(ErrorResponse.fatal(sqlState, message), Kind.FATAL);
    }

    /** Returns the protocol options that the client requests; none is supported. */
    private static String[] unsupportedOptions(MessageReader in) {
        List<String> unsupported = new ArrayList<>();
        for (int offset = in.bodyStart() + 4; offset < in.messageEnd() && in.int8(offset) != 0; ) {
            String name = in.cString(offset);
            if (name.startsWith("_pq_.")) {
                unsupported.add(name);
            }
            offset = in.afterCString(in.afterCString(offset));
        }
        return unsupported.toArray(String[]::new);
    }
}
