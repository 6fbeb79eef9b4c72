package beaconladder.pg;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** The message that stands in a buffer, and what can be read of it. */
class MessageView {
    byte[] buffer;
    char type;
    int at;
    int end;

    MessageView(int size) {
        buffer = new byte[size];
    }

    public char type() {
        return type;
    }

    /** Where the body of the current message begins. */
    public int bodyStart() {
        return at;
    }

    /** Where the current message ends. */
    public int messageEnd() {
        return end;
    }

    public int int32(int place) {
        return (buffer[place] & 0xff) << 24
                | (buffer[place + 1] & 0xff) << 16
                | (buffer[place + 2] & 0xff) << 8
                | buffer[place + 3] & 0xff;
    }

    public byte int8(int place) {
        return buffer[place];
    }

    /** The text that starts here and ends with a zero byte, or with the message. */
    public String cString(int place) {
        int zero = place;
        while (zero < end && buffer[zero] != 0) {
            zero++;
        }
        return new String(buffer, place, zero - place, StandardCharsets.UTF_8);
    }

    /** Where the text that starts here has ended, its zero byte included. */
    public int afterCString(int place) {
        int zero = place;
        while (zero < end && buffer[zero] != 0) {
            zero++;
        }
        return Math.min(end, zero + 1);
    }

    /** Whether the current message is this many texts, each with its zero byte, and nothing else. */
    public boolean isCStrings(int count) {
        int zeros = 0;
        for (int i = at; i < end; i++) {
            zeros += buffer[i] == 0 ? 1 : 0;
        }
        return zeros == count && end > at && buffer[end - 1] == 0;
    }

    /** The text of a message that is one valid UTF-8 text with its zero byte, or null. */
    public String singleCString() {
        if (!isCStrings(1)) {
            return null;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(buffer, at, end - 1 - at))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    /** Whether the current message describes rows of one column. */
    public boolean isSingleColumnDescription() {
        int named = at + 2;
        while (named < end && buffer[named] != 0) {
            named++;
        }
        return end - at > 2 && int16(at) == 1 && end == named + 1 + 18;
    }

    /** Whether the current message is a row of one column, with a value. */
    public boolean isSingleColumnRow() {
        return end - at >= 6 && int16(at) == 1 && int32(at + 2) == end - at - 6;
    }

    /** Whether the current message is an error, all of its fields whole, with severity and code. */
    public boolean isError() {
        int i = at;
        while (i < end && buffer[i] != 0) {
            int next = afterCString(i);
            if (buffer[next - 1] != 0) {
                return false;
            }
            i = next;
        }
        String code = errorField('C');
        return i == end - 1
                && errorField('S') != null
                && code != null
                && code.length() == 5
                && code.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'A' && c <= 'Z');
    }

    private int int16(int place) {
        return (buffer[place] & 0xff) << 8 | buffer[place + 1] & 0xff;
    }

    /** A field of the current ErrorResponse, or null. */
    public String errorField(char name) {
        for (int i = at; i < end && buffer[i] != 0; ) {
            if (buffer[i] == name) {
                return cString(i + 1);
            }
            i = afterCString(i);
        }
        return null;
    }
}
