package beaconladder.pg;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** The current message in a buffer: its bounds, and accessors for its fields. */
class MessageView {
    byte[] buffer;
    char type;
    int bodyStart;
    int messageEnd;

    MessageView(int size) {
        buffer = new byte[size];
    }

    /** Type of the current message; 0 for a startup message. */
    public char type() {
        return type;
    }

    /** Index of the first byte of the current message's body. */
    public int bodyStart() {
        return bodyStart;
    }

    /** Index behind the last byte of the current message. */
    public int messageEnd() {
        return messageEnd;
    }

    /** The big-endian integer at this index. */
    public int int32(int index) {
        return (buffer[index] & 0xff) << 24
                | (buffer[index + 1] & 0xff) << 16
                | (buffer[index + 2] & 0xff) << 8
                | buffer[index + 3] & 0xff;
    }

    /** The byte at this index. */
    public byte int8(int index) {
        return buffer[index];
    }

    /** The string that starts here and ends at a zero byte or at the end of the message. */
    public String cString(int index) {
        int zeroIndex = index;
        while (zeroIndex < messageEnd && buffer[zeroIndex] != 0) {
            zeroIndex++;
        }
        return new String(buffer, index, zeroIndex - index, StandardCharsets.UTF_8);
    }

    /** Index behind the string that starts here and its zero byte. */
    public int afterCString(int index) {
        int zeroIndex = index;
        while (zeroIndex < messageEnd && buffer[zeroIndex] != 0) {
            zeroIndex++;
        }
        return Math.min(messageEnd, zeroIndex + 1);
    }

    /** Whether the current message consists of this many zero-terminated strings and nothing else. */
    public boolean isCStrings(int count) {
        int zeros = 0;
        for (int i = bodyStart; i < messageEnd; i++) {
            zeros += buffer[i] == 0 ? 1 : 0;
        }
        return zeros == count && messageEnd > bodyStart && buffer[messageEnd - 1] == 0;
    }

    /** The string of a message that is one zero-terminated string in valid UTF-8, or null. */
    public String singleCString() {
        if (!isCStrings(1)) {
            return null;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(buffer, bodyStart, messageEnd - 1 - bodyStart))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    /** Whether the current message describes rows of one column. */
    public boolean isSingleColumnDescription() {
        int nameEnd = bodyStart + 2;
        while (nameEnd < messageEnd && buffer[nameEnd] != 0) {
            nameEnd++;
        }
        return messageEnd - bodyStart > 2 && int16(bodyStart) == 1 && messageEnd == nameEnd + 1 + 18;
    }

    /** Whether the current message is a row of one column, with a value. */
    public boolean isSingleColumnRow() {
        return messageEnd - bodyStart >= 6
                && int16(bodyStart) == 1
                && int32(bodyStart + 2) == messageEnd - bodyStart - 6;
    }

    /** Whether the current message is an error, all of its fields complete, with severity and code. */
    public boolean isError() {
        int i = bodyStart;
        while (i < messageEnd && buffer[i] != 0) {
            int next = afterCString(i);
            if (buffer[next - 1] != 0) {
                return false;
            }
            i = next;
        }
        String code = errorField('C');
        return i == messageEnd - 1
                && errorField('S') != null
                && code != null
                && code.length() == 5
                && code.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'A' && c <= 'Z');
    }

    private int int16(int index) {
        return (buffer[index] & 0xff) << 8 | buffer[index + 1] & 0xff;
    }

    /** A field of the current ErrorResponse, or null. */
    public String errorField(char name) {
        for (int i = bodyStart; i < messageEnd && buffer[i] != 0; ) {
            if (buffer[i] == name) {
                return cString(i + 1);
            }
            i = afterCString(i);
        }
        return null;
    }
}
