package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * What an opening message of a client gets.
 *
 * @param answer null for one that is only to be closed
 * @param kind what it means for the connection
 * @param key for CANCEL the key that it names
 */
record StartupResponse(MessageWriter answer, Kind kind, long key) {
    /** Whether the client is greeted, asks again, has to go, or cancels what another has in hand. */
    enum Kind {
        GREETED,
        AGAIN,
        FATAL,
        CANCEL
    }

    StartupResponse(MessageWriter answer, Kind kind) {
        this(answer, kind, 0);
    }

    private static final int VERSION_3 = 3 << 16;
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSSENC = 80877104;

    /**
     * The answer to the message that stands in this inbox; a router that is full takes nobody in.
     *
     * @param key what the client has to name to cancel a query on this connection
     */
    static StartupResponse of(MessageReader in, boolean full, long key) {
        int length = in.end() - in.at();
        int version = length < 4 ? 0 : in.int32(in.at());
        if (version == SSL || version == GSSENC) {
            return new StartupResponse(new MessageWriter().raw(new byte[] {'N'}, 0, 1), Kind.AGAIN);
        } else if (version == CANCEL) {
            return new StartupResponse(
                    null,
                    Kind.CANCEL,
                    length == 12 ? (long) in.int32(in.at() + 4) << 32 | in.int32(in.at() + 8) & 0xffffffffL : 0);
        } else if (version >> 16 != 3) {
            return fatal(
                    "0A000", "protocol " + (version >> 16) + "." + (version & 0xffff) + " is not spoken here, 3.0 is");
        } else if (length < 5 || in.int8(in.end() - 1) != 0) {
            return fatal("08P01", "a startup message without its end");
        } else if (full) {
            EventTrace.rejectedEarly("refused: no descriptor");
            return fatal("53300", "too many connections");
        }
        MessageWriter out = new MessageWriter();
        String[] unknown = unknownOptions(in);
        if (version != VERSION_3 || unknown.length > 0) {
            out.negotiateVersion(unknown);
        }
        return new StartupResponse(
                out.authenticationOk()
                        .parameterStatus("server_version", "15.0")
                        .parameterStatus("client_encoding", "UTF8")
                        .parameterStatus("server_encoding", "UTF8")
                        .parameterStatus("standard_conforming_strings", "on")
                        .backendKey((int) (key >> 32), (int) key)
                        .ready(),
                Kind.GREETED);
    }

    static StartupResponse fatal(String code, String message) {
        return new StartupResponse(new MessageWriter().error("FATAL", code, message, null), Kind.FATAL);
    }

    /** The options of the protocol that the client asks for; none is known here. */
    private static String[] unknownOptions(MessageReader in) {
        List<String> unknown = new ArrayList<>();
        for (int at = in.at() + 4; at < in.end() && in.int8(at) != 0; ) {
            String name = in.text(at);
            if (name.startsWith("_pq_.")) {
                unknown.add(name);
            }
            at = in.after(in.after(at));
        }
        return unknown.toArray(String[]::new);
    }
}
