package beaconladder.coordinator;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.ReadStatus;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A connection of the coordinator to one host; runs one query at a time, each with a timeout. */
final class HostConnection implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** The memory for large responses, shared by all connections. */
    private static final MemoryLimit LARGE_MESSAGE_MEMORY = new MemoryLimit(4 << 20);

    private final Socket socket = new Socket();
    private final MessageReader reader;

    /**
     * Connects and completes the startup handshake.
     *
     * @param timeoutMillis the timeout for connecting, and again for the handshake
     * @throws HostQueryException if the host does not accept the connection as expected
     * @throws IOException if it can't be reached
     */
    HostConnection(InetSocketAddress address, int timeoutMillis) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, timeoutMillis);
            reader = new MessageReader(socket, LARGE_MESSAGE_MEMORY);
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

    /** Reads up to ReadyForQuery; a host error is thrown only then, so that the response is read completely. */
    private String readResponse(int timeoutMillis) throws HostQueryException {
        String value = null;
        String error = null;
        long timeoutNanos = timeoutMillis * NANOS_PER_MILLI;
        long deadlineNanos = System.nanoTime() + timeoutNanos;
        while (true) {
            ReadStatus status = reader.readMessage(deadlineNanos, timeoutNanos);
            if (status != ReadStatus.MESSAGE) {
                throw HostQueryException.noResponse(status);
            }
            // S is ParameterStatus, D DataRow, E ErrorResponse, Z ReadyForQuery; other messages are not needed.
            switch (reader.type()) {
                case 'S' -> {
                    if (!reader.isCStrings(2)) {
                        throw HostQueryException.malformed("malformed ParameterStatus");
                    }
                }
                case 'D' -> value = readRow();
                case 'E' ->
                    error = reader.isError()
                            ? reader.errorField('C') + " " + reader.errorField('M')
                            : "unreadable error";
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
            throw HostQueryException.malformed("malformed row, or a row with several columns");
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
            // Nothing is left to do: the descriptor is released even if closing fails.
        }
        reader.release();
    }
}
