package beaconladder.coordinator;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.ReadStatus;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** The coordinator's connection to one host: one query at a time, each with a time limit. */
final class HostConnection implements AutoCloseable {
    /** Memory that responses larger than usual may use, over all connections. */
    private static final MemoryLimit LARGE_MESSAGES = new MemoryLimit(4 << 20);

    private final Socket socket = new Socket();
    private final MessageReader reader;

    /**
     * Connects and completes the startup handshake.
     *
     * @param timeoutMillis for connecting, and again for the handshake
     * @throws HostQueryException if the host does not accept the connection as expected
     * @throws IOException if it can't be reached
     */
    HostConnection(InetSocketAddress address, int timeoutMillis) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, timeoutMillis);
            reader = new MessageReader(socket, LARGE_MESSAGES);
            MessageWriter.startup("keeper", "shop").writeTo(socket.getOutputStream());
            readResponse(timeoutMillis);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Runs a query.
     *
     * @return the value of the last row, which has one column, or null if there is no row
     * @throws HostQueryException if the host reports an error or its response is missing or malformed
     * @throws IOException if the query can't be sent
     */
    String query(String statement, int timeoutMillis) throws IOException {
        MessageWriter.query(statement).writeTo(socket.getOutputStream());
        return readResponse(timeoutMillis);
    }

    /** Reads up to ReadyForQuery; an error is thrown only then, so that the response is read completely. */
    private String readResponse(int timeoutMillis) throws HostQueryException {
        String value = null;
        String error = null;
        long timeoutNanos = timeoutMillis * 1_000_000L;
        long deadlineNanos = System.nanoTime() + timeoutNanos;
        while (true) {
            ReadStatus status = reader.readMessage(deadlineNanos, timeoutNanos);
            if (status != ReadStatus.MESSAGE) {
                throw HostQueryException.noResponse(status);
            }
            switch (reader.type()) {
                case 'S' -> {
                    if (!reader.isCStrings(2)) {
                        throw HostQueryException.malformed("a ParameterStatus that can't be read");
                    }
                }
                case 'D' -> value = readRow();
                case 'E' ->
                    error = reader.isError() ? reader.errorField('C') + " " + reader.errorField('M') : "an error";
                case 'Z' -> {
                    if (error != null) {
                        throw HostQueryException.hostError(error);
                    }
                    return value;
                }
                default -> {}
            }
        }
    }

    private String readRow() throws HostQueryException {
        if (!reader.isSingleColumnRow()) {
            throw HostQueryException.malformed("a row that is not of one column");
        }
        MessageWriter row = new MessageWriter();
        reader.copyTo(row);
        return row.firstValue();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Closing is all that is left to do; the descriptor is released either way.
        }
        reader.release();
    }
}
