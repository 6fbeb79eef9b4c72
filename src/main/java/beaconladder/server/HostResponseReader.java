package beaconladder.server;

import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.ReadStatus;
import beaconladder.pg.MessageWriter;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Role;
import beaconladder.server.ExchangeResult.HostStatus;
import beaconladder.server.ExchangeResult.Progress;
import java.util.Set;

/**
 * Reads and validates one response of a host: a description of one column, one row and a command tag, or an error; then
 * ready for query. A response with any other order, count or length of messages is invalid, and its content is ignored.
 */
final class HostResponseReader {
    /** Hosts write a response at once; one that takes longer than this after its first byte has been interrupted. */
    static final long MAX_RESPONSE_NANOS = 150_000_000;
    /** Bound of a complete response: the value, and as much again for all other messages. */
    private static final int MAX_RESPONSE_BYTES = 2 * MessageReader.MAX_MESSAGE_BYTES;
    /** The command tags of a statement that affects one row. */
    private static final Set<String> COMMAND_TAGS = Set.of("SELECT 1", "INSERT 0 1", "SHOW");

    private final MessageReader in;
    private final MessageWriter messages = new MessageWriter();
    private Progress progress = Progress.QUERY_WRITTEN;
    private Role role = Role.UNKNOWN;
    private long positionNanos = HostReport.NO_POSITION;
    private String load;
    private String errorCode;
    /** The message type that must come next: T, D, C in turn, or E in place of T; Z after C or E. */
    private char expectedType = 'T';

    private int bytesRead;

    HostResponseReader(MessageReader in) {
        this.in = in;
    }

    /** Reads the complete response; waits for it until this time on System.nanoTime's clock. */
    ExchangeResult read(long untilNanos) {
        long deadlineNanos = untilNanos;
        while (true) {
            ReadStatus readStatus = in.readMessage(deadlineNanos, MAX_RESPONSE_NANOS);
            if (readStatus != ReadStatus.MESSAGE) {
                return incomplete(readStatus);
            }
            if (progress == Progress.QUERY_WRITTEN) {
                progress = Progress.RESPONSE_BEGUN;
                deadlineNanos = Math.min(untilNanos, System.nanoTime() + MAX_RESPONSE_NANOS);
            }
            bytesRead += in.messageEnd() - in.bodyStart();
            if (bytesRead > MAX_RESPONSE_BYTES || !isValid(in.type())) {
                return ExchangeResult.invalidResponse();
            }
            ExchangeResult result = accept(in.type());
            if (result != null) {
                return result;
            }
        }
    }

    private ExchangeResult incomplete(ReadStatus readStatus) {
        if (readStatus == ReadStatus.CLOSED) {
            // A host may close the connection right after a complete error message.
            return ExchangeResult.closedByHost(progress, errorCode, status());
        }
        boolean timedOut = readStatus == ReadStatus.TIMED_OUT && progress == Progress.QUERY_WRITTEN && !in.hasUnread();
        return timedOut || readStatus == ReadStatus.TRUNCATED
                ? ExchangeResult.interrupted(progress, timedOut)
                : ExchangeResult.invalidResponse();
    }

    private boolean isValid(char type) {
        return switch (type) {
            case 'S' -> in.isCStrings(2);
            case 'N' -> in.isError();
            case 'T' -> expectedType == 'T' && in.isSingleColumnDescription();
            case 'D' -> expectedType == 'D' && in.isSingleColumnRow();
            case 'C' -> expectedType == 'C' && in.isCStrings(1) && COMMAND_TAGS.contains(in.cString(in.bodyStart()));
            case 'E' -> expectedType == 'T' && in.isError();
            case 'Z' ->
                expectedType == 'Z'
                        && in.messageEnd() - in.bodyStart() == 1
                        && "ITE".indexOf(in.int8(in.bodyStart())) >= 0;
            default -> false;
        };
    }

    /** Stores the content of a valid message; returns the result where the message ends the response, else null. */
    private ExchangeResult accept(char type) {
        switch (type) {
            case 'S' -> acceptParameter(in.cString(in.bodyStart()), in.cString(in.afterCString(in.bodyStart())));
            case 'T', 'D', 'C' -> {
                in.copyTo(messages);
                expectedType = type == 'T' ? 'D' : type == 'D' ? 'C' : 'Z';
            }
            case 'E' -> {
                errorCode = in.errorField('C');
                expectedType = 'Z';
                // The host closes the connection after a fatal error, without ready for query.
                if (!"ERROR".equals(in.errorField('S'))) {
                    return ExchangeResult.closedByHost(progress, errorCode, status());
                }
            }
            case 'Z' -> {
                return ExchangeResult.finished(progress, errorCode, status(), messages, !in.hasUnread());
            }
            default -> {}
        }
        return null;
    }

    private void acceptParameter(String name, String value) {
        switch (name) {
            case "node_role" ->
                role = value.equals("leader") ? Role.PRIMARY : value.equals("follower") ? Role.REPLICA : Role.UNKNOWN;
            case "replay_position" ->
                positionNanos = LoadReportParser.parsePositionNanos(value, LoadReportParser.MILLIS_TO_NANOS);
            case "server_load" -> load = value;
            default -> {}
        }
    }

    private HostStatus status() {
        return new HostStatus(role, positionNanos, load);
    }
}
