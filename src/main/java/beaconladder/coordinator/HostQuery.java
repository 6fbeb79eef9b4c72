package beaconladder.coordinator;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.ReadStatus;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/** A keeper's connection to one host: one question at a time, each with its time. */
final class HostQuery implements AutoCloseable {
    private static final MemoryLimit ROOM = new MemoryLimit(4 << 20);

    /** An answer: the first cell of its first row, or null, and what the host said of itself. */
    record Answer(String cell, Map<String, String> said) {}

    private final Socket socket = new Socket();
    private final MessageReader in;

    HostQuery(InetSocketAddress address, int millis) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, millis);
            in = new MessageReader(socket, ROOM);
            MessageWriter.startup("keeper", "shop").writeTo(socket.getOutputStream());
            answer(millis);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** Asks; an error of the host is an exception, as is anything that can't be read. */
    Answer ask(String query, int millis) throws IOException {
        MessageWriter.query(query).writeTo(socket.getOutputStream());
        return answer(millis);
    }

    private Answer answer(int millis) throws IOException {
        Map<String, String> said = new HashMap<>();
        String cell = null;
        String error = null;
        long until = System.nanoTime() + millis * 1_000_000L;
        while (true) {
            ReadStatus got = in.readMessage(until, millis * 1_000_000L);
            if (got != ReadStatus.MESSAGE) {
                throw new IOException("no whole answer: " + got);
            }
            switch (in.type()) {
                case 'S' -> {
                    if (!in.isCStrings(2)) {
                        throw new IOException("a report that can't be read");
                    }
                    said.put(in.cString(in.bodyStart()), in.cString(in.afterCString(in.bodyStart())));
                }
                case 'D' -> {
                    if (!in.isSingleColumnRow()) {
                        throw new IOException("a row that is not of one column");
                    }
                    MessageWriter row = new MessageWriter();
                    in.copyTo(row);
                    cell = row.firstValue();
                }
                case 'E' -> error = in.isError() ? in.errorField('C') + " " + in.errorField('M') : "an error";
                case 'Z' -> {
                    if (error != null) {
                        throw new IOException(error);
                    }
                    return new Answer(cell, said);
                }
                default -> {}
            }
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
        in.release();
    }
}
